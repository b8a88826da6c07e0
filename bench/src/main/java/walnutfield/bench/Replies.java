package walnutfield.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;

/** Encodes what one instance decides. */
final class Replies implements GatewayActions {
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
    public void setUpLeg(PlayId play, HostId host, double patienceMs) {
        line(out, "callOut", instance, play.value(), host.value(), patienceMs);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        line(out, "grade", instance, play.value(), rung);
    }

    @Override
    public void movePlay(PlayId play) {
        line(out, "evict", instance, play.value());
    }

    @Override
    public void shedPlay(PlayId play, double holdOffMs) {
        line(out, "shed", instance, play.value(), holdOffMs);
    }

    @Override
    public void failPlay(PlayId play) {
        line(out, "abort", instance, play.value());
    }

    @Override
    public void probeHost(HostId host) {
        line(out, "ping", instance, host.value());
    }

    @Override
    public void watchHostList() {
        line(out, "keepInformed", instance, true);
    }

    @Override
    public void setTimer(double time, String mark) {
        line(out, "defer", instance, time, mark);
    }

    @Override
    public void log(String text) {
        line(out, "noteDown", instance, text);
    }
}
