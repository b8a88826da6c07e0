package walnutfield.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;

/** Encodes what one instance decides. */
final class Replies implements Gateway {
    private final JsonGenerator out;
    private final int instance;

    Replies(JsonGenerator out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    static void line(JsonGenerator out, Object... values) {
        try {
            out.writeStartArray();
            for (Object v : values) {
                out.writePOJO(v);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void setUp(PlayId play, HostId host, double patienceMs) {
        line(out, "callOut", instance, play.value(), host.value(), patienceMs);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        line(out, "grade", instance, play.value(), rung);
    }

    @Override
    public void move(PlayId play) {
        line(out, "evict", instance, play.value());
    }

    @Override
    public void shed(PlayId play, double holdOffMs) {
        line(out, "shed", instance, play.value(), holdOffMs);
    }

    @Override
    public void error(PlayId play) {
        line(out, "abort", instance, play.value());
    }

    @Override
    public void probe(HostId host) {
        line(out, "ping", instance, host.value());
    }

    @Override
    public void followList() {
        line(out, "keepInformed", instance, true);
    }

    @Override
    public void wake(double time, String mark) {
        line(out, "defer", instance, time, mark);
    }

    @Override
    public void log(String text) {
        line(out, "noteDown", instance, text);
    }
}
