package walnutfield.net;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** A request that a server took, and the way to answer it: once, or as a stream of pieces. Any thread may. */
public final class Exchange {
    private final Conversation on;
    private final HttpRequestPacket packet;
    private final boolean close;
    private final Request request;
    private HttpResponsePacket response;
    private boolean done;
    private boolean peerGone;
    private Runnable gone;

    Exchange(Conversation on, HttpRequestPacket packet, Request request, boolean lastOne) {
        this.on = on;
        this.packet = packet;
        this.request = request;
        String c = request.headers().get("Connection");
        close = lastOne
                || packet.getProtocol() != Protocol.HTTP_1_1
                || c != null && c.toLowerCase().contains("close");
    }

    public Request request() {
        return request;
    }

    /** The port that it came to. */
    public int port() {
        return on.port();
    }

    /** Whether this exchange was answered whole or its connection is gone. */
    public synchronized boolean isDone() {
        return done || !on.isOpen();
    }

    /** What to do when the peer goes before the answer was whole; at once where it has gone already. */
    public void onGone(Runnable then) {
        synchronized (this) {
            if (done) {
                return;
            }
            gone = then;
        }
        if (!on.isOpen()) {
            lost();
        }
    }

    /** Answers whole. A second answer is a fault of the program, except to a peer that has gone. */
    public void answer(int status, Headers headers, byte[] body) {
        synchronized (this) {
            if (peerGone) {
                return;
            }
            if (done) {
                throw new IllegalStateException("answered twice: " + request.path());
            }
            done = true;
            HttpResponsePacket r = head(status, headers);
            r.setContentLength(body.length);
            r.setChunked(false);
            boolean none = request.method().equals("HEAD");
            write(
                    HttpContent.builder(r)
                            .content(wrap(none ? new byte[0] : body))
                            .last(true)
                            .build(),
                    close);
        }
        on.answered();
    }

    /** Begins a stream of pieces of unknown length. */
    public synchronized void begin(int status, Headers headers) {
        response = head(status, headers);
        response.setChunked(true);
    }

    /** Sends a piece; nothing where the exchange is over. */
    public synchronized void piece(byte[] bytes) {
        if (!done && response != null && bytes.length > 0) {
            write(HttpContent.builder(response).content(wrap(bytes)).last(false).build(), false);
        }
    }

    /** Ends the stream. */
    public void end() {
        synchronized (this) {
            if (done || response == null) {
                return;
            }
            done = true;
            write(response.httpTrailerBuilder().last(true).build(), close);
        }
        on.answered();
    }

    /** Cuts the connection with a reset, answered or not. */
    public void abort() {
        synchronized (this) {
            done = true;
        }
        on.reset();
    }

    void lost() {
        Runnable then;
        synchronized (this) {
            then = done ? null : gone;
            done = true;
            peerGone = true;
            gone = null;
        }
        if (then != null) {
            then.run();
        }
    }

    private HttpResponsePacket head(int status, Headers headers) {
        HttpResponsePacket.Builder b =
                HttpResponsePacket.builder(packet).protocol(Protocol.HTTP_1_1).status(status);
        headers.all().forEach(b::header);
        if (close) {
            b.header("Connection", "close");
        }
        return b.build();
    }

    private void write(HttpContent what, boolean last) {
        on.write(what, last);
    }

    private static Buffer wrap(byte[] bytes) {
        return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
    }
}
