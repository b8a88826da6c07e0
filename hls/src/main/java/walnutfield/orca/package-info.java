/** Load reports in the published ORCA form: the {@code endpoint-load-metrics} field in its TEXT shape. */
package walnutfield.orca;
