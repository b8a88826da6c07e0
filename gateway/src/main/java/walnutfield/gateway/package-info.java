/** One gateway: tells the desk what happens on its sockets and carries out what the desk decides. */
package walnutfield.gateway;
