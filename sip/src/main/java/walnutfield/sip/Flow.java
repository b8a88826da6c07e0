package walnutfield.sip;

import java.net.InetSocketAddress;

/** Where messages to a peer are sent: an address for datagrams, or a connection. */
public interface Flow {
    /** Whether the transport is reliable (TCP): messages need no retransmission over it (RFC 3261, section 17). */
    boolean isReliable();

    /** The address of the peer. */
    InetSocketAddress remoteAddress();

    /** Sends one complete message. */
    void send(byte[] message);
}
