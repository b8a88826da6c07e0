/** Hosts the decisions of one gateway: every program that needs them calls them through this package. */
package walnutfield.desk;
