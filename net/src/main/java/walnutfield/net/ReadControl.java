package walnutfield.net;

import java.io.IOException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.SelectorHandler;

/** Stops and resumes the reading of one connection, without making its I/O thread wait. */
public final class ReadControl {
    /** A task that may fail as the connection breaks. */
    public interface IoTask {
        void run() throws IOException;
    }

    private final Connection<?> connection;

    public ReadControl(Connection<?> connection) {
        this.connection = connection;
    }

    /** Stops reading until {@link #resume}; to be called on the I/O thread, while what was read is processed. */
    public void pause() {
        try {
            ((NIOConnection) connection).disableIOEvent(IOEvent.READ);
        } catch (IOException e) { // the connection is already closed or broken
            connection.closeSilently();
        }
    }

    /**
     * Reads on after a pause. Any thread may call it.
     *
     * @param first runs before that, on the I/O thread; it may pause the connection again
     */
    public void resume(IoTask first) {
        runOnIoThread(() -> {
            ((NIOConnection) connection).enableIOEvent(IOEvent.READ);
            first.run();
        });
    }

    /** Runs a task on the I/O thread once every connection that is readable by then has been read. */
    public void runAfterNextReads(IoTask task) {
        runOnIoThread(() -> runOnIoThread(task)); // the selector selects between the two
    }

    /** Runs a task on the I/O thread before it selects again, unless the connection is closed by then. */
    private void runOnIoThread(IoTask task) {
        SelectorHandler selectorHandler = ((NIOTransport) connection.getTransport()).getSelectorHandler();
        SelectorHandler.Task guarded = () -> {
            if (connection.isOpen()) {
                task.run();
            }
            return true;
        };
        selectorHandler.enque(((NIOConnection) connection).getSelectorRunner(), guarded, null);
    }
}
