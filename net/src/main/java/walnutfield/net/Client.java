package walnutfield.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
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

/** HTTP client with a pool of persistent connections for each address. A request is never retried. */
public final class Client implements AutoCloseable {
    private static final Attribute<PendingRequest> CURRENT =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.sent");

    /**
     * Receives the response to a request. The calls come one after the other, mostly on a selector thread. The last one
     * reports the end of the response or a failure.
     */
    public interface ResponseHandler {
        /** The status line and the header section have arrived. */
        void onHead(int status, Headers headers);

        /** Part of the body has arrived. */
        void onBody(byte[] part);

        /** The response is complete. */
        void onComplete();

        /** There is no response, or it ended before it was complete. */
        void onFailure(Failure failure);
    }

    /** Why there is no complete response. */
    public enum Failure {
        /** No connection could be made: nothing was sent. */
        UNREACHABLE,
        /** The connection was lost after the request was sent, or the response body was too long. */
        BROKEN_OFF,
        /** The request was cancelled before it was sent. */
        NOT_SENT
    }

    /**
     * Time-outs and limits of a client.
     *
     * @param connectTimeoutMs  time in which a connection must be established
     * @param idleTimeoutMs     an idle connection is reused only within this time, which must be less than the idle
     *                          time-out of the servers
     * @param maxIdlePerAddress idle connections kept for each address
     * @param maxHeadBytes      of a response's status line and header section
     * @param maxBodyBytes      of a response's body; a longer one counts as a lost connection
     */
    public record Settings(
            double connectTimeoutMs,
            double idleTimeoutMs,
            int maxIdlePerAddress,
            int maxHeadBytes,
            long maxBodyBytes) {}

    private record IdleConnection(Connection<?> connection, double since) {}

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private final Settings settings;
    // Idle connections by address; closeExpired removes those that are closed or too old.
    private final Map<InetSocketAddress, ArrayDeque<IdleConnection>> pools = new HashMap<>();
    private final ScheduledThreadPoolExecutor timers;
    private boolean closed;

