package walnutfield.sse;

import java.nio.charset.StandardCharsets;

/**
 * An event of an event stream. Its event type is {@code message} where the stream sets none.
 *
 * @param data the lines of all data fields, joined by line feeds
 * @param id   the last event ID of the stream at this event; empty if none was set
 */
public record Event(String type, String data, String id) {
    /** An event without an event ID. */
    public Event(String name, String data) {
        this(name, data, "");
    }

    /** Encodes the event for a stream, including the blank line that ends it. */
    public byte[] bytes() {
        StringBuilder out = new StringBuilder("event: ").append(type).append('\n');
        if (!id.isEmpty()) {
            out.append("id: ").append(id).append('\n');
        }
        for (String line : data.split("\n", -1)) {
            out.append("data: ").append(line).append('\n');
        }
        return out.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }
}
