/** Hosts one gateway's decisions: the one way by which any program reaches them. */
package walnutfield.desk;
