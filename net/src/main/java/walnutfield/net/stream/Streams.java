package walnutfield.net.stream;

import java.io.IOException;
import java.net.InetSocketAddress;
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

/**
 * TCP streams on one thread of sockets: a chain of Grizzly filters, one job each (bytes read and written, streams opened
 * and closed). It takes little memory: plain buffers of the heap, none reserved ahead.
 */
public final class Streams implements AutoCloseable {
    private static final int READ_BYTES = 16_384;
    private static final int BACKLOG = 1024;
    private static final Attribute<Stream> STREAM =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.stream");

    /** Who uses a stream. All is told on the thread of the sockets, one after the other, and must not block it for long. */
    public interface User {
        void came(byte[] piece);

        /** Told once, however it ended; on the thread that closed it, where that was another. */
        void closed();
    }

    /** Who takes streams that others open. */
    public interface Taker {
        /** Its user; null where it is not taken, and closed. */
        User opened(Stream stream);
    }

    private final TCPNIOTransport transport;
    private final TCPNIOConnectorHandler dialer;
    private volatile Taker taker = s -> null;
    private volatile TCPNIOServerConnection listening;
    private final AtomicInteger open = new AtomicInteger();

    /** @param pendingMost bytes that a peer may leave unread before it is cut */
    public Streams(String name, int pendingMost) throws IOException {
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new Ends());
        chain.add(new Bytes());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setMemoryManager(new HeapMemoryManager())
                .setReadBufferSize(READ_BYTES)
                .setServerConnectionBackLog(BACKLOG)
                .build();
        transport.setProcessor(chain.build());
        transport.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(pendingMost);
        dialer = TCPNIOConnectorHandler.builder(transport).build();
        transport.start();
    }

    /** Listens there; port 0 takes a free one. The result is where it listens. */
    public InetSocketAddress bind(InetSocketAddress at, Taker with) throws IOException {
        taker = with;
        listening = transport.bind(at, BACKLOG);
        return (InetSocketAddress) listening.getLocalAddress();
    }

    /** Streams open now. */
    public int open() {
        return open.get();
    }

    /** A stream that is being opened. */
    public interface Dial {
        /** Gives it up: nothing is told of it any more. */
        void giveUp();
    }

    /**
     * Opens a stream.
     *
     * @param up     told of the stream before any byte is read; it says who uses it
     * @param failed told where it does not come about, on any thread
     */
    public Dial dial(InetSocketAddress to, Taker up, Consumer<Throwable> failed) {
        AtomicBoolean over = new AtomicBoolean();
        @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
        GrizzlyFuture<Connection> f;
        try {
            f = dialer.connect(to);
        } catch (RuntimeException e) {
            failed.accept(e);
            return () -> {};
        }
        f.addCompletionHandler(new EmptyCompletionHandler<>() {
            @Override
            @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
            public void completed(Connection c) {
                if (!over.compareAndSet(false, true)) {
                    c.closeSilently();
                    return;
                }
                Stream s = of(c);
                s.is(up.opened(s));
                endedAlready(c, s);
            }

            @Override
            public void failed(Throwable t) {
                if (over.compareAndSet(false, true)) {
                    failed.accept(t);
                }
            }
        });
        return () -> {
            if (over.compareAndSet(false, true)) {
                f.cancel(true);
            }
        };
    }

    private Stream of(Connection<?> c) {
        synchronized (c) {
            Stream s = STREAM.get(c);
            if (s == null) {
                s = new Stream(c, transport.getMemoryManager());
                STREAM.set(c, s);
            }
            return s;
        }
    }

    /**
     * Guards against a stream that was closed, by another thread or its peer, before it was known here: nobody would ever
     * tell its user.
     */
    private static void endedAlready(Connection<?> c, Stream s) {
        if (!c.isOpen()) {
            s.ended();
        }
    }

    @Override
    public void close() throws IOException {
        transport.shutdownNow();
    }

    /** Streams that open and close. */
    private final class Ends extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            open.incrementAndGet();
            Stream made = of(c);
            User user = taker.opened(made);
            if (user == null) {
                c.closeSilently();
                return ctx.getStopAction();
            }
            made.is(user);
            endedAlready(c, made);
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleConnect(FilterChainContext ctx) {
            open.incrementAndGet();
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            open.decrementAndGet();
            Stream s = STREAM.get(ctx.getConnection());
            if (s != null) {
                s.ended();
            }
            return ctx.getInvokeAction();
        }

        @Override
        public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
            ctx.getConnection().closeSilently();
        }
    }

    /** Hands on what was read. */
    private final class Bytes extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Buffer b = ctx.getMessage();
            byte[] piece = new byte[b.remaining()];
            b.get(piece);
            b.tryDispose();
            of(ctx.getConnection()).came(piece);
            return ctx.getStopAction();
        }
    }
}
