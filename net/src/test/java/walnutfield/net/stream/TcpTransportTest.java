package walnutfield.net.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TcpTransportTest {
    private static final int TIMEOUT_S = 5;

    private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
    private TcpTransport streams;

    private TcpTransport.Handler recordingHandler() {
        return new TcpTransport.Handler() {
            @Override
            public void received(byte[] bytes) {
                events.add(new String(bytes));
            }

            @Override
            public void closed() {
                events.add("closed");
            }
        };
    }

    @BeforeEach
    void start() throws Exception {
        streams = new TcpTransport("test", 1 << 16, 1 << 20);
    }

    @AfterEach
    void stop() throws Exception {
        streams.close();
    }

    private Object nextEvent() throws InterruptedException {
        Object o = events.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(o, "no event was reported in time");
        return o;
    }

    @Test
    void closingAStreamClosesThePeerAndNotifiesTheHandler() throws Exception {
        InetSocketAddress address = streams.bind(new InetSocketAddress("127.0.0.1", 0), s -> {
            events.add(s);
            return recordingHandler();
        });
        try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
            TcpStream s = (TcpStream) nextEvent();
            peer.getOutputStream().write("ab".getBytes());
            assertEquals("ab", nextEvent());
            s.send("cd".getBytes());
            assertEquals("cd", new String(peer.getInputStream().readNBytes(2)));
            s.close();
            assertEquals(-1, peer.getInputStream().read());
            assertEquals("closed", nextEvent());
            assertEquals(0, streams.openStreams());
        }
    }

    /**
     * Seen in a test day with many short connections: a stream closed while it was being accepted was never reported
     * closed, so it kept its place in the connection limit and no other connection was closed instead.
     */
    @Test
    void aStreamClosedWhileBeingAcceptedIsReportedClosedOnce() throws Exception {
        InetSocketAddress address = streams.bind(new InetSocketAddress("127.0.0.1", 0), s -> {
            s.close();
            return recordingHandler();
        });
        for (int i = 0; i < 5; i++) {
            try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
                assertEquals("closed", nextEvent());
            }
        }
        assertNull(events.poll(50, TimeUnit.MILLISECONDS));
    }

    @Test
    void anOpenedStreamReportsReceivedBytesAndClose() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 5, new InetSocketAddress("127.0.0.1", 0).getAddress())) {
            streams.connect(
                    (InetSocketAddress) peer.getLocalSocketAddress(),
                    s -> {
                        events.add(s);
                        return recordingHandler();
                    },
                    events::add);
            try (Socket accepted = peer.accept()) {
                TcpStream s = (TcpStream) nextEvent();
                s.send("x".getBytes());
                assertEquals('x', accepted.getInputStream().read());
                accepted.getOutputStream().write("yz".getBytes());
                assertEquals("yz", nextEvent());
            }
            assertEquals("closed", nextEvent());
            assertEquals(0, streams.openStreams());
        }
    }

    /**
     * Seen at gateway starts: a host immediately sends, on a new connection, the releases of sessions that ended
     * before. They were read before the stream had a handler.
     */
    @Test
    void bytesSentImmediatelyAfterConnectingAreNotLost() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 5, new InetSocketAddress("127.0.0.1", 0).getAddress())) {
            Thread sender = new Thread(() -> {
                for (int i = 0; i < 50; i++) {
                    try (Socket accepted = peer.accept()) {
                        accepted.getOutputStream().write("early".getBytes());
                    } catch (java.io.IOException e) {
                        events.add(e);
                    }
                }
            });
            sender.start();
            for (int i = 0; i < 50; i++) {
                streams.connect(
                        (InetSocketAddress) peer.getLocalSocketAddress(),
                        s -> {
                            try {
                                Thread.sleep(5); // the handler is attached after the bytes have arrived
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            return recordingHandler();
                        },
                        events::add);
                assertEquals("early", nextEvent());
                assertEquals("closed", nextEvent());
            }
            sender.join();
        }
    }

    @Test
    void aRefusedConnectIsReportedOnceAndACancelledOneLeavesNothingOpen() throws Exception {
        InetSocketAddress unusedAddress;
        try (ServerSocket s = new ServerSocket(0, 1, new InetSocketAddress("127.0.0.1", 0).getAddress())) {
            unusedAddress = (InetSocketAddress) s.getLocalSocketAddress();
        }
        streams.connect(unusedAddress, s -> recordingHandler(), events::add);
        assertEquals(java.net.ConnectException.class, nextEvent().getClass());
        try (ServerSocket full = new ServerSocket(0, 1, new InetSocketAddress("127.0.0.1", 0).getAddress());
                Socket one = new Socket(full.getInetAddress(), full.getLocalPort());
                Socket two = new Socket(full.getInetAddress(), full.getLocalPort())) {
            TcpTransport.PendingConnect pending = streams.connect(
                    (InetSocketAddress) full.getLocalSocketAddress(), s -> recordingHandler(), events::add);
            pending.cancel();
            assertNull(events.poll(100, TimeUnit.MILLISECONDS));
            assertEquals(0, streams.openStreams());
        }
    }

    /** Guards against peers that each leave a little unread, which together would fill the heap. */
    @Test
    void peersThatDoNotReadShareOneLimit() throws Exception {
        int limit = 256 << 10;
        int peerCount = 16;
        byte[] message = new byte[16_384];
        List<TcpStream> opened = new CopyOnWriteArrayList<>();
        List<Socket> peers = new ArrayList<>();
        try (TcpTransport transport = new TcpTransport("shared", 1 << 20, limit)) {
            InetSocketAddress address = transport.bind(new InetSocketAddress("127.0.0.1", 0), stream -> {
                opened.add(stream);
                return recordingHandler();
            });
            for (int i = 0; i < peerCount; i++) {
                peers.add(new Socket(address.getAddress(), address.getPort()));
            }
            while (opened.size() < peerCount) {
                Thread.onSpinWait();
            }
            long mostPending = 0;
            for (int i = 0; i < 1_000; i++) { // 16 MB for each, more than the kernel keeps
                opened.forEach(stream -> stream.send(message));
                mostPending = Math.max(mostPending, transport.pendingBytes());
            }
            assertTrue(mostPending > message.length, "the kernel has kept it all");
            assertTrue(mostPending <= limit + peerCount * 2L * message.length, mostPending + " bytes were kept");
            for (int i = 0; i < peerCount; i++) {
                assertEquals("closed", nextEvent());
            }
        } finally {
            for (Socket peer : peers) {
                peer.close();
            }
        }
    }

    /** Guards against readers that have to sleep on the I/O thread to slow down a peer. */
    @Test
    void aPausedStreamIsNotReadUntilItIsResumed() throws Exception {
        List<TcpStream> accepted = new CopyOnWriteArrayList<>();
        InetSocketAddress address = streams.bind(new InetSocketAddress("127.0.0.1", 0), stream -> {
            accepted.add(stream);
            return new TcpTransport.Handler() {
                @Override
                public void received(byte[] bytes) {
                    stream.pauseReading();
                    events.add(new String(bytes));
                }

                @Override
                public void closed() {
                    events.add("closed");
                }
            };
        });
        try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
            peer.getOutputStream().write("ab".getBytes());
            assertEquals("ab", nextEvent());
            peer.getOutputStream().write("cd".getBytes());
            assertNull(events.poll(200, TimeUnit.MILLISECONDS), "it was read though it was paused");
            accepted.get(0).resumeReading(() -> events.add("resumed"));
            assertEquals("resumed", nextEvent());
            assertEquals("cd", nextEvent());
            accepted.get(0).resumeReading(() -> {});
        }
        assertEquals("closed", nextEvent());
    }

    /** Guards against notices that a host drains which are read only after something was sent to it. */
    @Test
    void whatHasArrivedIsPassedOnBeforeAwaitReadsReturns() throws Exception {
        InetSocketAddress address = streams.bind(new InetSocketAddress("127.0.0.1", 0), stream -> {
            events.add("accepted");
            return recordingHandler();
        });
        try (Socket peer = new Socket(address.getAddress(), address.getPort())) {
            assertEquals("accepted", nextEvent());
            for (int i = 0; i < 100; i++) {
                peer.getOutputStream().write('a');
                assertTrue(streams.awaitReads(1_000));
                assertEquals("a", events.poll(), "it was not read");
            }
        }
    }
}
