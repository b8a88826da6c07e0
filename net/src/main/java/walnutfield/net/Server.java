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
 * HTTP server on loopback ports. A chain of Grizzly filters with one task each: connections are counted and limited,
 * HTTP is decoded, requests are assembled. The handler runs on a selector thread and must not block; it may answer
 * later and from any thread.
 */
public final class Server implements AutoCloseable {
    private static final Attribute<ServerConnection> CONNECTION =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.conversation");
    private static final Attribute<ByteArrayOutputStream> BODY =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.net.body");
    private static final int IDLE_SWEEP_INTERVAL_MS = 250;

    private final TCPNIOTransport transport;
    private final Limits limits;
    private final Consumer<Exchange> handler;
    private final Set<Connection<?>> openConnections = ConcurrentHashMap.newKeySet(); // removed when they close
    // Listening sockets by port; unbind removes them.
    private final Map<Integer, TCPNIOServerConnection> listeners = new ConcurrentHashMap<>();
    private final PeriodicTask sweeper;

    /**
     * @param name      prefix of the names of the server's threads
     * @param selectors number of threads that read, write and call the handler
     */
    public Server(String name, int selectors, Limits limits, Consumer<Exchange> handler) {
        this.limits = limits;
        this.handler = handler;
        ErrorReportingFilter errors = new ErrorReportingFilter();
        FilterChainBuilder chain = FilterChainBuilder.stateless();
        chain.add(new TransportFilter());
        chain.add(errors);
        chain.add(new ConnectionFilter());
        KeepAlive keepAlive = new KeepAlive(); // the idle sweep closes idle connections, not the codec
        keepAlive.setIdleTimeoutInSeconds(-1);
        keepAlive.setMaxRequestsCount(-1);
        @SuppressWarnings("deprecation") // the only constructor that limits the number of header fields
        HttpServerFilter codec = new HttpServerFilter(
                true,
                limits.maxHeaderBytes(),
                null,
                keepAlive,
                null,
                limits.maxHeaderFields(),
                limits.maxHeaderFields());
        codec.setMaxPayloadRemainderToSkip(limits.maxBodyBytes());
        chain.add(codec);
        chain.add(new RequestFilter());
        transport = TCPNIOTransportBuilder.newInstance()
                .setName(name)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(selectors)
                .setServerConnectionBackLog(1024)
                .build();
        transport.setProcessor(chain.build());
        errors.observe(transport);
        sweeper = PeriodicTask.start(name + "-sweep", IDLE_SWEEP_INTERVAL_MS, this::closeTimedOut);
    }

    public void start() throws IOException {
        transport.start();
    }

    /** Listens on a loopback port, any free one for 0, and returns the port. */
    public int bind(int port) throws IOException {
        TCPNIOServerConnection listener = transport.bind(new InetSocketAddress("127.0.0.1", port), 1024);
        int bound = ((InetSocketAddress) listener.getLocalAddress()).getPort();
        listeners.put(bound, listener);
        return bound;
    }

    /** Accepts no more connections on that port; open connections stay. */
    public void unbind(int port) {
        TCPNIOServerConnection listener = listeners.remove(port);
        if (listener != null) {
            transport.unbind(listener);
        }
    }

    /** Resets every open connection that was accepted on that port. */
    public void resetConnections(int port) {
        for (Connection<?> rawConnection : openConnections) {
            ServerConnection connection = CONNECTION.get(rawConnection);
            if (connection != null && connection.port() == port) {
                connection.reset();
            }
        }
    }

    /** The number of open connections. */
    public int connectionCount() {
        return openConnections.size();
    }

    private void closeTimedOut() {
        double now = Clock.now();
        for (Connection<?> rawConnection : openConnections) {
            ServerConnection connection = CONNECTION.get(rawConnection);
            if (connection != null) {
                connection.closeIfTimedOut(now, limits);
            }
        }
    }

    @Override
    public void close() throws IOException {
        sweeper.close();
        transport.shutdownNow();
    }

    /** Tracks open connections, closes those over the limit, and records when bytes arrive. */
    private final class ConnectionFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            Connection<?> rawConnection = ctx.getConnection();
            if (openConnections.size() >= limits.maxConnections()) {
                rawConnection.closeSilently();
                return ctx.getStopAction();
            }
            CONNECTION.set(
                    rawConnection, new ServerConnection(rawConnection, handler, limits.maxPipelined(), Clock.now()));
            openConnections.add(rawConnection);
            if (!rawConnection.isOpen()) {
                openConnections.remove(rawConnection);
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            ServerConnection connection = CONNECTION.get(ctx.getConnection());
            if (connection != null) {
                connection.bytesReceived(Clock.now());
            }
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Connection<?> rawConnection = ctx.getConnection();
            openConnections.remove(rawConnection);
            ServerConnection connection = CONNECTION.get(rawConnection);
            if (connection != null) {
                connection.connectionClosed();
            }
            return ctx.getInvokeAction();
        }
    }

    /**
     * Assembles a request from its parts, up to the limit of its body, and passes it on. A request with a longer
     * body is answered with 413.
     */
    private final class RequestFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            HttpRequestPacket packet = (HttpRequestPacket) content.getHttpHeader();
            Connection<?> rawConnection = ctx.getConnection();
            ServerConnection connection = CONNECTION.get(rawConnection);
            if (connection == null) {
                return ctx.getStopAction();
            }
            ByteArrayOutputStream body = BODY.get(rawConnection);
            if (content.getContent() != null && content.getContent().hasRemaining()) {
                if (body == null) {
                    body = new ByteArrayOutputStream();
                    BODY.set(rawConnection, body);
                }
                byte[] bytes = new byte[content.getContent().remaining()];
                content.getContent().get(bytes);
                body.write(bytes, 0, bytes.length);
            }
            boolean tooLong = body != null && body.size() > limits.maxBodyBytes()
                    || packet.getContentLength() > limits.maxBodyBytes();
            boolean upgrade = packet.isUpgrade(); // ignored (RFC 9110, section 7.8); the codec reports no end
            if (!content.isLast() && !tooLong && !upgrade) {
                return ctx.getStopAction();
            }
            BODY.remove(rawConnection);
            Request request = new Request(
                    packet.getMethod().getMethodString(),
                    packet.getRequestURI(),
                    packet.getQueryString(),
                    headers(packet.getHeaders()),
                    body == null ? new byte[0] : body.toByteArray());
            if (tooLong) {
                Exchange exchange = new Exchange(
                        connection,
                        packet,
                        new Request(request.method(), request.path(), null, Headers.NONE, new byte[0]),
                        true);
                exchange.respond(413, Headers.NONE, new byte[0]);
            } else {
                connection.requestComplete(new Exchange(connection, packet, request, upgrade));
            }
            return ctx.getStopAction();
        }
    }

    /** Copies Grizzly's header fields. */
    static Headers headers(MimeHeaders mimeHeaders) {
        List<Map.Entry<String, String>> fields = new ArrayList<>();
        for (int i = 0; i < mimeHeaders.size(); i++) {
            fields.add(new AbstractMap.SimpleEntry<>(
                    mimeHeaders.getName(i).toString(), mimeHeaders.getValue(i).toString()));
        }
        return Headers.of(fields);
    }
}
