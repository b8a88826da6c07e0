/** SIP over datagrams and streams on loopback: bytes in, whole messages out. */
package walnutfield.net.sip;
