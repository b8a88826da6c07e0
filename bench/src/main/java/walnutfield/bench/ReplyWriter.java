package walnutfield.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;

/** Writes the decisions of one instance as output lines. */
final class ReplyWriter implements GatewayActions {
    private final JsonGenerator out;
    private final int instance;

    ReplyWriter(JsonGenerator out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    /** Writes one line: an array of these values. */
    static void writeLine(JsonGenerator out, Object... values) {
        try {
            out.writeStartArray();
            for (Object value : values) {
                out.writePOJO(value);
            }
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        writeLine(out, "callOut", instance, play.value(), host.value(), timeoutMs);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        writeLine(out, "grade", instance, play.value(), rung);
    }

    @Override
    public void movePlay(PlayId play) {
        writeLine(out, "evict", instance, play.value());
    }

    @Override
    public void shedPlay(PlayId play, double retryAfterMs) {
        writeLine(out, "shed", instance, play.value(), retryAfterMs);
    }

    @Override
    public void failPlay(PlayId play) {
        writeLine(out, "abort", instance, play.value());
    }

    @Override
    public void probeHost(HostId host) {
        writeLine(out, "ping", instance, host.value());
    }

    @Override
    public void watchHostList() {
        writeLine(out, "keepInformed", instance, true);
    }

    @Override
    public void setTimer(double time, String timer) {
        writeLine(out, "defer", instance, time, timer);
    }

    @Override
    public void log(String text) {
        writeLine(out, "noteDown", instance, text);
    }
}
