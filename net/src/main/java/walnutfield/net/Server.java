package walnutfield.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.AbstractMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.KeepAlive;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;

/**
 * HTTP on loopback ports: a chain of Grizzly filters, one job each (connections counted and swept, HTTP decoded,
 * requests made whole). The handler runs on the selector's thread and must not block; it answers when it likes.
 */
public final class Server implements AutoCloseable {
    private static final Attribute<Conversation> TALK =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.conversation");
    private static final Attribute<ByteArrayOutputStream> BODY =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.body");
    private static final int SWEEP_MS = 250;

    private final TCPNIOTransport transport;
    private final Limits limits;
    private final Consumer<Exchange> handler;
    private final Set<Connection<?>> open = ConcurrentHashMap.newKeySet(); // emptied as connections close
    private final Map<Integer, TCPNIOServerConnection> ports = new ConcurrentHashMap<>(); // one for each port bound
    private final ScheduledExecutorService sweeper;

    /**
     * @param selectors threads that read, write and call the handler
     */
    public Server(String name, int selectors, Limits limits, Consumer<Exchange> handler) {
        this.limits = limits;
        this.handler = handler;
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(new Door());
        KeepAlive kept = new KeepAlive(); // the sweep closes idle connections, not the codec
        kept.setIdleTimeoutInSeconds(-1);
        kept.setMaxRequestsCount(-1);
        @SuppressWarnings("deprecation") // the only constructor that bounds the number of headers
        HttpServerFilter codec = new HttpServerFilter(
                true, limits.headerBytes(), null, kept, null, limits.headerCount(), limits.headerCount());
        codec.setMaxPayloadRemainderToSkip(limits.bodyBytes());
        chain.add(codec);
        chain.add(new Whole());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(selectors)
                .setServerConnectionBackLog(1024)
                .build();
        transport.setProcessor(chain.build());
        sweeper = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, name + "-sweep");
            t.setDaemon(true);
            return t;
        });
        sweeper.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    public void start() throws IOException {
        transport.start();
    }

    /** Listens on a loopback port; 0 takes a free one. */
    public int bind(int port) throws IOException {
        TCPNIOServerConnection c = transport.bind(new InetSocketAddress("127.0.0.1", port), 1024);
        int bound = ((InetSocketAddress) c.getLocalAddress()).getPort();
        ports.put(bound, c);
        return bound;
    }

    /** Takes no more connections on that port; those open stay. */
    public void unbind(int port) {
        TCPNIOServerConnection c = ports.remove(port);
        if (c != null) {
            transport.unbind(c);
        }
    }

    /** Resets every open connection of that port. */
    public void cut(int port) {
        for (Connection<?> c : open) {
            Conversation talk = TALK.get(c);
            if (talk != null && talk.port() == port) {
                talk.reset();
            }
        }
    }

    public int connections() {
        return open.size();
    }

    private void sweep() {
        double now = Clock.now();
        for (Connection<?> c : open) {
            Conversation talk = TALK.get(c);
            if (talk != null) {
                talk.sweep(now, limits);
            }
        }
    }

    @Override
    public void close() throws IOException {
        sweeper.shutdownNow();
        transport.shutdownNow();
    }

    /** Counts connections, closes those beyond the limit, and notes when bytes came. */
    private final class Door extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            if (open.size() >= limits.connections()) {
                c.closeSilently();
                return ctx.getStopAction();
            }
            TALK.set(c, new Conversation(c, handler, limits.pipelined(), Clock.now()));
            open.add(c);
            if (!c.isOpen()) {
                open.remove(c);
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            Conversation talk = TALK.get(ctx.getConnection());
            if (talk != null) {
                talk.bytesCame(Clock.now());
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Connection<?> c = ctx.getConnection();
            open.remove(c);
            Conversation talk = TALK.get(c);
            if (talk != null) {
                talk.closed();
            }
            return ctx.getInvokeAction();
        }
    }

    /** Joins a request's pieces, up to the limit of its body, and hands it on. */
    private final class Whole extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            Connection<?> c = ctx.getConnection();
            Conversation talk = TALK.get(c);
            if (talk == null) {
                return ctx.getStopAction();
            }
            ByteArrayOutputStream body = BODY.get(c);
            if (content.getContent() != null && content.getContent().hasRemaining()) {
                if (body == null) {
                    body = new ByteArrayOutputStream();
                    BODY.set(c, body);
                }
                byte[] piece = new byte[content.getContent().remaining()];
                content.getContent().get(piece);
                body.write(piece, 0, piece.length);
            }
            boolean tooLong =
                    body != null && body.size() > limits.bodyBytes() || packet.getContentLength() > limits.bodyBytes();
            boolean upgrade = packet.isUpgrade(); // it is not taken up (RFC 9110, 7.8); the codec sees no end of it
            if (!content.isLast() && !tooLong && !upgrade) {
                return ctx.getStopAction();
            }
            BODY.remove(c);
            Request request = new Request(
                    packet.getMethod().getMethodString(),
                    packet.getRequestURI(),
                    packet.getQueryString(),
                    headers(packet.getHeaders()),
                    body == null ? new byte[0] : body.toByteArray());
            if (tooLong) {
                Exchange x = new Exchange(
                        talk,
                        packet,
                        new Request(request.method(), request.path(), null, Headers.NONE, new byte[0]),
                        true);
                x.answer(413, Headers.NONE, new byte[0]);
            } else {
                talk.take(new Exchange(talk, packet, request, upgrade));
            }
            return ctx.getStopAction();
        }
    }

    static Headers headers(MimeHeaders all) {
        List<Map.Entry<String, String>> list = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            list.add(new AbstractMap.SimpleEntry<>(
                    all.getName(i).toString(), all.getValue(i).toString()));
        }
        return Headers.of(list);
    }
}
