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

    /**
     * Records that a message from the peer waits to be processed. The transport bounds their number: it reads a
     * connection more slowly, and drops datagrams, whose senders retransmit them.
     */
    default void messageQueued() {}

    /** Records that a message that waited was processed. */
    default void messageProcessed() {}
}
