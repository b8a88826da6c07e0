package walnutfield.net.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.nio.transport.UDPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import walnutfield.net.ErrorReportingFilter;
import walnutfield.net.ReadControl;
import walnutfield.net.ReadLimit;
import walnutfield.sip.Flow;
import walnutfield.sip.Framer;
import walnutfield.sip.MalformedMessageException;

/** The transport of SIP elements: any number of loopback ports, each for UDP and, if asked for, for TCP as well. */
public final class SipTransport implements AutoCloseable {
    /** Receives messages, on a selector thread of the transport: it must not block. */
    public interface Receiver {
        /** A message arrived; it may be malformed. */
        void onMessage(byte[] message, Flow from, int localPort);

        /** A TCP connection has closed, for whatever reason. */
        void onConnectionClosed(Flow flow);
    }

    private static final int MAX_MESSAGE_BYTES = 65_536; // size of a UDP read, and limit of a message on TCP
    private static final int MAX_PENDING_BYTES = 1 << 20; // queued for a TCP peer that does not read
    private static final int MAX_QUEUED_PER_CONNECTION = 100; // messages that wait to be processed; beyond it, a pause
    private static final int MAX_QUEUED_DATAGRAMS = 1_000; // that wait to be processed; beyond it, they are dropped
    private static final byte[] PONG = {'\r', '\n'}; // the reply to a keep-alive on TCP (RFC 5626, section 4.4.1)
    private static final Attribute<TcpFlow> TCP_FLOW =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.sip.stream");

    private final Receiver receiver;
    private final int maxConnections;
    private final UDPNIOTransport udp;
    private final TCPNIOTransport tcp;
    // Listening sockets by port; unbind removes them.
    private final Map<Integer, UDPNIOServerConnection> udpListeners = new ConcurrentHashMap<>();
    private final Map<Integer, TCPNIOServerConnection> tcpListeners = new ConcurrentHashMap<>();
    private final AtomicInteger queuedDatagrams = new AtomicInteger();
    private final Set<TcpFlow> tcpFlows = ConcurrentHashMap.newKeySet(); // open connections, removed when they close

    /**
     * @param name           prefix of the names of the transport's threads
     * @param maxConnections TCP connections open at a time; further incoming ones are closed immediately
     */
    public SipTransport(String name, int maxConnections, Receiver receiver) throws IOException {
        this.receiver = receiver;
        this.maxConnections = maxConnections;
        ErrorReportingFilter errors = new ErrorReportingFilter();
        FilterChainBuilder udpChain = FilterChainBuilder.stateless();
        udpChain.add(new TransportFilter());
        udpChain.add(errors);
        udpChain.add(new UdpFilter());
        udp = UDPNIOTransportBuilder.newInstance()
                .setName(name + "-udp")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setReadBufferSize(MAX_MESSAGE_BYTES)
                .build();
        udp.setProcessor(udpChain.build());
        errors.observe(udp);
        FilterChainBuilder tcpChain = FilterChainBuilder.stateless();
        tcpChain.add(new TransportFilter());
        tcpChain.add(errors);
        tcpChain.add(new TcpFilter());
        tcp = TCPNIOTransportBuilder.newInstance()
                .setName(name + "-tcp")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .build();
        tcp.setProcessor(tcpChain.build());
        errors.observe(tcp);
        tcp.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(MAX_PENDING_BYTES);
        udp.start();
        tcp.start();
    }

    /**
     * Listens on a port, any free one for 0, and returns the port.
     *
     * @param withTcp whether to listen for TCP connections too, on the same port number
     */
    public int bind(int port, boolean withTcp) throws IOException {
        for (int attempts = 0; ; attempts++) {
            UDPNIOServerConnection listener = udp.bind(new InetSocketAddress("127.0.0.1", port));
            int bound = ((InetSocketAddress) listener.getLocalAddress()).getPort();
            try {
                if (withTcp) {
                    tcpListeners.put(bound, tcp.bind(new InetSocketAddress("127.0.0.1", bound), 1024));
                }
                udpListeners.put(bound, listener);
                return bound;
            } catch (IOException e) { // the TCP port of that number is taken: for port 0 another one is tried
                udp.unbind(listener);
                if (port != 0 || attempts > 20) {
                    throw e;
                }
            }
        }
    }

    /** Stops listening on a port and closes the TCP connections that it accepted. */
    public void unbind(int port) {
        UDPNIOServerConnection udpListener = udpListeners.remove(port);
        if (udpListener != null) {
            udp.unbind(udpListener);
        }
        TCPNIOServerConnection tcpListener = tcpListeners.remove(port);
        if (tcpListener != null) {
            tcp.unbind(tcpListener);
        }
        tcpFlows.stream().filter(flow -> flow.localPort == port).forEach(flow -> flow.connection.closeSilently());
    }

    /** A flow to a peer over UDP, sent from a port that was bound. */
    public Flow udpFlow(int fromPort, InetSocketAddress peer) {
        return new UdpFlow(fromPort, peer);
    }

