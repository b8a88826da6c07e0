/** Checks the six rules using only what was observed on the stand-ins' sockets. */
package walnutfield.standin.audit;
