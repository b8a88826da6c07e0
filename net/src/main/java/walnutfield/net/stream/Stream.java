package walnutfield.net.stream;

import java.net.InetSocketAddress;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;

/** One TCP stream. Any thread may write to it or close it. */
public final class Stream {
    private final Connection<?> connection;
    private final MemoryManager<?> memory;
    private Streams.User user; // on the thread of the sockets only

    Stream(Connection<?> connection, MemoryManager<?> memory) {
        this.connection = connection;
        this.memory = memory;
    }

    void is(Streams.User its) {
        user = its;
    }

    Streams.User user() {
        return user;
    }

    public InetSocketAddress remote() {
        return (InetSocketAddress) connection.getPeerAddress();
    }

    public boolean isOpen() {
        return connection.isOpen();
    }

    /** Writes it after what was written before; a peer that left too much unread is cut. False where nothing was written. */
    public boolean send(byte[] bytes) {
        if (!connection.isOpen()) {
            return false;
        }
        if (!connection.canWrite()) { // guards memory against a peer that does not read; it harms one that is only slow
            connection.closeSilently();
            return false;
        }
        ((NIOConnection) connection).write(Buffers.wrap(memory, bytes), null);
        return connection.isOpen();
    }

    /** Closes it; its user is told that it is closed. */
    public void close() {
        connection.closeSilently();
    }
}
