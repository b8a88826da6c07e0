package walnutfield.net.stream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOConnection;
import walnutfield.net.ReadControl;

/** One TCP connection as a byte stream. Any thread may write to it or close it. */
public final class TcpStream {
    private final Connection<?> connection;
    private final ReadControl readControl;
    private final MemoryManager<?> memory;
    private final List<byte[]> undelivered = new ArrayList<>(); // received before a handler was attached
    private final IntPredicate pendingAllowed;
    private TcpTransport.Handler handler;
    private boolean closed;

    /** @param pendingAllowed whether this many bytes may wait to be read by the peer */
    TcpStream(Connection<?> connection, MemoryManager<?> memory, IntPredicate pendingAllowed) {
        this.pendingAllowed = pendingAllowed;
        this.connection = connection;
        readControl = new ReadControl(connection);
        this.memory = memory;
    }

    /** Attaches the handler and passes it what was received before. */
    synchronized void attach(TcpTransport.Handler newHandler) {
        handler = newHandler;
        undelivered.forEach(handler::received);
        undelivered.clear();
        if (closed) {
            handler.closed();
        }
    }

    /**
     * Passes the bytes to the handler, or keeps them until one is attached: a peer that sends immediately after
     * connecting may be read before the stream has a handler.
     */
    synchronized void received(byte[] bytes) {
        if (handler == null) {
            undelivered.add(bytes);
        } else {
            handler.received(bytes);
        }
    }

    /** Notifies the handler, once, that the stream is closed. */
    synchronized void markClosed() {
        if (!closed && handler != null) {
            handler.closed();
        }
        closed = true;
    }

    /**
     * Queues the bytes behind those written before. If the peer has left too many bytes unread, the connection is
     * terminated instead.
     *
     * @return false if nothing was written
     */
    public boolean send(byte[] bytes) {
        if (!connection.isOpen()) {
            return false;
        }
        if (!connection.canWrite() || !pendingAllowed.test(pendingBytes())) {
            // Bounds the memory that a peer which does not read can occupy. A regular close would wait until the peer
            // has read everything pending, so the connection is terminated. A peer that is merely slow is disconnected
            // as well.
            connection.terminateSilently();
            return false;
        }
        ((NIOConnection) connection).write(Buffers.wrap(memory, bytes), null);
        return connection.isOpen();
    }

    /** Returns the bytes written to the stream that wait for the peer to read. */
    int pendingBytes() {
        return ((NIOConnection) connection).getAsyncWriteQueue().spaceInBytes();
    }

    /** Closes the sending direction. What the peer still sends is read until the peer closes the connection. */
    public void shutdownOutput() {
        try {
            ((SocketChannel) ((TCPNIOConnection) connection).getChannel()).shutdownOutput();
        } catch (IOException e) { // the connection is already closed or broken
            connection.closeSilently();
        }
    }

    /** Stops reading until {@link #resumeReading}; to be called by the handler while it receives bytes. */
    public void pauseReading() {
        readControl.pause();
    }

    /**
     * Reads on after a pause. Any thread may call it.
     *
     * @param first runs before that, on the I/O thread; it may pause the stream again
     */
    public void resumeReading(Runnable first) {
        readControl.resume(() -> runExclusively(first));
    }

    /** Runs a task on the I/O thread once every stream that is readable by then has been read. Any thread may call it. */
    public void runAfterNextReads(Runnable task) {
        readControl.runAfterNextReads(() -> runExclusively(task));
    }

    /** Runs a task of the handler, which is not called meanwhile. */
    private synchronized void runExclusively(Runnable task) {
        task.run();
    }

    /** Closes the connection; the handler is notified. */
    public void close() {
        connection.closeSilently();
    }
}
