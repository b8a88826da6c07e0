/** The words of the domain: plays, hosts, bands, their ids and terms, and {@link walnutfield.play.GatewayActions}. */
package walnutfield.play;
