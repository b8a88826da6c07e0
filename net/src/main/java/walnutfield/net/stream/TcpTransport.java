package walnutfield.net.stream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import walnutfield.net.ErrorReportingFilter;

/**
 * Accepts and opens TCP connections on a single I/O thread, as a chain of Grizzly filters with one task each (reading
 * and writing bytes, tracking open and closed connections). It uses plain heap buffers and reserves none in advance, to
 * keep memory use low.
 */
public final class TcpTransport implements AutoCloseable {
    /** What one read returns at most; more may be waiting behind a read of this length. */
    public static final int READ_BUFFER_BYTES = 16_384;

    private static final int ACCEPT_BACKLOG = 1024;
    private static final int FAIR_PENDING_BYTES = 16_384; // what any peer may leave unread
    private static final Attribute<TcpStream> STREAM_ATTRIBUTE =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.stream");

    /** Receives the bytes of a stream. Called on the I/O thread, one call at a time; must not block it for long. */
    public interface Handler {
        void received(byte[] bytes);

        /** Called once, however the stream ended; on the thread that closed it, which may not be the I/O thread. */
        void closed();
    }

    /** Supplies the handlers of new streams. */
    public interface Acceptor {
        /** Returns the handler of the stream, or null to reject and close an accepted stream. */
        Handler opened(TcpStream stream);
    }

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler connector;
    private volatile Acceptor acceptor = s -> null;
    private volatile TCPNIOServerConnection serverConnection;
    private final AtomicInteger openStreams = new AtomicInteger();
    private final Set<TcpStream> registeredStreams = ConcurrentHashMap.newKeySet(); // removed as they close
    private final long maxTotalPendingBytes;

    /**
     * Creates a transport.
     *
     * @param maxPendingBytes      bytes that a peer may leave unread before its connection is terminated
     * @param maxTotalPendingBytes bytes that all peers together may leave unread; beyond it the connection of a peer
     *                             that has left {@link #FAIR_PENDING_BYTES} unread is terminated as well
     */
    public TcpTransport(String name, int maxPendingBytes, long maxTotalPendingBytes) throws IOException {
        this.maxTotalPendingBytes = maxTotalPendingBytes;
        ErrorReportingFilter errors = new ErrorReportingFilter();
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(errors);
        chain.add(new LifecycleFilter());
        chain.add(new ReadFilter());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager())
                .setReadBufferSize(READ_BUFFER_BYTES)
                .setServerConnectionBackLog(ACCEPT_BACKLOG)
                .build();
        transport.setProcessor(chain.build());
        errors.observe(transport);
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(maxPendingBytes);
        connector = TCPNIOConnectorHandler.builder(transport).build();
        transport.start();
    }

    /**
     * Starts to listen at the address; port 0 selects a free port.
     *
     * @return the address it listens at
     */
    public InetSocketAddress bind(InetSocketAddress address, Acceptor newAcceptor) throws IOException {
        acceptor = newAcceptor;
        serverConnection = transport.bind(address, ACCEPT_BACKLOG);
        return (InetSocketAddress) serverConnection.getLocalAddress();
    }

    /** Returns the number of streams that are open now. */
    public int openStreams() {
        return openStreams.get();
    }

    /**
     * Waits until the I/O thread has read what has arrived by now, and has passed it to the handlers.
     *
     * @return false if it had not done so within the timeout
     */
    public boolean awaitReads(long timeoutMs) {
        TcpStream anyStream = registeredStreams.stream().findAny().orElse(null);
        if (anyStream == null) {
            return true;
        }
        CountDownLatch read = new CountDownLatch(1);
        anyStream.runAfterNextReads(read::countDown);
        try {
            return read.await(timeoutMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** A connection attempt in progress. */
    public interface PendingConnect {
        /** Abandons the attempt; none of its callbacks is called any more. */
        void cancel();
    }

    /**
     * Opens a stream.
     *
     * @param connected called with the new stream; returns its handler, which then receives all bytes of the stream
     * @param failed    called on any thread if the connection cannot be established
     */
    public PendingConnect connect(InetSocketAddress address, Acceptor connected, Consumer<Throwable> failed) {
        AtomicBoolean settled = new AtomicBoolean();
        @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
        GrizzlyFuture<Connection> connectFuture;
        try {
            connectFuture = connector.connect(address);
        } catch (RuntimeException error) {
            failed.accept(error);
            return () -> {};
        }
        connectFuture.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
            public void completed(Connection connection) {
                if (!settled.compareAndSet(false, true)) {
                    connection.closeSilently();
                    return;
                }
                TcpStream stream = streamOf(connection);
                stream.attach(connected.opened(stream));
                notifyIfClosed(connection, stream);
            }

            @Override
            public void failed(Throwable error) {
                if (settled.compareAndSet(false, true)) {
                    failed.accept(error);
                }
            }
        });
        return () -> {
            if (settled.compareAndSet(false, true)) {
                connectFuture.cancel(true);
            }
        };
    }

    private TcpStream streamOf(Connection<?> connection) {
        synchronized (connection) {
            TcpStream stream = STREAM_ATTRIBUTE.get(connection);
            if (stream == null) {
                stream = new TcpStream(connection, transport.getMemoryManager(), this::allowsPending);
                STREAM_ATTRIBUTE.set(connection, stream);
                registeredStreams.add(stream);
            }
            return stream;
        }
    }

    /** Returns whether a stream may keep this many bytes that its peer has not read yet. */
    private boolean allowsPending(int streamPendingBytes) {
        return streamPendingBytes <= FAIR_PENDING_BYTES || pendingBytes() <= maxTotalPendingBytes;
    }

    /** Returns the bytes written to open streams that wait for their peers to read. */
    public long pendingBytes() {
        return registeredStreams.stream().mapToLong(TcpStream::pendingBytes).sum();
    }

    /**
     * Covers a stream that was closed, by another thread or by the peer, before it was registered here: without this
     * its handler would never be notified of the close.
     */
    private void notifyIfClosed(Connection<?> connection, TcpStream stream) {
        if (!connection.isOpen()) {
            registeredStreams.remove(stream);
            stream.markClosed();
        }
    }

    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }

    /** Tracks streams as they open and close. */
    private final class LifecycleFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> connection = ctx.getConnection();
            openStreams.incrementAndGet();
            TcpStream stream = streamOf(connection);
            Handler handler = acceptor.opened(stream);
            if (handler == null) {
                connection.closeSilently();
                registeredStreams.remove(stream);
                return ctx.getStopAction();
            }
            stream.attach(handler);
            notifyIfClosed(connection, stream);
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleConnect(FilterChainContext ctx) {
            openStreams.incrementAndGet();
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            openStreams.decrementAndGet();
            TcpStream stream = STREAM_ATTRIBUTE.get(ctx.getConnection());
            if (stream != null) {
                registeredStreams.remove(stream);
                stream.markClosed();
            }
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            ctx.getConnection().closeSilently();
        }
    }

    /** Passes received bytes to the stream. */
    private final class ReadFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Buffer buffer = ctx.getMessage();
            byte[] bytes = new byte[buffer.remaining()];
            buffer.get(bytes);
            buffer.tryDispose();
            streamOf(ctx.getConnection()).received(bytes);
            return ctx.getStopAction();
        }
    }
}
