/** Simulated counterparts of the gateways: media hosts, the list service, viewers and callers. */
package walnutfield.standin;
