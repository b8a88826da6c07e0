package walnutfield.net.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
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
import walnutfield.sip.Flow;
import walnutfield.sip.Framer;
import walnutfield.sip.Malformed;

/** The sockets of SIP elements: any number of ports on loopback, each for datagrams and, where wanted, for streams. */
public final class SipNode implements AutoCloseable {
    /** What comes, on a thread of the sockets: it must not block. */
    public interface Receiver {
        /** A message, which may yet be malformed. */
        void came(byte[] message, Flow from, int localPort);

        /** A stream has ended, by whatever cause. */
        void broken(Flow flow);
    }

    private static final int DATAGRAM = 65_536;
    private static final int PENDING_MOST = 1 << 20; // bytes that a peer who does not read may leave unsent
    private static final byte[] PONG = {'\r', '\n'};
    private static final Attribute<Stream> STREAM =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("walnutfield.sip.stream");

    private final Receiver to;
    private final int streamsMost;
    private final UDPNIOTransport udp;
    private final TCPNIOTransport tcp;
    private final Map<Integer, UDPNIOServerConnection> datagrams =
            new ConcurrentHashMap<>(); // by port; emptied by unbind
    private final Map<Integer, TCPNIOServerConnection> listening = new ConcurrentHashMap<>(); // the same
    private final Set<Stream> streams = ConcurrentHashMap.newKeySet(); // emptied as they end

    /** @param streamsMost connections at a time; more are closed as they come */
    public SipNode(String name, int streamsMost, Receiver to) throws IOException {
        this.to = to;
        this.streamsMost = streamsMost;
        FilterChainBuilder d = FilterChainBuilder.stateless();
        d.add(new TransportFilter());
        d.add(new Datagrams());
        udp = UDPNIOTransportBuilder.newInstance()
                .setName(name + "-udp")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setReadBufferSize(DATAGRAM)
                .build();
        udp.setProcessor(d.build());
        FilterChainBuilder s = FilterChainBuilder.stateless();
        s.add(new TransportFilter());
        s.add(new Streams());
        tcp = TCPNIOTransportBuilder.newInstance()
                .setName(name + "-tcp")
                .setIOStrategy(SameThreadIOStrategy.getInstance())
                .setSelectorRunnersCount(1)
                .setReuseAddress(true)
                .setTcpNoDelay(true)
                .build();
        tcp.setProcessor(s.build());
        tcp.getAsyncQueueIO().getWriter().setMaxPendingBytesPerConnection(PENDING_MOST);
        udp.start();
        tcp.start();
    }

    /**
     * Listens on a port; 0 for any.
     *
     * @param withStreams for streams too, on the same port
     */
    public int bind(int port, boolean withStreams) throws IOException {
        for (int tries = 0; ; tries++) {
            UDPNIOServerConnection c = udp.bind(new InetSocketAddress("127.0.0.1", port));
            int bound = ((InetSocketAddress) c.getLocalAddress()).getPort();
            try {
                if (withStreams) {
                    listening.put(bound, tcp.bind(new InetSocketAddress("127.0.0.1", bound), 1024));
                }
                datagrams.put(bound, c);
                return bound;
            } catch (IOException e) { // another's stream has the number: any other will do
                udp.unbind(c);
                if (port != 0 || tries > 20) {
                    throw e;
                }
            }
        }
    }

    /** Listens there no more, and ends the streams that came to that port. */
    public void unbind(int port) {
        UDPNIOServerConnection d = datagrams.remove(port);
        if (d != null) {
            udp.unbind(d);
        }
        TCPNIOServerConnection l = listening.remove(port);
        if (l != null) {
            tcp.unbind(l);
        }
        streams.stream().filter(s -> s.localPort == port).forEach(s -> s.connection.closeSilently());
    }

    /** A way to a peer by datagrams from that port of ours. */
    public Flow datagrams(int fromPort, InetSocketAddress peer) {
        return new Datagram(fromPort, peer);
    }

    /** A stream to a peer; waits for the connection. */
    public Flow connect(InetSocketAddress peer, double waitMs) throws IOException {
        @SuppressWarnings("rawtypes") // the type that TCPNIOConnectorHandler declares
        GrizzlyFuture<Connection> f =
                TCPNIOConnectorHandler.builder(tcp).build().connect(peer);
        try {
            return streamOf(f.get((long) waitMs, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (ExecutionException | TimeoutException e) {
            f.cancel(true);
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        udp.shutdownNow();
        tcp.shutdownNow();
    }

    private Stream streamOf(Connection<?> c) {
        synchronized (c) {
            Stream s = STREAM.get(c);
            if (s == null) {
                s = new Stream(c);
                STREAM.set(c, s);
                streams.add(s);
            }
            return s;
        }
    }

    /** One way for all datagrams of one peer: equal where port and peer are. */
    private final class Datagram implements Flow {
        private final int port;
        private final InetSocketAddress peer;

        Datagram(int port, InetSocketAddress peer) {
            this.port = port;
            this.peer = peer;
        }

        @Override
        public boolean isReliable() {
            return false;
        }

        @Override
        public InetSocketAddress remote() {
            return peer;
        }

        @Override
        public void send(byte[] message) {
            UDPNIOServerConnection c = datagrams.get(port);
            if (c != null) {
                c.write(peer, Buffers.wrap(udp.getMemoryManager(), message), null);
            }
        }
    }

    private final class Stream implements Flow {
        private final Connection<?> connection;
        private final InetSocketAddress peer;
        private final int localPort;
        private final Framer framer;

        Stream(Connection<?> c) {
            connection = c;
            peer = (InetSocketAddress) c.getPeerAddress();
            localPort = ((InetSocketAddress) c.getLocalAddress()).getPort();
            framer = new Framer(DATAGRAM, m -> to.came(m, this, localPort), () -> send(PONG));
        }

        @Override
        public boolean isReliable() {
            return true;
        }

        @Override
        public InetSocketAddress remote() {
            return peer;
        }

        @Override
        @SuppressWarnings({"unchecked", "rawtypes"})
        public void send(byte[] message) {
            if (!connection.canWrite()) { // it has not read a megabyte: it is lost to us
                connection.closeSilently();
            } else if (connection.isOpen()) {
                ((Connection) connection).write(Buffers.wrap(tcp.getMemoryManager(), message));
            }
        }
    }

    private final class Datagrams extends BaseFilter {
        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] m = bytes(ctx.getMessage());
            int port = ((InetSocketAddress) ctx.getConnection().getLocalAddress()).getPort();
            if (m.length > 4) { // less is a keep-alive
                to.came(m, new Datagram(port, (InetSocketAddress) ctx.getAddress()), port);
            }
            return ctx.getStopAction();
        }
    }

    private final class Streams extends BaseFilter {
        @Override
        public NextAction handleAccept(FilterChainContext ctx) {
            if (streams.size() >= streamsMost) {
                ctx.getConnection().closeSilently();
                return ctx.getStopAction();
            }
            streamOf(ctx.getConnection());
            return ctx.getInvokeAction();
        }

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            byte[] piece = bytes(ctx.getMessage());
            try {
                streamOf(ctx.getConnection()).framer.take(piece);
            } catch (Malformed e) {
                ctx.getConnection().closeSilently();
            }
            return ctx.getStopAction();
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Stream s = STREAM.get(ctx.getConnection());
            if (s != null) {
                streams.remove(s);
                to.broken(s);
            }
            return ctx.getInvokeAction();
        }
    }

    private static byte[] bytes(Object message) {
        Buffer b = (Buffer) message;
        byte[] out = new byte[b.remaining()];
        b.get(out);
        b.tryDispose();
        return out;
    }
}
