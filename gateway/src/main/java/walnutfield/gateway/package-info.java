/** One gateway: reports network events to the desk and carries out what the desk decides. */
package walnutfield.gateway;
