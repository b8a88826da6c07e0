package walnutfield.net.stream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;

/** One TCP stream. Any thread may write to it or close it. */
public final class Stream {
    private final Connection<?> connection;
    private final MemoryManager<?> memory;
    private final List<byte[]> early = new ArrayList<>(); // emptied when it has a user
    private Streams.User user;
    private boolean closed;

    Stream(Connection<?> connection, MemoryManager<?> memory) {
        this.connection = connection;
        this.memory = memory;
    }

    /** It is used by that from now on, and told what came before. */
    synchronized void is(Streams.User its) {
        user = its;
        early.forEach(user::came);
        early.clear();
        if (closed) {
            user.closed();
        }
    }

    /** Guards against a peer that speaks at once: what it says may be read before anyone uses the stream. */
    synchronized void came(byte[] piece) {
        if (user == null) {
            early.add(piece);
        } else {
            user.came(piece);
        }
    }

    /** Tells its user, once, that it is closed. */
    synchronized void ended() {
        if (!closed && user != null) {
            user.closed();
        }
        closed = true;
    }

    /** Writes it after what was written before; a peer that left too much unread is cut. False where nothing was written. */
    public boolean send(byte[] bytes) {
        if (!connection.isOpen()) {
            return false;
        }
        if (!connection
                .canWrite()) { // guards memory against a peer that does not read, where a close would wait until it
            // has read all that is pending; it harms one that is only slow
            connection.terminateSilently();
            return false;
        }
        ((NIOConnection) connection).write(Buffers.wrap(memory, bytes), null);
        return connection.isOpen();
    }

    /** Says that nothing more is sent; what its peer has still to say is read until that closes it. */
    public void finish() {
        try {
            ((SocketChannel) ((TCPNIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) { // it is closed already, or broken
            connection.closeSilently();
        }
    }

    /** Closes it; its user is told that it is closed. */
    public void close() {
        connection.closeSilently();
    }
}
