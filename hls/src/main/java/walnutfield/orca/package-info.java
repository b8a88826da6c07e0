/**
 * Load reports in the format of Open Request Cost Aggregation (ORCA): the {@code endpoint-load-metrics} field in its
 * TEXT form.
 */
package walnutfield.orca;
