package walnutfield.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import walnutfield.loop.EventLoop;
import walnutfield.net.sip.SipTransport;
import walnutfield.net.stream.TcpTransport;
import walnutfield.sip.Flow;

/** A process that lives on without one of its threads answers nobody: an error on any of them must be reported. */
class FatalErrorsTest {
    private static final int TIMEOUT_S = 5;
    private final BlockingQueue<Throwable> uncaught = new LinkedBlockingQueue<>();
    private Thread.UncaughtExceptionHandler previousHandler;

    /** An error of the virtual machine, as an exhausted heap gives. */
    private static final class SimulatedError extends VirtualMachineError {
        private static final long serialVersionUID = 1L;
    }

    @BeforeEach
    void recordUncaught() {
        previousHandler = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> uncaught.add(failure));
    }

    @AfterEach
    void restoreHandler() {
        Thread.setDefaultUncaughtExceptionHandler(previousHandler);
    }

    private void assertReported() throws InterruptedException {
        Throwable failure = uncaught.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertNotNull(failure, "the error was not reported");
        assertInstanceOf(SimulatedError.class, failure);
    }

    private static void sendByte(InetSocketAddress address) throws Exception {
        try (Socket peer = new Socket("127.0.0.1", address.getPort())) {
            peer.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".getBytes());
            peer.setSoTimeout(TIMEOUT_S * 1000);
            peer.getInputStream().read();
        } catch (java.io.IOException e) {
            return; // the connection was reset
        }
    }

    /** Guards against a gateway that lives on without its event loop: usual clients got no answer any more. */
    @Test
    void anErrorOnTheEventLoopIsReported() throws Exception {
        EventLoop eventLoop = new EventLoop("test", 1, (waitMs, runMs) -> {});
        eventLoop.start();
        eventLoop.post(() -> {
            throw new SimulatedError();
        });
        assertReported();
        eventLoop.stop();
    }

    /** Guards against an event loop that ends because of what is told how long its events take. */
    @Test
    void aFaultOfTheLatencyListenerDoesNotEndTheEventLoop() throws Exception {
        EventLoop eventLoop = new EventLoop("test", 1, (waitMs, runMs) -> {
            throw new IllegalStateException("simulated");
        });
        eventLoop.start();
        CountDownLatch ran = new CountDownLatch(2);
        eventLoop.post(ran::countDown);
        eventLoop.post(ran::countDown);
        assertTrue(ran.await(TIMEOUT_S, TimeUnit.SECONDS));
        eventLoop.stop();
    }

    /** Guards against I/O that stops for good, or goes on in an unknown state, after an error. */
    @Test
    void anErrorOfAByteStreamsHandlerIsReported() throws Exception {
        try (TcpTransport transport = new TcpTransport("test", 1 << 16, 1 << 20)) {
            InetSocketAddress address =
                    transport.bind(new InetSocketAddress("127.0.0.1", 0), stream -> new TcpTransport.Handler() {
                        @Override
                        public void received(byte[] bytes) {
                            throw new SimulatedError();
                        }

                        @Override
                        public void closed() {}
                    });
            sendByte(address);
            assertReported();
        }
    }

    @Test
    void anErrorOfAnHttpHandlerIsReported() throws Exception {
        Limits limits = new Limits(10, 4096, 50, 1024, 5_000, 5_000, 5_000, 2);
        try (Server server = new Server("test", 1, limits, exchange -> {
            throw new SimulatedError();
        })) {
            server.start();
            sendByte(new InetSocketAddress("127.0.0.1", server.bind(0)));
            assertReported();
        }
    }

    @Test
    void anErrorOfASipReceiverIsReported() throws Exception {
        SipTransport.Receiver receiver = new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] message, Flow from, int localPort) {
                throw new SimulatedError();
            }

            @Override
            public void onConnectionClosed(Flow flow) {}
        };
        try (SipTransport transport = new SipTransport("test", 10, receiver)) {
            int port = transport.bind(0, true);
            sendByte(new InetSocketAddress("127.0.0.1", port));
            assertReported();
            byte[] datagram = "OPTIONS sip:x SIP/2.0\r\n\r\n".getBytes();
            try (DatagramSocket peer = new DatagramSocket()) {
                peer.send(new DatagramPacket(datagram, datagram.length, new InetSocketAddress("127.0.0.1", port)));
            }
            assertReported();
        }
    }

    /** Guards against sweeps that end for good with the first run that fails. */
    @Test
    void aPeriodicTaskRunsAgainAfterAFault() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        CountDownLatch ranTwice = new CountDownLatch(2);
        try (PeriodicTask task = PeriodicTask.start("test", 1, () -> {
            ranTwice.countDown();
            runs.incrementAndGet();
            throw new IllegalStateException("simulated");
        })) {
            assertNotNull(task);
            assertTrue(ranTwice.await(TIMEOUT_S, TimeUnit.SECONDS), runs + " runs");
        }
    }

    @Test
    void anErrorOfAPeriodicTaskIsReported() throws Exception {
        try (PeriodicTask task = PeriodicTask.start("test", 1, () -> {
            throw new SimulatedError();
        })) {
            assertNotNull(task);
            assertReported();
        }
    }

    /** Guards against sweeps and reports on the event loop that end for good with the first run that fails. */
    @Test
    void aRepeatedTimerRunsAgainAfterAFault() throws Exception {
        EventLoop eventLoop = new EventLoop("test", 1, (waitMs, runMs) -> {});
        eventLoop.start();
        CountDownLatch ranTwice = new CountDownLatch(2);
        eventLoop.post(() -> eventLoop.scheduleRepeatedly(1, () -> {
            ranTwice.countDown();
            throw new IllegalStateException("simulated");
        }));
        assertTrue(ranTwice.await(TIMEOUT_S, TimeUnit.SECONDS));
        eventLoop.stop();
    }

    /** Guards against a process that hangs instead of ending where an error has ended one of its threads. */
    @Test
    void anUnhandledErrorEndsTheProcess() throws Exception {
        Process process = new ProcessBuilder(
                        System.getProperty("java.home") + "/bin/java",
                        "-cp",
                        System.getProperty("java.class.path"),
                        ProcessWithAnError.class.getName())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        try {
            assertTrue(process.waitFor(2L * TIMEOUT_S, TimeUnit.SECONDS), "the process did not end");
            assertEquals(FatalErrors.EXIT_STATUS, process.exitValue());
        } finally {
            process.destroyForcibly();
        }
    }

    /** A process whose event loop meets an error while its main thread waits. */
    static final class ProcessWithAnError {
        public static void main(String[] args) throws InterruptedException {
            FatalErrors.endProcessOnError();
            EventLoop eventLoop = new EventLoop("test", 1, (waitMs, runMs) -> {});
            eventLoop.start();
            eventLoop.post(() -> {
                throw new SimulatedError();
            });
            Thread.sleep(60_000);
        }
    }
}
