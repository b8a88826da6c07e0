package walnutfield.sse;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Takes a stream in pieces cut anywhere and hands on whole events; a line over the limit ends it. */
public final class EventReader {
    private final int most;
    private final Consumer<Event> to;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String name = "";
    private String id = "";
    private boolean any;
    private boolean afterCr;

    /**
     * @param most bytes of one event at most
     */
    public EventReader(int most, Consumer<Event> to) {
        this.most = most;
        this.to = to;
    }

    /** Returns false where an event was longer than allowed: the stream is to be cut. */
    public boolean take(byte[] piece) {
        for (byte b : piece) {
            if (b == '\n' && afterCr) {
                afterCr = false;
                continue;
            }
            afterCr = b == '\r';
            if (b == '\n' || b == '\r') {
                line(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else {
                line.write(b);
            }
            if (line.size() + data.length() > most) {
                return false;
            }
        }
        return true;
    }

    private void line(String l) {
        if (l.isEmpty()) {
            if (any) {
                to.accept(new Event(name.isEmpty() ? "message" : name, data.toString(), id));
            }
            name = "";
            data.setLength(0);
            any = false;
            return;
        }
        int colon = l.indexOf(':');
        String field = colon < 0 ? l : l.substring(0, colon);
        String value = colon < 0 ? "" : l.substring(colon + (l.startsWith(": ", colon) ? 2 : 1));
        switch (field) {
            case "event" -> name = value;
            case "id" -> id = value;
            case "data" -> {
                data.append(any ? "\n" : "").append(value);
                any = true;
            }
            default -> {}
        }
    }
}
