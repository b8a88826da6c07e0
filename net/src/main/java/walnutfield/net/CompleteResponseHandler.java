package walnutfield.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Collects a response and delivers it when it is complete, with its body as UTF-8 text. */
public abstract class CompleteResponseHandler implements Client.ResponseHandler {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Headers headers = Headers.NONE;

    /** The complete response has arrived. */
    protected abstract void onResponse(int responseStatus, Headers responseHeaders, String text);

    /** No response will arrive, or it ended before it was complete. */
    protected abstract void onNoResponse(Client.Failure failure);

    @Override
    public final void onHead(int responseStatus, Headers responseHeaders) {
        status = responseStatus;
        headers = responseHeaders;
    }

    @Override
    public final void onBody(byte[] part) {
        body.write(part, 0, part.length);
    }

    @Override
    public final void onComplete() {
        onResponse(status, headers, body.toString(StandardCharsets.UTF_8));
    }

    @Override
    public final void onFailure(Client.Failure failure) {
        onNoResponse(failure);
    }
}
