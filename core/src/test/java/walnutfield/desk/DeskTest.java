package walnutfield.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

class DeskTest {
    private static final TrafficClass TRAFFIC_CLASS = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 1, 0);

    /** What a listener observes of a short run: a host list, play requests and a housekeeping tick. */
    private static List<String> observedRun(long seed) {
        List<String> observed = new ArrayList<>();
        Listener listener = new Listener() {
            @Override
            public void onCall(double now, Call call) {
                observed.add(now + " > " + call);
            }

            @Override
            public void onResult(double now, Result result) {
                observed.add(now + " < " + result);
            }
        };
        Desk desk = new Desk(
                new GatewayIdentity(seed, 0, 3, new PlaceId("p")),
                new Ladder(List.of(100.0, 300.0), List.of(0.5, 1.0), 8),
                new LinkSettings(9000, 0, 0, 1, 3, false),
                new RetryPolicy(4, 5, 0.2, 10_000),
                new SlowStartPolicy(1, 0, 1, 0),
                new SheddingPolicy(2000),
                new LoadReportSettings(true, 0.01, 0, true, false),
                new MoveCosts(0.1, 0),
                List.of(),
                GatewayActions.NONE,
                listener);
        List<HostDescriptor> hosts = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            hosts.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), 20, i, HostDescriptor.LifecycleState.READY, 1, 0));
        }
        desk.handle(1000, new Call.PersistedHostListLoaded(hosts));
        for (int i = 0; i < 8; i++) {
            desk.handle(
                    1001 + i,
                    new Call.PlayRequested(new PlayRequest(
                            new PlayId(i),
                            new ViewerId(i),
                            new TitleId(1),
                            null,
                            TRAFFIC_CLASS,
                            0,
                            3,
                            1,
                            false,
                            0,
                            4000)));
        }
        desk.handle(1100, new Call.TimerFired("look"));
        return observed;
    }

    @Test
    void theListenerObservesEveryCallBeforeItsResults() {
        List<String> observed = observedRun(3);
        assertTrue(observed.get(0).contains("PersistedHostListLoaded"), observed.get(0));
        assertEquals(
                8, observed.stream().filter(s -> s.contains("> PlayRequested")).count());
        long setUpsAndProbes = observed.stream()
                .filter(s -> s.contains("< SetUpLeg") || s.contains("< ProbeHost"))
                .count();
        assertTrue(setUpsAndProbes >= 8, observed.toString());
    }

    @Test
    void theSameCallsGiveTheSameResults() {
        assertEquals(observedRun(3), observedRun(3));
    }
}
