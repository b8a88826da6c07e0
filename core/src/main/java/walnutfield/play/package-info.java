/** Domain types: plays, hosts, traffic classes, their ids and policies, and {@link walnutfield.play.GatewayActions}. */
package walnutfield.play;
