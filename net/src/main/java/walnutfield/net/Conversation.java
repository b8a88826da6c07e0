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

/** State of one connection to a server: the exchange that is open and those pipelined behind it. */
final class Conversation {
    private final TCPNIOConnection connection;
    private final int port;
    private final Consumer<Exchange> handler;
    private final int most;
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>(); // at most so many; emptied as answers go
    private Exchange open;
    private double quietSince; // since when there is nothing to do, or a request is incomplete
    private boolean partial;
    private double unreadSince = Double.NaN;
    private int unread;

    Conversation(Connection<?> connection, Consumer<Exchange> handler, int most, double now) {
        this.connection = (TCPNIOConnection) connection;
        this.handler = handler;
        this.most = most;
        quietSince = now;
        Object local = connection.getLocalAddress();
        port = local instanceof InetSocketAddress a ? a.getPort() : 0;
    }

    int port() {
        return port;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    synchronized void bytesCame(double now) {
        if (open == null && !partial) {
            partial = true;
            quietSince = now;
        }
    }

    /** Hands a whole request on, or keeps it until those before it are answered. */
    void take(Exchange x) {
        synchronized (this) {
            partial = false;
            if (open != null) {
                if (waiting.size() >= most) {
                    connection.closeSilently();
                } else {
                    waiting.add(x);
                }
                return;
            }
            open = x;
        }
        handler.accept(x);
    }

    void answered() {
        Exchange next;
        synchronized (this) {
            quietSince = Clock.now();
            open = waiting.poll();
            next = open;
        }
        if (next != null) {
            handler.accept(next);
        }
    }

    void closed() {
        Exchange was;
        synchronized (this) {
            was = open;
            open = null;
            waiting.clear();
        }
        if (was != null) {
            was.lost();
        }
    }

    /** Closes it where the peer does not send, says nothing or does not read. */
    void sweep(double now, Limits limits) {
        boolean close;
        synchronized (this) {
            boolean quiet = open == null && now - quietSince > (partial ? limits.requestMs() : limits.idleMs());
            close = quiet || unread > 0 && now - unreadSince > limits.unreadMs();
        }
        if (close) {
            connection.closeSilently();
        }
    }

    void write(HttpContent what, boolean last) {
        synchronized (this) {
            if (unread++ == 0) {
                unreadSince = Clock.now();
            }
        }
        connection.write(what, new EmptyCompletionHandler<WriteResult<HttpContent, SocketAddress>>() {
            @Override
            public void completed(WriteResult<HttpContent, SocketAddress> result) {
                synchronized (Conversation.this) {
                    unread--;
                    unreadSince = Clock.now();
                }
                if (last) {
                    connection.closeSilently();
                }
            }

            @Override
            public void failed(Throwable t) {
                connection.closeSilently();
            }
        });
    }

    void reset() {
        try {
            ((SocketChannel) connection.getChannel()).socket().setSoLinger(true, 0);
        } catch (IOException e) {
            // it is closed already
        }
        connection.closeSilently();
    }
}
