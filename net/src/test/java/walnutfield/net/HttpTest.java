package walnutfield.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
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

class HttpTest {
    private static final Limits LIMITS = new Limits(4, 4096, 30, 1000, 300, 60_000, 60_000, 2);
    private final BlockingQueue<String> told = new LinkedBlockingQueue<>();
    private Server server;
    private Client client;
    private InetSocketAddress at;

    private void serve(Consumer<Exchange> handler) throws IOException {
        server = new Server("t", 1, LIMITS, handler);
        server.start();
        at = new InetSocketAddress("127.0.0.1", server.bind(0));
        client = new Client("c", 1, new Client.Terms(1000, 5000, 4, 8192, 1 << 20));
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    private Client.Sent ask(String target) {
        return client.send(at, Request.get(target, Headers.NONE), new Client.Answer() {
            private final StringBuilder text = new StringBuilder();
            private int status;

            @Override
            public void head(int s, Headers headers) {
                status = s;
                told.add("head " + s);
            }

            @Override
            public void body(byte[] piece) {
                text.append(new String(piece, StandardCharsets.UTF_8));
                told.add("piece " + new String(piece, StandardCharsets.UTF_8));
            }

            @Override
            public void done() {
                told.add("done " + status + " " + text);
            }

            @Override
            public void failed(Client.Failure how) {
                told.add("failed " + how);
            }
        });
    }

    private String next() throws InterruptedException {
        String s = told.poll(10, TimeUnit.SECONDS);
        return s == null ? "nothing came" : s;
    }

    private String until(String start) throws InterruptedException {
        String s = next();
        while (!s.startsWith(start) && !s.equals("nothing came")) {
            s = next();
        }
        return s;
    }

    @Test
    void answersFollowOnOneConnection() throws Exception {
        serve(x -> x.answer(200, Headers.of("A", "b"), x.request().query().getBytes(StandardCharsets.UTF_8)));
        for (int i = 0; i < 20; i++) {
            ask("/x?n=" + i);
            assertEquals("done 200 n=" + i, until("done"));
        }
        assertEquals(1, server.connections());
    }

    @Test
    void aStreamGoesOutPieceByPieceAndItsConnectionIsUsedAgain() throws Exception {
        BlockingQueue<Exchange> open = new LinkedBlockingQueue<>();
        serve(open::add);
        ask("/s");
        Exchange x = open.poll(10, TimeUnit.SECONDS);
        x.begin(200, Headers.of("Content-Type", "text/event-stream"));
        x.piece("one".getBytes(StandardCharsets.UTF_8));
        assertEquals("piece one", until("piece"));
        x.piece("two".getBytes(StandardCharsets.UTF_8));
        assertEquals("piece two", until("piece"));
        x.end();
        assertEquals("done 200 onetwo", until("done"));
        ask("/again");
        open.poll(10, TimeUnit.SECONDS).answer(204, Headers.NONE, new byte[0]);
        assertEquals("done 204 ", until("done"));
        assertEquals(1, server.connections());
    }

    @Test
    void aCutConnectionIsBrokenOffAndAClosedPortUnreachable() throws Exception {
        serve(Exchange::abort);
        ask("/x");
        assertEquals("failed BROKEN_OFF", until("failed"));
        server.unbind(at.getPort());
        ask("/x");
        assertEquals("failed UNREACHABLE", until("failed"));
    }

    @Test
    void thePeersGoingIsToldOnceWhileTheAnswerIsOut() throws Exception {
        serve(x -> {
            told.add("came");
            x.onGone(() -> told.add("gone"));
        });
        Client.Sent sent = ask("/x");
        until("came");
        sent.callOff();
        assertEquals("gone", next());
        assertTrue(told.isEmpty());
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        BlockingQueue<Exchange> open = new LinkedBlockingQueue<>();
        serve(open::add);
        try (Socket s = new Socket("127.0.0.1", at.getPort())) {
            s.getOutputStream()
                    .write(("GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n"
                                    + "Connection: close\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            Exchange a = open.poll(10, TimeUnit.SECONDS);
            assertEquals("/a", a.request().path());
            assertTrue(open.isEmpty());
            a.answer(200, Headers.NONE, "first".getBytes(StandardCharsets.UTF_8));
            Exchange b = open.poll(10, TimeUnit.SECONDS);
            b.answer(200, Headers.NONE, "second".getBytes(StandardCharsets.UTF_8));
            String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(all.indexOf("first") > 0 && all.indexOf("first") < all.indexOf("second"), all);
        }
    }

    /** A client that offers another protocol is answered in this one, not left waiting for the other. */
    @Test
    void anUpgradeIsNotTakenUp() throws Exception {
        serve(x -> x.answer(200, Headers.NONE, "here".getBytes(StandardCharsets.UTF_8)));
        try (Socket s = new Socket("127.0.0.1", at.getPort())) {
            s.setSoTimeout(10_000);
            s.getOutputStream()
                    .write(("GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
                                    + "Upgrade: h2c\r\nHTTP2-Settings: AAEAAEAA\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            String all = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(all.startsWith("HTTP/1.1 200") && all.endsWith("here"), all);
        }
    }

    /** What a bad peer sends first; its connection is closed, and others go on. */
    @ParameterizedTest
    @ValueSource(strings = {"GET /cut HTTP/1.1\r\nHo", "huge", "headers", "body", "\u0000\u0001\u0002\r\n\r\n"})
    void badPeersCostOneConnection(String first) throws Exception {
        serve(x -> x.answer(200, Headers.NONE, new byte[0]));
        String text = switch (first) {
            case "huge" -> "GET /" + "x".repeat(1 << 20) + " HTTP/1.1\r\n\r\n";
            case "headers" -> "GET / HTTP/1.1\r\n" + "a: b\r\n".repeat(1000) + "\r\n";
            case "body" -> "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n" + "x".repeat(9000);
            default -> first;
        };
        try (Socket s = new Socket("127.0.0.1", at.getPort())) {
            s.setSoTimeout(10_000);
            InputStream in = s.getInputStream();
            try {
                s.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
                byte[] buffer = new byte[4096];
                String answer = "";
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    answer += new String(buffer, 0, n, StandardCharsets.ISO_8859_1);
                }
                assertTrue(!answer.startsWith("HTTP/1.1 200"), answer);
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException reset) {
                assertTrue(reset.getMessage() != null);
            }
        }
        ask("/after");
        assertEquals("done 200 ", until("done"));
    }

    @Test
    void connectionsBeyondTheLimitAreClosed() throws Exception {
        serve(x -> x.answer(200, Headers.NONE, new byte[0]));
        List<Socket> held = new java.util.ArrayList<>();
        try {
            for (int i = 0; i < 4; i++) {
                Socket s = new Socket("127.0.0.1", at.getPort());
                s.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                assertTrue(s.getInputStream().read() > 0);
                held.add(s);
            }
            try (Socket more = new Socket("127.0.0.1", at.getPort())) {
                more.setSoTimeout(10_000);
                int first;
                try {
                    first = more.getInputStream().read();
                } catch (java.net.SocketException reset) {
                    first = -1;
                }
                assertEquals(-1, first);
            }
        } finally {
            for (Socket s : held) {
                s.close();
            }
        }
    }
}
