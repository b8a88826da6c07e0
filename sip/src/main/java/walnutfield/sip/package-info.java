/** SIP (RFC 3261): message codec, transactions and dialogs, without sockets, clock or threads of their own. */
package walnutfield.sip;
