/** SIP (RFC 3261) as text, transactions and dialogs: no sockets, no clock, no threads. */
package walnutfield.sip;
