package walnutfield.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * A request that a server received, and the means to answer it: with one complete response, or with a response whose
 * body is streamed in chunks. Any thread may call it.
 */
public final class Exchange {
    private final ServerConnection connection;
    private final HttpRequestPacket requestPacket;
    private final boolean closeAfter; // the connection is closed once the response is sent
    private final Request request;
    private HttpResponsePacket response;
    private boolean done;
    private boolean disconnected;
    private Runnable disconnectListener;

    Exchange(ServerConnection connection, HttpRequestPacket requestPacket, Request request, boolean closeConnection) {
        this.connection = connection;
        this.requestPacket = requestPacket;
        this.request = request;
        String connectionHeader = request.headers().get("Connection");
        closeAfter = closeConnection
                || requestPacket.getProtocol() != Protocol.HTTP_1_1
                || connectionHeader != null && connectionHeader.toLowerCase().contains("close");
    }

    public Request request() {
        return request;
    }

    /** The local port on which the request arrived. */
    public int port() {
        return connection.port();
    }

    /** Whether the response is complete or the connection is closed. */
    public synchronized boolean isDone() {
        return done || !connection.isOpen();
    }

    /**
     * Sets what runs when the peer disconnects before the response is complete; it runs immediately if the peer has
     * disconnected already.
     */
    public void onDisconnect(Runnable listener) {
        synchronized (this) {
            if (done) {
                return;
            }
            disconnectListener = listener;
        }
        if (!connection.isOpen()) {
            connectionLost();
        }
    }

    /**
     * Sends a complete response. A second response is an error of the caller, except where the peer has disconnected:
     * then the call does nothing.
     */
    public void respond(int status, Headers headers, byte[] body) {
        synchronized (this) {
            if (disconnected) {
                return;
            }
            if (done) {
                throw new IllegalStateException("second response to one request: " + request.path());
            }
            done = true;
            HttpResponsePacket head = responseHead(status, headers);
            head.setContentLength(body.length);
            head.setChunked(false);
            boolean omitBody = request.method().equals("HEAD");
            write(
                    HttpContent.builder(head)
                            .content(wrap(omitBody ? new byte[0] : body))
                            .last(true)
                            .build(),
                    closeAfter);
        }
        connection.responseSent();
    }

    /** Begins a response whose body is sent in chunks and has no known length. */
    public synchronized void beginResponse(int status, Headers headers) {
        response = responseHead(status, headers);
        response.setChunked(true);
    }

    /** Sends a chunk of the body; does nothing once the response is complete or the connection is lost. */
    public synchronized void sendChunk(byte[] chunk) {
        if (!done && response != null && chunk.length > 0) {
            write(HttpContent.builder(response).content(wrap(chunk)).last(false).build(), false);
        }
    }

    /** Ends a response that is sent in chunks. */
    public void endResponse() {
        synchronized (this) {
            if (done || response == null) {
                return;
            }
            done = true;
            write(response.httpTrailerBuilder().last(true).build(), closeAfter);
        }
        connection.responseSent();
    }

    /** Resets the connection, whether or not the request has been answered. */
    public void abort() {
        synchronized (this) {
            done = true;
        }
        connection.reset();
    }

    /** The connection closed: notifies the listener unless the response was complete. */
    void connectionLost() {
        Runnable listener;
        synchronized (this) {
            listener = done ? null : disconnectListener;
            done = true;
            disconnected = true;
            disconnectListener = null;
        }
        if (listener != null) {
            listener.run();
        }
    }

    private HttpResponsePacket responseHead(int status, Headers headers) {
        HttpResponsePacket.Builder builder = HttpResponsePacket.builder(requestPacket)
                .protocol(Protocol.HTTP_1_1)
                .status(status);
        headers.all().forEach(builder::header);
        if (closeAfter) {
            builder.header("Connection", "close");
        }
        return builder.build();
    }

    private void write(HttpContent content, boolean closeWhenWritten) {
        connection.write(content, closeWhenWritten);
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }
}
