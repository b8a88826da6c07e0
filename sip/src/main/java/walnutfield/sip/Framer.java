package walnutfield.sip;

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
    private static final byte[] EMPTY = new byte[0];
    private static final String LENGTH_NAME = "Content-Length";
    private static final char LENGTH_SHORT_NAME = 'l';
    private static final int UNKNOWN = -1;

    private final int maxMessageBytes;
    private final Consumer<byte[]> receiver;
    private final Runnable pingHandler;
    private byte[] buffer = EMPTY; // received bytes that are not delivered yet, from start to end
    private int start;
    private int end;
    private int searched; // no header section that begins at start ends before this
    private int messageEnd = UNKNOWN; // end of the message that begins at start, once its header section is complete

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
        append(received);
        while (deliverNext()) {
            // delivers one message at a time
        }
    }

    /** Adds received bytes without delivering anything. */
    public void append(byte[] received) {
        reserve(received.length);
        System.arraycopy(received, 0, buffer, end, received.length);
        end += received.length;
    }

    /** Makes room for more bytes behind the end; the capacity doubles, so that a message is copied a few times at most. */
    private void reserve(int byteCount) {
        int used = end - start;
        if (end + byteCount <= buffer.length) {
            return;
        }
        int needed = used + byteCount;
        byte[] target =
                needed <= buffer.length / 2 ? buffer : new byte[Math.max(needed, Math.min(2 * used, maxMessageBytes))];
        System.arraycopy(buffer, start, target, 0, used);
        buffer = target;
        searched = Math.max(0, searched - start);
        messageEnd = messageEnd == UNKNOWN ? UNKNOWN : messageEnd - start;
        start = 0;
        end = used;
    }

    /**
     * Delivers the next message if it is complete.
     *
     * @return whether a message was delivered
     * @throws MalformedMessageException if the end of a message cannot be determined; the connection must then be
     *                                   closed
     */
    public boolean deliverNext() throws MalformedMessageException {
        if (messageEnd == UNKNOWN && !findMessageEnd() || end < messageEnd) {
            return false;
        }
        byte[] message = Arrays.copyOfRange(buffer, start, messageEnd);
        start = messageEnd;
        searched = start;
        messageEnd = UNKNOWN;
        releaseEmptyBuffer();
        receiver.accept(message);
        return true;
    }

    /** Finds the end of the next message; returns false if its header section is incomplete. */
    private boolean findMessageEnd() throws MalformedMessageException {
        start = skipKeepAlives(start);
        searched = Math.max(searched, start);
        if (start == end || isLineEnd(buffer[start])) {
            releaseEmptyBuffer();
            return false;
        }
        int headerEnd = findHeaderEnd();
        if (headerEnd == UNKNOWN) {
            if (end - start > maxMessageBytes) {
                throw new MalformedMessageException(513, "header section longer than " + maxMessageBytes + " bytes");
            }
            searched = end;
            return false;
        }
        long length = contentLength(headerEnd);
        if (length == UNKNOWN) {
            throw new MalformedMessageException(400, "missing or invalid Content-Length in a message on a stream");
        }
        if (headerEnd - start + length > maxMessageBytes) {
            throw new MalformedMessageException(513, "message longer than " + maxMessageBytes + " bytes");
        }
        messageEnd = headerEnd + (int) length;
        return true;
    }

    private void releaseEmptyBuffer() {
        if (start == end) {
            buffer = EMPTY;
            start = 0;
            end = 0;
            searched = 0;
        }
    }

    /** Whether a message has arrived in part, or whole but is not delivered yet. */
    public boolean isPartial() {
        return end > start;
    }

    /**
     * Skips line ends and keep-alives; returns where the next message begins, or where bytes begin that may become a
     * keep-alive with those yet to arrive.
     */
    private int skipKeepAlives(int from) {
        int i = from;
        while (i < end && isLineEnd(buffer[i])) {
            int matched = 0;
            while (matched < PING.length && i + matched < end && buffer[i + matched] == PING[matched]) {
                matched++;
            }
            if (matched == PING.length) {
                pingHandler.run();
                i += matched;
            } else if (i + matched == end) {
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

    /** The index after the empty line that ends the header section; UNKNOWN if it has not arrived. */
    private int findHeaderEnd() {
        for (int i = Math.max(start + PING.length - 1, searched); i < end; i++) {
            if (buffer[i] == '\n' && buffer[i - 1] == '\r' && buffer[i - 2] == '\n' && buffer[i - 3] == '\r') {
                return i + 1;
            }
        }
        return UNKNOWN;
    }

    /** The value of Content-Length, or of its short form "l"; UNKNOWN if it is absent or no number. */
    private long contentLength(int headerEnd) {
        int lineStart = start;
        while (lineStart < headerEnd) {
            int lineEnd = lineEnd(lineStart, headerEnd);
            int colon = indexOf(':', lineStart, lineEnd);
            if (colon < lineEnd && isLengthName(lineStart, colon)) {
                String value = text(colon + 1, lineEnd).strip();
                return LENGTH.matcher(value).matches() ? Long.parseLong(value) : UNKNOWN;
            }
            lineStart = lineEnd + 2;
        }
        return UNKNOWN;
    }

    /** Compares without creating a string for each header line, of which there may be thousands. */
    private boolean isLengthName(int from, int to) {
        int first = from;
        int last = to;
        while (first < last && Character.isWhitespace(buffer[first])) {
            first++;
        }
        while (last > first && Character.isWhitespace(buffer[last - 1])) {
            last--;
        }
        int length = last - first;
        return length == 1 && Character.toLowerCase(buffer[first]) == LENGTH_SHORT_NAME
                || length == LENGTH_NAME.length() && text(first, last).equalsIgnoreCase(LENGTH_NAME);
    }

    /** The index of the next CRLF; a CR or LF by itself ends no line. */
    private int lineEnd(int from, int to) {
        int i = indexOf('\r', from, to);
        while (i + 1 < to && buffer[i + 1] != '\n') {
            i = indexOf('\r', i + 1, to);
        }
        return i;
    }

    /** The index of the character, or the end of the range. */
    private int indexOf(char wanted, int from, int to) {
        int i = from;
        while (i < to && buffer[i] != wanted) {
            i++;
        }
        return i;
    }

    private String text(int from, int to) {
        return new String(buffer, from, to - from, StandardCharsets.ISO_8859_1);
    }
}
