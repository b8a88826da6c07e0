package walnutfield.sip;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Cuts a stream into messages by Content-Length (RFC 3261, section 18.3), wherever it was split on its way. Keep-alives
 * (RFC 5626, section 4.4.1) are passed over, and told of where they want an answer.
 */
public final class Framer {
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final byte[] PING = {'\r', '\n', '\r', '\n'};

    private final int most;
    private final Consumer<byte[]> to;
    private final Runnable ping;
    private byte[] held = new byte[0]; // never longer than one message

    /** @param ping a double CRLF came, which a single one answers */
    public Framer(int most, Consumer<byte[]> to, Runnable ping) {
        this.most = most;
        this.to = to;
        this.ping = ping;
    }

    /** Takes what came. After {@link Malformed} the stream cannot be told apart any more: it is to be closed. */
    public void take(byte[] piece) throws Malformed {
        ByteArrayOutputStream all = new ByteArrayOutputStream(held.length + piece.length);
        all.writeBytes(held);
        all.writeBytes(piece);
        byte[] b = all.toByteArray();
        int from = 0;
        while (from < b.length) {
            from = skip(b, from);
            if (from == b.length || isLineEnd(b[from])) {
                break;
            }
            int head = head(b, from);
            if (head < 0) {
                if (b.length - from > most) {
                    throw new Malformed(513, "a header over " + most + " bytes");
                }
                break;
            }
            long length = length(new String(b, from, head - from, StandardCharsets.ISO_8859_1));
            if (length < 0 || head - from + length > most) {
                throw new Malformed(
                        length < 0 ? 400 : 513,
                        length < 0 ? "no Content-Length on a stream" : "over " + most + " bytes");
            }
            if (b.length - head < length) {
                break;
            }
            to.accept(Arrays.copyOfRange(b, from, head + (int) length));
            from = head + (int) length;
        }
        held = Arrays.copyOfRange(b, Math.min(from, b.length), b.length);
    }

    /** Whether part of a message waits for its rest. */
    public boolean isPartial() {
        return held.length > 0;
    }

    /** Where the next message begins, or what may yet be part of a keep-alive. */
    private int skip(byte[] b, int from) {
        int i = from;
        while (i < b.length && isLineEnd(b[i])) {
            int same = 0;
            while (same < PING.length && i + same < b.length && b[i + same] == PING[same]) {
                same++;
            }
            if (same == PING.length) {
                ping.run();
                i += same;
            } else if (i + same == b.length) {
                return i;
            } else {
                i++;
            }
        }
        return i;
    }

    private static boolean isLineEnd(byte b) {
        return b == '\r' || b == '\n';
    }

    private static int head(byte[] b, int from) {
        for (int i = from + 3; i < b.length; i++) {
            if (b[i] == '\n' && b[i - 1] == '\r' && b[i - 2] == '\n' && b[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    private static long length(String head) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? "" : line.substring(0, colon).strip();
            if (name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("l")) {
                String v = line.substring(colon + 1).strip();
                return LENGTH.matcher(v).matches() ? Long.parseLong(v) : -1;
            }
        }
        return -1;
    }
}
