package walnutfield.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;

/**
 * State of one connection of a server: the exchange being answered, the requests pipelined behind it, and what its
 * time-outs are measured from.
 */
final class ServerConnection {
    private final TCPNIOConnection connection;
    private final int port;
    private final Consumer<Exchange> handler;
    private final int maxPipelined;
    private final ArrayDeque<Exchange> pipelined = new ArrayDeque<>(); // at most maxPipelined; polled on each response
    private Exchange current; // null while no request is being answered
    private double idleSince; // start of the idle period, or of an incomplete request
    private boolean requestPartial; // bytes of a request have arrived, but not all of it
    private double writeStalledSince = Double.NaN; // the last progress of the pending writes
    private int pendingWrites;

    ServerConnection(Connection<?> connection, Consumer<Exchange> handler, int maxPipelined, double now) {
        this.connection = (TCPNIOConnection) connection;
        this.handler = handler;
        this.maxPipelined = maxPipelined;
        idleSince = now;
        Object local = connection.getLocalAddress();
        port = local instanceof InetSocketAddress address ? address.getPort() : 0;
    }

    int port() {
        return port;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    synchronized void bytesReceived(double now) {
        if (current == null && !requestPartial) {
            requestPartial = true;
            idleSince = now;
        }
    }

    /**
     * Passes a complete request to the handler, or queues it until the requests before it are answered. A client that
     * pipelines more requests than the limit loses its connection.
     */
    void requestComplete(Exchange exchange) {
        synchronized (this) {
            requestPartial = false;
            if (current != null) {
                if (pipelined.size() >= maxPipelined) {
                    connection.closeSilently();
                } else {
                    pipelined.add(exchange);
                }
                return;
            }
            current = exchange;
        }
        handler.accept(exchange);
    }

    /** The current exchange was answered in full: the next pipelined request, if any, goes to the handler. */
    void responseSent() {
        Exchange next;
        synchronized (this) {
            idleSince = Clock.now();
            current = pipelined.poll();
            next = current;
        }
        if (next != null) {
            handler.accept(next);
        }
    }

    /** The connection has closed: pipelined requests are dropped and the current exchange is notified. */
    void connectionClosed() {
        Exchange interrupted;
        synchronized (this) {
            interrupted = current;
            current = null;
            pipelined.clear();
        }
        if (interrupted != null) {
            interrupted.connectionLost();
        }
    }

    /** Closes the connection if a request stays incomplete, or the peer is idle or does not read the response. */
    void closeIfTimedOut(double now, Limits limits) {
        boolean close;
        synchronized (this) {
            boolean timedOut = current == null
                    && now - idleSince > (requestPartial ? limits.requestTimeoutMs() : limits.idleTimeoutMs());
            close = timedOut || pendingWrites > 0 && now - writeStalledSince > limits.writeTimeoutMs();
        }
        if (close) {
            connection.closeSilently();
        }
    }

    /**
     * Writes part of a response.
     *
     * @param closeAfter whether the connection is closed once this is written
     */
    void write(HttpContent content, boolean closeAfter) {
        synchronized (this) {
            if (pendingWrites++ == 0) {
                writeStalledSince = Clock.now();
            }
        }
        connection.write(content, new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
            @Override
            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                synchronized (ServerConnection.this) {
                    pendingWrites--;
                    writeStalledSince = Clock.now();
                }
                if (closeAfter) {
                    connection.closeSilently();
                }
            }

            @Override
            public void failed(Throwable cause) {
                connection.closeSilently();
            }
        });
    }

    /** Closes the connection with a TCP reset. */
    void reset() {
        try {
            ((SocketChannel) connection.getChannel()).socket().setSoLinger(true, 0);
        } catch (IOException e) {
            // the socket is closed already
        }
        connection.closeSilently();
    }
}
