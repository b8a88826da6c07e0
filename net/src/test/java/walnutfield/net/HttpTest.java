package walnutfield.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The HTTP client and server against each other, and the server against faulty clients on plain sockets. */
class HttpTest {
    private static final Limits LIMITS = new Limits(4, 4096, 30, 1000, 300, 60_000, 60_000, 2);
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private Server server;
    private Client client;
    private InetSocketAddress address;

    private void startServer(Consumer<Exchange> handler) throws IOException {
        server = new Server("t", 1, LIMITS, handler);
        server.start();
        address = new InetSocketAddress("127.0.0.1", server.bind(0));
        client = new Client("c", 1, new Client.Settings(1000, 5000, 4, 8192, 1 << 20));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private Client.PendingRequest sendGet(String target) {
        return client.send(address, Request.get(target, Headers.NONE), new Client.ResponseHandler() {
            private final StringBuilder body = new StringBuilder();
            private int status;

            @Override
            public void onHead(int responseStatus, Headers headers) {
                status = responseStatus;
                events.add("head " + responseStatus);
            }

            @Override
            public void onBody(byte[] part) {
                body.append(new String(part, StandardCharsets.UTF_8));
                events.add("piece " + new String(part, StandardCharsets.UTF_8));
            }

            @Override
            public void onComplete() {
                events.add("done " + status + " " + body);
            }

            @Override
            public void onFailure(Client.Failure failure) {
                events.add("failed " + failure);
            }
        });
    }

    /**
     * Waits until the address refuses connects. A listening socket that was closed still accepts them until its
     * selector has run once more, and resets them then.
     */
    private static void awaitConnectsRefused(InetSocketAddress address) throws InterruptedException {
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (System.nanoTime() < giveUpAt) {
            try (Socket socket = new Socket()) {
                socket.connect(address, 1000);
            } catch (ConnectException refused) {
                return;
            } catch (IOException resetOrTimedOut) {
                // the selector has not run yet
            }
            Thread.sleep(5);
        }
        fail("the closed port still accepts connects");
    }

    private String next() throws InterruptedException {
        String event = events.poll(10, TimeUnit.SECONDS);
        return event == null ? "nothing came" : event;
    }

    private String nextStartingWith(String prefix) throws InterruptedException {
        String event = next();
        while (!event.startsWith(prefix) && !event.equals("nothing came")) {
            event = next();
        }
        return event;
    }

    /** Guards against requests that stay in memory, once answered, until their connect timeout fires. */
    @Test
    void anAnsweredRequestLeavesNoConnectTimeout() throws Exception {
        startServer(exchange -> exchange.respond(200, Headers.NONE, new byte[0]));
        sendGet("/");
        while (!events.poll(5, TimeUnit.SECONDS).startsWith("done")) {
            continue;
        }
        assertEquals(0, client.pendingConnectTimeouts());
    }

    @Test
    void sequentialRequestsShareOneConnection() throws Exception {
        startServer(exchange -> exchange.respond(
                200, Headers.of("A", "b"), exchange.request().query().getBytes(StandardCharsets.UTF_8)));
        for (int i = 0; i < 20; i++) {
            sendGet("/x?n=" + i);
            assertEquals("done 200 n=" + i, nextStartingWith("done"));
        }
        assertEquals(1, server.connectionCount());
    }

    @Test
    void chunksAreSentImmediatelyAndTheConnectionIsReused() throws Exception {
        BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();
        startServer(exchanges::add);
        sendGet("/s");
        Exchange exchange = exchanges.poll(10, TimeUnit.SECONDS);
        exchange.beginResponse(200, Headers.of("Content-Type", "text/event-stream"));
        exchange.sendChunk("one".getBytes(StandardCharsets.UTF_8));
        assertEquals("piece one", nextStartingWith("piece"));
        exchange.sendChunk("two".getBytes(StandardCharsets.UTF_8));
        assertEquals("piece two", nextStartingWith("piece"));
        exchange.endResponse();
        assertEquals("done 200 onetwo", nextStartingWith("done"));
        sendGet("/again");
        exchanges.poll(10, TimeUnit.SECONDS).respond(204, Headers.NONE, new byte[0]);
        assertEquals("done 204 ", nextStartingWith("done"));
        assertEquals(1, server.connectionCount());
    }

    @Test
    void aResetConnectionFailsAsBrokenOffAndAClosedPortAsUnreachable() throws Exception {
        startServer(Exchange::abort);
        sendGet("/x");
        assertEquals("failed BROKEN_OFF", nextStartingWith("failed"));
        server.unbind(address.getPort());
        awaitConnectsRefused(address);
        sendGet("/x");
        assertEquals("failed UNREACHABLE", nextStartingWith("failed"));
    }

    @Test
    void aDisconnectBeforeTheResponseIsReportedOnce() throws Exception {
        startServer(exchange -> {
            events.add("came");
            exchange.onDisconnect(() -> events.add("gone"));
        });
        Client.PendingRequest sent = sendGet("/x");
        nextStartingWith("came");
        sent.cancel();
        assertEquals("gone", next());
        assertTrue(events.isEmpty());
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();
        startServer(exchanges::add);
        try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
            socket.getOutputStream()
                    .write(("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n"
                                    + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            Exchange first = exchanges.poll(10, TimeUnit.SECONDS);
            assertEquals("/a", first.request().path());
            assertTrue(exchanges.isEmpty());
            first.respond(200, Headers.NONE, "first".getBytes(StandardCharsets.UTF_8));
            Exchange second = exchanges.poll(10, TimeUnit.SECONDS);
            second.respond(200, Headers.NONE, "second".getBytes(StandardCharsets.UTF_8));
            String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(
                    received.indexOf("first") > 0 && received.indexOf("first") < received.indexOf("second"), received);
        }
    }

    /**
     * The codec reports no end of a request that offers an upgrade to another protocol, so the server must not wait for
     * one: the client would wait for the other protocol forever.
     */
    @Test
    void anUpgradeOfferIsAnsweredInHttp11() throws Exception {
        startServer(exchange -> exchange.respond(200, Headers.NONE, "here".getBytes(StandardCharsets.UTF_8)));
        try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream()
                    .write(("GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                                    + "Upgrade: h2c\r\nHTTP2-Settings: AAEAAEAA\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(received.startsWith("HTTP/1.1 200") && received.endsWith("here"), received);
        }
    }

    /** Incomplete, oversized and invalid requests: their connection is closed, and other clients are served. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /cut HTTP/1.1\r\nHo", "huge", "headers", "body", "\u0000\u0001\u0002\r\n\r\n"})
    void aFaultyClientLosesOnlyItsConnection(String input) throws Exception {
        startServer(exchange -> exchange.respond(200, Headers.NONE, new byte[0]));
        String request = switch (input) {
            case "huge" -> "GET /" + "x".repeat(1 << 20) + " HTTP/1.1\r\n\r\n";
            case "headers" -> "GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(1000) + "\r\n";
            case "body" -> "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(9000);
            default -> input;
        };
        try (Socket socket = new Socket("127.0.0.1", address.getPort())) {
            socket.setSoTimeout(10_000);
            InputStream in = socket.getInputStream();
            try {
                socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
                byte[] buffer = new byte[4096];
                String response = "";
                for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                    response += new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
                }
                assertTrue(!response.startsWith("HTTP/1.1 200"), response);
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException reset) {
                assertTrue(reset.getMessage() != null);
            }
        }
        sendGet("/after");
        assertEquals("done 200 ", nextStartingWith("done"));
    }

    @Test
    void connectionsOverTheLimitAreClosed() throws Exception {
        startServer(exchange -> exchange.respond(200, Headers.NONE, new byte[0]));
        List<Socket> sockets = new java.util.ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket("127.0.0.1", address.getPort());
                socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                assertTrue(socket.getInputStream().read() > 0);
                sockets.add(socket);
            }
            try (Socket excess = new Socket("127.0.0.1", address.getPort())) {
                excess.setSoTimeout(10_000);
                int firstByte;
                try {
                    firstByte = excess.getInputStream().read();
                } catch (java.net.SocketException reset) {
                    firstByte = -1;
                }
                assertEquals(-1, firstByte);
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Guards against requests that are written to an idle connection of a server that no longer has the address. */
    @Test
    void idleConnectionsToAnAddressCanBeClosed() throws Exception {
        startServer(exchange -> exchange.respond(200, Headers.NONE, new byte[0]));
        sendGet("/");
        assertEquals("done 200 ", nextStartingWith("done"));
        assertEquals(1, server.connectionCount());
        client.closeIdle(address);
        long giveUpAt = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (server.connectionCount() > 0 && System.nanoTime() < giveUpAt) {
            Thread.sleep(5);
        }
        assertEquals(0, server.connectionCount());
    }
}
