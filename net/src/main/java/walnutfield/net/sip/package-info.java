/** SIP transport (RFC 3261, section 18) over UDP and TCP on loopback: bytes in, complete messages out. */
package walnutfield.net.sip;
