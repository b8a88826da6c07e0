package walnutfield.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Collects a response and delivers it when it is complete, with its body as UTF-8 text. */
public abstract class WholeAnswer implements Client.Answer {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Headers headers = Headers.NONE;

    /** The complete response has arrived. */
    protected abstract void whole(int responseStatus, Headers responseHeaders, String text);

    /** No response will arrive, or it ended before it was complete. */
    protected abstract void not(Client.Failure failure);

    @Override
    public final void head(int responseStatus, Headers responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public final void body(byte[] part) {
        body.write(part, 0, part.length);
    }

    @Override
    public final void done() {
        whole(status, headers, body.toString(StandardCharsets.UTF_8));
    }

    @Override
    public final void failed(Client.Failure failure) {
        not(failure);
    }
}
