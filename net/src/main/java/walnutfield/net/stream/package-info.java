/** Bytes over TCP streams on Grizzly: accepted, dialled, read, written within bounds and closed, with no protocol of their own. */
package walnutfield.net.stream;
