package walnutfield.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Parses an event stream that arrives in chunks cut at arbitrary bytes, and passes each complete event to a handler.
 * Lines end in LF, CR or CRLF. Comments and fields other than {@code event}, {@code id} and {@code data} are ignored.
 * An event that exceeds the size limit ends the stream.
 */
public final class EventReader {
    private final int maxEventBytes;
    private final Consumer<Event> handler;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String eventType = "";
    private String lastEventId = "";
    private boolean hasData;
    private boolean afterCr;

    /**
     * @param maxEventBytes limit for the bytes of the current line plus the characters of the event's data so far
     * @param handler       called with each event as its blank line is read
     */
    public EventReader(int maxEventBytes, Consumer<Event> handler) {
        this.maxEventBytes = maxEventBytes;
        this.handler = handler;
    }

    /**
     * Parses the next chunk.
     *
     * @return false if an event exceeds the size limit: the rest of the chunk is not read, and the caller should close
     *     the stream
     */
    public boolean feed(byte[] chunk) {
        for (byte b : chunk) {
            if (b == '\n' && afterCr) {
                afterCr = false;
                continue;
            }
            afterCr = b == '\r';
            if (b == '\n' || b == '\r') {
                processLine(lineBuffer.toString(StandardCharsets.UTF_8));
                lineBuffer.reset();
            } else {
                lineBuffer.write(b);
            }
            if (lineBuffer.size() + data.length() > maxEventBytes) {
                return false;
            }
        }
        return true;
    }

    private void processLine(String line) {
        if (line.isEmpty()) {
            if (hasData) {
                handler.accept(new Event(eventType.isEmpty() ? "message" : eventType, data.toString(), lastEventId));
            }
            eventType = "";
            data.setLength(0);
            hasData = false;
            return;
        }
        int colon = line.indexOf(':');
        String field = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + (line.startsWith(": ", colon) ? 2 : 1));
        switch (field) {
            case "event" -> eventType = value;
            case "id" -> lastEventId = value;
            case "data" -> {
                data.append(hasData ? "\n" : "").append(value);
                hasData = true;
            }
            default -> {}
        }
    }
}
