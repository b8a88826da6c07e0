package walnutfield.sip;

import java.net.InetSocketAddress;

/** A way to a peer: a datagram's address, or a connection. */
public interface Flow {
    /** A stream: nothing is sent again over it (RFC 3261, section 17). */
    boolean isReliable();

    InetSocketAddress remote();

    void send(byte[] message);
}
