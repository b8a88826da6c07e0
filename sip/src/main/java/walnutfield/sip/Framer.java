package walnutfield.sip;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * Splits a byte stream into messages by Content-Length (RFC 3261, section 18.3), however the bytes are divided into
 * reads. Keep-alives between messages (RFC 5626, section 4.4.1) are skipped; those that want a reply are reported.
 */
public final class Framer {
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,9}");
    private static final byte[] PING = {'\r', '\n', '\r', '\n'};

    private final int maxMessageBytes;
    private final Consumer<byte[]> receiver;
    private final Runnable pingHandler;
    private byte[] incomplete = new byte[0]; // the start of a message; at most one message long

    /**
     * @param maxMessageBytes limit of a message with its header section
     * @param receiver        receives each complete message
     * @param pingHandler     runs for each double CRLF, which a single CRLF must answer
     */
    public Framer(int maxMessageBytes, Consumer<byte[]> receiver, Runnable pingHandler) {
        this.maxMessageBytes = maxMessageBytes;
        this.receiver = receiver;
        this.pingHandler = pingHandler;
    }

    /**
     * Adds received bytes and delivers the messages that are now complete.
     *
     * @throws MalformedMessageException if the end of a message cannot be determined; the connection must then be
     *                                   closed
     */
    public void receive(byte[] received) throws MalformedMessageException {
        ByteArrayOutputStream joined = new ByteArrayOutputStream(incomplete.length + received.length);
        joined.writeBytes(incomplete);
        joined.writeBytes(received);
        byte[] bytes = joined.toByteArray();
        int from = 0;
        while (from < bytes.length) {
            from = skipKeepAlives(bytes, from);
            if (from == bytes.length || isLineEnd(bytes[from])) {
                break;
            }
            int headerEnd = headerEnd(bytes, from);
            if (headerEnd < 0) {
                if (bytes.length - from > maxMessageBytes) {
                    throw new MalformedMessageException(
                            513, "header section longer than " + maxMessageBytes + " bytes");
                }
                break;
            }
            long length = contentLength(new String(bytes, from, headerEnd - from, StandardCharsets.ISO_8859_1));
            if (length < 0 || headerEnd - from + length > maxMessageBytes) {
                throw new MalformedMessageException(
                        length < 0 ? 400 : 513,
                        length < 0
                                ? "missing or invalid Content-Length in a message on a stream"
                                : "message longer than " + maxMessageBytes + " bytes");
            }
            if (bytes.length - headerEnd < length) {
                break;
            }
            receiver.accept(Arrays.copyOfRange(bytes, from, headerEnd + (int) length));
            from = headerEnd + (int) length;
        }
        incomplete = Arrays.copyOfRange(bytes, Math.min(from, bytes.length), bytes.length);
    }

    /** Whether a message has arrived in part. */
    public boolean isPartial() {
        return incomplete.length > 0;
    }

    /**
     * Skips line ends and keep-alives; returns where the next message begins, or where bytes begin that may become a
     * keep-alive with those yet to arrive.
     */
    private int skipKeepAlives(byte[] bytes, int from) {
        int i = from;
        while (i < bytes.length && isLineEnd(bytes[i])) {
            int matched = 0;
            while (matched < PING.length && i + matched < bytes.length && bytes[i + matched] == PING[matched]) {
                matched++;
            }
            if (matched == PING.length) {
                pingHandler.run();
                i += matched;
            } else if (i + matched == bytes.length) {
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

    /** The index after the empty line that ends the header section; -1 if it has not arrived. */
    private static int headerEnd(byte[] bytes, int from) {
        for (int i = from + 3; i < bytes.length; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    /** The value of Content-Length, or of its short form "l"; -1 if it is absent or no number. */
    private static long contentLength(String header) {
        for (String line : header.split("\r\n")) {
            int colon = line.indexOf(':');
            String name = colon < 0 ? "" : line.substring(0, colon).strip();
            if (name.equalsIgnoreCase("Content-Length") || name.equalsIgnoreCase("l")) {
                String value = line.substring(colon + 1).strip();
                return LENGTH.matcher(value).matches() ? Long.parseLong(value) : -1;
            }
        }
        return -1;
    }
}
