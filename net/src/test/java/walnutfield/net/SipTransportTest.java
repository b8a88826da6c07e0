package walnutfield.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walnutfield.net.sip.SipTransport;
import walnutfield.sip.Flow;

/** Peers that send faster than their messages are processed. */
class SipTransportTest {
    private static final int SENT = 5_000;
    private static final int MAX_WAITING = 1_000;
    private static final byte[] MESSAGE =
            "BYE sip:a@b SIP/2.0\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final BlockingQueue<Flow> waiting = new LinkedBlockingQueue<>();
    private SipTransport transport;
    private int port;

    @BeforeEach
    void start() throws Exception {
        transport = new SipTransport("t", 10, new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] message, Flow from, int localPort) {
                from.messageQueued();
                waiting.add(from);
            }

            @Override
            public void onConnectionClosed(Flow flow) {}
        });
        port = transport.bind(0, true);
    }

    @AfterEach
    void stop() throws Exception {
        transport.close();
    }

    private static void awaitNothingMore(BlockingQueue<?> queue) throws InterruptedException {
        int size = -1;
        while (queue.size() != size) {
            size = queue.size();
            Thread.sleep(200);
        }
    }

    /** Guards against memory that grows with what a connection sends. */
    @Test
    void aConnectionIsReadNoFasterThanItsMessagesAreProcessed() throws Exception {
        try (Socket peer = new Socket("127.0.0.1", port)) {
            Thread sender = new Thread(() -> {
                try {
                    for (int i = 0; i < SENT; i++) {
                        peer.getOutputStream().write(MESSAGE);
                    }
                } catch (java.io.IOException e) {
                    return; // the transport was closed
                }
            });
            sender.setDaemon(true);
            sender.start();
            awaitNothingMore(waiting);
            assertTrue(waiting.size() <= MAX_WAITING, waiting.size() + " messages wait");
            for (int i = 0; i < SENT; i++) {
                Flow flow = waiting.poll(5, TimeUnit.SECONDS);
                assertNotNull(flow, "message " + i + " was lost");
                flow.messageProcessed();
            }
        }
    }

    /** The same for datagrams, which cannot be slowed down. */
    @Test
    void datagramsAreDroppedWhileTooManyWait() throws Exception {
        try (DatagramSocket peer = new DatagramSocket()) {
            DatagramPacket datagram =
                    new DatagramPacket(MESSAGE, MESSAGE.length, new InetSocketAddress("127.0.0.1", port));
            for (int i = 0; i < SENT; i++) {
                peer.send(datagram);
                if (i % 50 == 0) {
                    Thread.sleep(1); // so that the socket does not drop them
                }
            }
            awaitNothingMore(waiting);
            assertEquals(MAX_WAITING, waiting.size());
            waiting.poll().messageProcessed();
            peer.send(datagram);
            awaitNothingMore(waiting);
            assertEquals(MAX_WAITING, waiting.size());
        }
    }
}
