package walnutfield.sse;

import java.nio.charset.StandardCharsets;

/**
 * One event.
 *
 * @param name {@code message} where the stream names none
 * @param id   the last event id that the stream told; empty for none
 */
public record Event(String name, String data, String id) {
    public Event(String name, String data) {
        this(name, data, "");
    }

    /** The event as it stands in the stream, with the blank line that ends it. */
    public byte[] bytes() {
        StringBuilder out = new StringBuilder("event: ").append(name).append('\n');
        if (!id.isEmpty()) {
            out.append("id: ").append(id).append('\n');
        }
        for (String l : data.split("\n", -1)) {
            out.append("data: ").append(l).append('\n');
        }
        return out.append('\n').toString().getBytes(StandardCharsets.UTF_8);
    }
}
