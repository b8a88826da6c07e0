package walnutfield.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** An answer taken as a whole, its body as UTF-8 text. */
public abstract class WholeAnswer implements Client.Answer {
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private Headers headers = Headers.NONE;

    /** All of it has come. */
    protected abstract void whole(int atStatus, Headers with, String text);

    /** It will not come, or not whole. */
    protected abstract void not(Client.Failure how);

    @Override
    public final void head(int s, Headers h) {
        status = s;
        headers = h;
    }

    @Override
    public final void body(byte[] piece) {
        body.write(piece, 0, piece.length);
    }

    @Override
    public final void done() {
        whole(status, headers, body.toString(StandardCharsets.UTF_8));
    }

    @Override
    public final void failed(Client.Failure how) {
        not(how);
    }
}