    /**
     * @param name      prefix of the names of the client's threads
     * @param selectors number of threads that read, write and call the response handlers
     */
    public Client(String name, int selectors, Settings settings) throws IOException {
        this.settings = settings;
        ErrorReportingFilter errors = new ErrorReportingFilter();
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(errors);
        chain.add(new HttpClientFilter(settings.maxHeadBytes()));
        chain.add(new ResponseFilter());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(selectors)
                .build();
        transport.setProcessor(chain.build());
        errors.observe(transport);
        transport.start();
        connector = TCPNIOConnectorHandler.builder(transport).build();
        timers = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name + "-timers");
            thread.setDaemon(true);
            return thread;
        });
        long idle = Math.max(1, (long) settings.idleTimeoutMs());
        timers.setRemoveOnCancelPolicy(true); // otherwise each request would be kept until its connect timeout
        timers.scheduleWithFixedDelay(PeriodicTask.guarded(this::closeExpired), idle, idle, TimeUnit.MILLISECONDS);
    }

    /** Sends a request over a pooled connection or a new one; {@code handler} receives the response. */
    public PendingRequest send(InetSocketAddress address, Request request, ResponseHandler handler) {
        PendingRequest sent = new PendingRequest(address, request, handler);
        Connection<?> pooled = takePooled(address);
        if (pooled != null) {
            sent.sendOver(pooled);
        } else {
            connect(address, sent);
        }
        return sent;
    }

    private void connect(InetSocketAddress address, PendingRequest sent) {
        try {
            sent.setConnectTimeout(timers.schedule(
                    () -> sent.fail(Failure.UNREACHABLE, false),
                    (long) Math.max(1, settings.connectTimeoutMs()),
                    TimeUnit.MILLISECONDS));
            connector.connect(address, null, new EmptyCompletionHandler<>() {
                @Override
                @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
                public void completed(Connection connection) {
                    sent.sendOver(connection);
                }

                @Override
                public void failed(Throwable cause) {
                    sent.fail(Failure.UNREACHABLE, false);
                }
            });
        } catch (RuntimeException e) { // the client was closed meanwhile
            sent.fail(Failure.UNREACHABLE, false);
        }
    }

    /** Takes the most recently used idle connection out of the pool; null if there is none that is still usable. */
    private Connection<?> takePooled(InetSocketAddress address) {
        double oldestAllowed = Clock.now() - settings.idleTimeoutMs();
        synchronized (pools) {
            ArrayDeque<IdleConnection> pool = pools.get(address);
            while (pool != null && !pool.isEmpty()) {
                IdleConnection entry = pool.pollLast();
                if (entry.connection().isOpen() && entry.since() >= oldestAllowed) {
                    return entry.connection();
                }
                entry.connection().closeSilently();
            }
            return null;
        }
    }

    /** Closes the idle connections to an address; used where another server is known to listen there now. */
    public void closeIdle(InetSocketAddress address) {
        ArrayDeque<IdleConnection> pool;
        synchronized (pools) {
            pool = pools.remove(address);
        }
        if (pool != null) {
            pool.forEach(entry -> entry.connection().closeSilently());
        }
    }

    /** Returns the number of connect timeouts that are running. */
    int pendingConnectTimeouts() {
        return timers.getQueue().size() - 1; // without the task that closes expired connections
    }

    private void returnToPool(InetSocketAddress address, Connection<?> connection) {
        synchronized (pools) {
            ArrayDeque<IdleConnection> pool = pools.computeIfAbsent(address, k -> new ArrayDeque<>());
            if (pool.size() < settings.maxIdlePerAddress() && !closed) {
                pool.addLast(new IdleConnection(connection, Clock.now()));
                return;
            }
        }
        connection.closeSilently();
    }

    private void closeExpired() {
        double oldestAllowed = Clock.now() - settings.idleTimeoutMs();
        synchronized (pools) {
            pools.values().removeIf(pool -> {
                pool.removeIf(entry -> {
                    boolean expired = !entry.connection().isOpen() || entry.since() < oldestAllowed;
                    if (expired) {
                        entry.connection().closeSilently();
                    }
                    return expired;
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

    /** A request whose response is not complete. */
    public final class PendingRequest {
        private final InetSocketAddress address;
        private final Request request;
        private final ResponseHandler handler;
        private Connection<?> connection;
        private boolean over; // cancelled, failed or complete: the handler is called no more
        private boolean headReceived;
        private long bodyBytesReceived;
        private Future<?> connectTimeout; // null where an open connection was used

        private PendingRequest(InetSocketAddress address, Request request, ResponseHandler handler) {
            this.address = address;
            this.request = request;
            this.handler = handler;
        }

        /** Cancels the request: its connection is closed, and the handler is called no more, not even with an end. */
        public void cancel() {
            Connection<?> used;
            synchronized (this) {
                over = true;
                used = connection;
                cancelConnectTimeout();
            }
            if (used != null) {
                used.closeSilently();
            }
        }

        /** Cancels the request if it still waits for a connection; returns false if it was sent or is over. */
        public synchronized boolean cancelIfUnsent() {
            if (over || connection != null) {
                return false;
            }
            over = true;
            cancelConnectTimeout();
            return true;
        }

        private synchronized void setConnectTimeout(Future<?> timeout) {
            connectTimeout = timeout;
            if (over) {
                cancelConnectTimeout();
            }
        }

        private void cancelConnectTimeout() {
            if (connectTimeout != null) {
                connectTimeout.cancel(false);
            }
        }

        /** Whether the request was given a connection to its server. */
        public synchronized boolean isSent() {
            return connection != null;
        }

        private void sendOver(Connection<?> available) {
            synchronized (this) {
                if (over) {
                    returnToPool(address, available);
                    return;
                }
                connection = available;
                cancelConnectTimeout();
            }
            CURRENT.set(available, this);
            HttpRequestPacket.Builder builder = HttpRequestPacket.builder()
                    .method(request.method())
                    .uri(request.path())
                    .protocol(Protocol.HTTP_1_1)
                    .header("Host", address.getHostString() + ":" + address.getPort());
            if (request.query() != null) {
                builder.query(request.query());
            }
            request.headers().all().forEach(builder::header);
            if (request.body().length > 0 || request.method().equals("POST")) {
                builder.contentLength(request.body().length);
            }
            HttpRequestPacket packet = builder.build();
            EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>> writeHandler =
                    new EmptyCompletionHandler<>() {
                        @Override
                        public void failed(Throwable cause) {
                            available.closeSilently();
                            fail(Failure.BROKEN_OFF, true);
                        }
                    };
            ((NIOConnection) available)
                    .write(
                            HttpContent.builder(packet)
                                    .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, request.body()))
                                    .last(true)
                                    .build(),
                            writeHandler);
            if (!available.isOpen()) {
                fail(Failure.BROKEN_OFF, true);
            }
        }

        /**
         * Reports a failure once.
         *
         * @param evenIfSent false for a failure to connect, which says nothing about a request that has a connection
         */
        private void fail(Failure failure, boolean evenIfSent) {
            synchronized (this) {
                if (over || connection != null && !evenIfSent) {
                    return;
                }
                over = true;
                cancelConnectTimeout();
            }
            handler.onFailure(failure);
        }

        private void receive(HttpContent content, Connection<?> source) {
            HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
            synchronized (this) {
                if (over) {
                    return;
                }
            }
            if (!headReceived) {
                headReceived = true;
                handler.onHead(head.getStatus(), Server.headers(head.getHeaders()));
            }
            if (content.getContent() != null && content.getContent().hasRemaining()) {
                byte[] part = new byte[content.getContent().remaining()];
                content.getContent().get(part);
                bodyBytesReceived += part.length;
                if (bodyBytesReceived > settings.maxBodyBytes()) {
                    source.closeSilently();
                    fail(Failure.BROKEN_OFF, true);
                    return;
                }
                handler.onBody(part);
            }
            if (content.isLast()) {
                synchronized (this) {
                    if (over) {
                        return;
                    }
                    over = true;
                }
                CURRENT.remove(source);
                String connectionHeader = head.getHeader("Connection");
                if (connectionHeader != null && connectionHeader.toLowerCase().contains("close") || !source.isOpen()) {
                    source.closeSilently();
                } else {
                    returnToPool(address, source);
                }
                handler.onComplete();
            }
        }
    }

    /** Passes what a connection receives to the request that was sent on it. */
    private final class ResponseFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            PendingRequest sent = CURRENT.get(ctx.getConnection());
            if (sent == null) { // data that answers no request
                ctx.getConnection().closeSilently();
            } else {
                sent.receive(content, ctx.getConnection());
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            PendingRequest sent = CURRENT.get(ctx.getConnection());
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
