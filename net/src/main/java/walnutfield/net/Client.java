package walnutfield.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/** Sends requests over connections that are kept for each address; nothing is ever sent a second time. */
public final class Client implements AutoCloseable {
    private static final Attribute<Sent> CURRENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.sent");

    /** What becomes of a request, on the selector's thread, one after the other; the last is done or failed. */
    public interface Answer {
        void head(int status, Headers headers);

        void body(byte[] piece);

        void done();

        void failed(Failure how);
    }

    /** Why there is no whole answer. */
    public enum Failure {
        /** No connection was made: nothing was sent. */
        UNREACHABLE,
        /** The connection was lost after the request was sent. */
        BROKEN_OFF,
        /** Called off before it was sent. */
        NOT_SENT
    }

    /**
     * @param dialMs    a connection must stand so long after it was asked for
     * @param idleMs    an idle one is used again within this time only; it must be under the peers' own limit
     * @param idleMost  idle connections kept for each address
     * @param headBytes of an answer's status line and fields
     * @param bodyBytes of the answer's body at most; more is taken as a lost connection
     */
    public record Terms(double dialMs, double idleMs, int idleMost, int headBytes, long bodyBytes) {}

    private record Idle(Connection<?> connection, double since) {}

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler dialer;
    private final Terms terms;
    private final Map<InetSocketAddress, ArrayDeque<Idle>> pools = new HashMap<>(); // emptied by the sweep
    private final ScheduledExecutorService timers;
    private boolean closed;

