/**
 * TCP byte streams on Grizzly: accepted, opened, read, written within bounds and closed, without any application
 * protocol.
 */
package walnutfield.net.stream;
