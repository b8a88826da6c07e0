/** Checks the six rules from what crossed the stand-ins' sockets, and from nothing else. */
package walnutfield.standin.audit;