    public Client(String name, int selectors, Terms terms) throws IOException {
        this.terms = terms;
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new HttpClientFilter(terms.headBytes()));
        chain.add(new Answers());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(selectors)
                .build();
        transport.setProcessor(chain.build());
        transport.start();
        dialer = TCPNIOConnectorHandler.builder(transport).build();
        timers = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, name + "-timers");
            t.setDaemon(true);
            return t;
        });
        long idle = Math.max(1, (long) terms.idleMs());
        timers.scheduleWithFixedDelay(this::sweep, idle, idle, TimeUnit.MILLISECONDS);
    }

    /** Sends a request; what comes of it is told to {@code answer}. */
    public Sent send(InetSocketAddress to, Request request, Answer answer) {
        Sent sent = new Sent(to, request, answer);
        Connection<?> kept = kept(to);
        if (kept != null) {
            sent.goes(kept);
        } else {
            dial(to, sent);
        }
        return sent;
    }

    private void dial(InetSocketAddress to, Sent sent) {
        try {
            timers.schedule(
                    () -> sent.fail(Failure.UNREACHABLE, false),
                    (long) Math.max(1, terms.dialMs()),
                    TimeUnit.MILLISECONDS);
            dialer.connect(to, null, new EmptyCompletionHandler<>() {
                @Override
                @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
                public void completed(Connection c) {
                    sent.goes(c);
                }

                @Override
                public void failed(Throwable t) {
                    sent.fail(Failure.UNREACHABLE, false);
                }
            });
        } catch (RuntimeException e) { // closed meanwhile
            sent.fail(Failure.UNREACHABLE, false);
        }
    }

    private Connection<?> kept(InetSocketAddress to) {
        double oldest = Clock.now() - terms.idleMs();
        synchronized (pools) {
            ArrayDeque<Idle> pool = pools.get(to);
            while (pool != null && !pool.isEmpty()) {
                Idle i = pool.pollLast();
                if (i.connection().isOpen() && i.since() >= oldest) {
                    return i.connection();
                }
                i.connection().closeSilently();
            }
            return null;
        }
    }

    private void keep(InetSocketAddress to, Connection<?> c) {
        synchronized (pools) {
            ArrayDeque<Idle> pool = pools.computeIfAbsent(to, k -> new ArrayDeque<>());
            if (pool.size() < terms.idleMost() && !closed) {
                pool.addLast(new Idle(c, Clock.now()));
                return;
            }
        }
        c.closeSilently();
    }

    private void sweep() {
        double oldest = Clock.now() - terms.idleMs();
        synchronized (pools) {
            pools.values().removeIf(pool -> {
                pool.removeIf(i -> {
                    boolean old = !i.connection().isOpen() || i.since() < oldest;
                    if (old) {
                        i.connection().closeSilently();
                    }
                    return old;
                });
                return pool.isEmpty();
            });
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (pools) {
            closed = true;
            pools.clear();
        }
        timers.shutdownNow();
        transport.shutdownNow();
    }

    /** A request under way. */
    public final class Sent {
        private final InetSocketAddress to;
        private final Request request;
        private final Answer answer;
        private Connection<?> connection;
        private boolean over;
        private boolean headed;
        private long bytes;

        private Sent(InetSocketAddress to, Request request, Answer answer) {
            this.to = to;
            this.request = request;
            this.answer = answer;
        }

        /** Calls it off: its connection is closed, and nothing more is told of it, not even an end. */
        public void callOff() {
            Connection<?> c;
            synchronized (this) {
                over = true;
                c = connection;
            }
            if (c != null) {
                c.closeSilently();
            }
        }

        /** Calls it off if it still waits for a connection; false where it has left, or is over. */
        public synchronized boolean callOffUnsent() {
            if (over || connection != null) {
                return false;
            }
            over = true;
            return true;
        }

        /** Whether the request had left for its host. */
        public synchronized boolean wentOut() {
            return connection != null;
        }

        private void goes(Connection<?> c) {
            synchronized (this) {
                if (over) {
                    keep(to, c);
                    return;
                }
                connection = c;
            }
            CURRENT.set(c, this);
            HttpRequestPacket.Builder b = HttpRequestPacket.builder()
                    .method(request.method())
                    .uri(request.path())
                    .protocol(Protocol.HTTP_1_1)
                    .header("Host", to.getHostString() + ":" + to.getPort());
            if (request.query() != null) {
                b.query(request.query());
            }
            request.headers().all().forEach(b::header);
            if (request.body().length > 0 || request.method().equals("POST")) {
                b.contentLength(request.body().length);
            }
            HttpRequestPacket packet = b.build();
            EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>> after = new EmptyCompletionHandler<>() {
                @Override
                public void failed(Throwable t) {
                    c.closeSilently();
                    fail(Failure.BROKEN_OFF, true);
                }
            };
            ((NIOConnection) c)
                    .write(
                            HttpContent.builder(packet)
                                    .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, request.body()))
                                    .last(true)
                                    .build(),
                            after);
            if (!c.isOpen()) {
                fail(Failure.BROKEN_OFF, true);
            }
        }

        private void fail(Failure how, boolean evenIfSent) {
            synchronized (this) {
                if (over || connection != null && !evenIfSent) {
                    return;
                }
                over = true;
            }
            answer.failed(how);
        }

        private void part(HttpContent content, Connection<?> c) {
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            synchronized (this) {
                if (over) {
                    return;
                }
            }
            if (!headed) {
                headed = true;
                answer.head(head.getStatus(), Server.headers(head.getHeaders()));
            }
            if (content.getContent() != null && content.getContent().hasRemaining()) {
                byte[] piece = new byte[content.getContent().remaining()];
                content.getContent().get(piece);
                bytes += piece.length;
                if (bytes > terms.bodyBytes()) {
                    c.closeSilently();
                    fail(Failure.BROKEN_OFF, true);
                    return;
                }
                answer.body(piece);
            }
            if (content.isLast()) {
                synchronized (this) {
                    if (over) {
                        return;
                    }
                    over = true;
                }
                CURRENT.remove(c);
                String kind = head.getHeader("Connection");
                if (kind != null && kind.toLowerCase().contains("close") || !c.isOpen()) {
                    c.closeSilently();
                } else {
                    keep(to, c);
                }
                answer.done();
            }
        }
    }

    /** Hands what a connection brings to the request that is out on it. */
    private final class Answers extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            Sent sent = CURRENT.get(ctx.getConnection());
            if (sent == null) { // bytes that nobody asked for
                ctx.getConnection().closeSilently();
            } else {
                sent.part(content, ctx.getConnection());
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Sent sent = CURRENT.get(ctx.getConnection());
            if (sent != null) {
                sent.fail(Failure.BROKEN_OFF, true);
            }
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            ctx.getConnection().closeSilently();
        }
    }
}
