/** Stand-ins for the outside: media hosts, the list service, viewers. Their figures are simulated. */
package walnutfield.standin;