    /** Opens a TCP connection to a peer; blocks until it is established, at most for the given time. */
    public Flow connect(InetSocketAddress peer, double timeoutMs) throws IOException {
        @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
        GrizzlyFuture<Connection> future =
                TCPNIOConnectorHandler.builder(tcp).build().connect(peer);
        try {
            return tcpFlowOf(future.get((long) timeoutMs, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            future.cancel(true);
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        udp.shutdownNow();
        tcp.shutdownNow();
    }

    /** The flow of a TCP connection, made at the first call. */
    private TcpFlow tcpFlowOf(Connection<?> connection) {
        synchronized (connection) {
            TcpFlow flow = TCP_FLOW.get(connection);
            if (flow == null) {
                flow = new TcpFlow(connection);
                TCP_FLOW.set(connection, flow);
                tcpFlows.add(flow);
            }
            return flow;
        }
    }

    /** Sends UDP datagrams from one local port to one peer. */
    private final class UdpFlow implements Flow {
        private final int port;
        private final InetSocketAddress peer;

        UdpFlow(int port, InetSocketAddress peer) {
            this.port = port;
            this.peer = peer;
        }

        @Override
        public boolean isReliable() {
            return false;
        }

        @Override
        public InetSocketAddress remoteAddress() {
            return peer;
        }

        @Override
        public void send(byte[] message) {
            UDPNIOServerConnection listener = udpListeners.get(port);
            if (listener != null) {
                listener.write(peer, Buffers.wrap(udp.getMemoryManager(), message), null);
            }
        }

        @Override
        public void messageQueued() {
            queuedDatagrams.incrementAndGet();
        }

        @Override
        public void messageProcessed() {
            queuedDatagrams.decrementAndGet();
        }
    }

    /** One TCP connection, whose bytes are split into messages. */
    private final class TcpFlow implements Flow {
        private final Connection<?> connection;
        private final InetSocketAddress peer;
        private final int localPort;
        private final Framer framer;
        private final ReadLimit limit;

        TcpFlow(Connection<?> newConnection) {
            connection = newConnection;
            peer = (InetSocketAddress) newConnection.getPeerAddress();
            localPort = ((InetSocketAddress) newConnection.getLocalAddress()).getPort();
            ReadControl readControl = new ReadControl(newConnection);
            limit = new ReadLimit(
                    MAX_QUEUED_PER_CONNECTION, readControl::pause, () -> readControl.resume(this::readMessages));
            framer = new Framer(MAX_MESSAGE_BYTES, m -> receiver.onMessage(m, this, localPort), () -> send(PONG));
        }

        @Override
        public boolean isReliable() {
            return true;
        }

        @Override
        public InetSocketAddress remoteAddress() {
            return peer;
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public void send(byte[] message) {
            if (!connection.canWrite()) { // the peer has MAX_PENDING_BYTES unread: it counts as lost
                connection.closeSilently();
            } else if (connection.isOpen()) {
                ((Connection) connection).write(Buffers.wrap(tcp.getMemoryManager(), message));
            }
        }

        void received(byte[] bytes) {
            framer.append(bytes);
            readMessages();
        }

        /** Passes on the messages that have arrived, until too many wait to be processed. */
        private void readMessages() {
            try {
                while (!limit.isReached() && framer.deliverNext()) {
                    // delivers one message at a time
                }
            } catch (MalformedMessageException e) {
                connection.closeSilently();
                return;
            }
            if (limit.isReached()) {
                limit.pause();
            }
        }

        @Override
        public void messageQueued() {
            limit.add(1);
        }

        @Override
        public void messageProcessed() {
            limit.remove(1);
        }
    }

    /** Passes each datagram on as one message. */
    private final class UdpFilter extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] message = bytes(ctx.getMessage());
            int port = ((InetSocketAddress) ctx.getConnection().getLocalAddress()).getPort();
            // Up to 4 bytes are a keep-alive.
            if (message.length > 4 && queuedDatagrams.get() < MAX_QUEUED_DATAGRAMS) {
                receiver.onMessage(message, new UdpFlow(port, (InetSocketAddress) ctx.getAddress()), port);
            }
            return ctx.getStopAction();
        }
    }

    /** Limits the number of TCP connections, splits their bytes into messages and reports when they close. */
    private final class TcpFilter extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            if (tcpFlows.size() >= maxConnections) {
                ctx.getConnection().closeSilently();
                return ctx.getStopAction();
            }
            tcpFlowOf(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            tcpFlowOf(ctx.getConnection()).received(bytes(ctx.getMessage()));
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            TcpFlow flow = TCP_FLOW.get(ctx.getConnection());
            if (flow != null) {
                tcpFlows.remove(flow);
                receiver.onConnectionClosed(flow);
            }
            return ctx.getInvokeAction();
        }
    }

    private static byte[] bytes(Object message) {
        Buffer buffer = (Buffer) message;
        byte[] out = new byte[buffer.remaining()];
        buffer.get(out);
        buffer.tryDispose();
        return out;
    }
}
