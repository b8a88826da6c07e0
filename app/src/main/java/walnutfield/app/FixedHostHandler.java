package walnutfield.app;

import walnutfield.desk.Call;
import walnutfield.desk.CallHandler;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;

/**
 * The baseline for measurements. It makes no decisions: each play goes to the first host of the list, at the top rung
 * of its traffic class.
 */
final class FixedHostHandler implements CallHandler {
    private final GatewayActions actions;
    private HostId host;

    FixedHostHandler(GatewayActions actions) {
        this.actions = actions;
    }

    @Override
    public void handle(double time, Call call) {
        if (call instanceof Call.PersistedHostListLoaded list && !list.hosts().isEmpty()) {
            host = list.hosts().get(0).host();
        } else if (call instanceof Call.HostListReplaced list && !list.hosts().isEmpty()) {
            host = list.hosts().get(0).host();
        } else if (call instanceof Call.PlayRequested requested) {
            if (host == null) {
                actions.shedPlay(requested.request().play(), 1000);
                return;
            }
            actions.setRung(
                    requested.request().play(),
                    requested.request().trafficClass().maxRung());
            actions.setUpLeg(
                    requested.request().play(),
                    host,
                    requested.request().trafficClass().deadlineMs());
        } else if (call instanceof Call.LegEnded ended && !ended.playFinished()) {
            actions.failPlay(ended.play());
        }
    }
}
