package walnutfield.app;

import walnutfield.desk.Call;
import walnutfield.desk.CallHandler;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;

/** The baseline of measurements: each play goes to the host that was listed first, at its band's top, and nothing is decided. */
final class FixedHostHandler implements CallHandler {
    private final GatewayActions out;
    private HostId host;

    FixedHostHandler(GatewayActions out) {
        this.out = out;
    }

    @Override
    public void handle(double time, Call call) {
        if (call instanceof Call.PersistedHostListLoaded l && !l.lines().isEmpty()) {
            host = l.lines().get(0).host();
        } else if (call instanceof Call.HostListReplaced l && !l.lines().isEmpty()) {
            host = l.lines().get(0).host();
        } else if (call instanceof Call.PlayRequested w) {
            if (host == null) {
                out.shedPlay(w.request().play(), 1000);
                return;
            }
            out.setRung(w.request().play(), w.request().trafficClass().maxRung());
            out.setUpLeg(w.request().play(), host, w.request().trafficClass().deadlineMs());
        } else if (call instanceof Call.LegEnded e && !e.over()) {
            out.failPlay(e.play());
        }
    }
}
