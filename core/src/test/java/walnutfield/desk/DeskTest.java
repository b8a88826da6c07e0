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
    private static final TrafficClass BAND = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 1, 0);

    /** A short day: a list, plays, a failed leg, looks. */
    private static List<String> day(long seed) {
        List<String> seen = new ArrayList<>();
        Listener ear = new Listener() {
            @Override
            public void called(double now, Call call) {
                seen.add(now + " > " + call);
            }

            @Override
            public void resulted(double now, Result result) {
                seen.add(now + " < " + result);
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
                ear);
        List<HostDescriptor> lines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            lines.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), 20, i, HostDescriptor.LifecycleState.READY, 1, 0));
        }
        desk.handle(1000, new Call.PersistedHostListLoaded(lines));
        for (int i = 0; i < 8; i++) {
            desk.handle(
                    1001 + i,
                    new Call.PlayRequested(new PlayRequest(
                            new PlayId(i), new ViewerId(i), new TitleId(1), null, BAND, 0, 3, 1, false, 0, 4000)));
        }
        desk.handle(1100, new Call.TimerFired("look"));
        return seen;
    }

    @Test
    void theListenerSeesEveryCallBeforeItsResults() {
        List<String> seen = day(3);
        assertTrue(seen.get(0).contains("ListRemembered"), seen.get(0));
        assertEquals(8, seen.stream().filter(s -> s.contains("> WishTaken")).count());
        long sent = seen.stream()
                .filter(s -> s.contains("< SetUp") || s.contains("< Probe"))
                .count();
        assertTrue(sent >= 8, seen.toString());
    }

    @Test
    void theSameCallsGiveTheSameResults() {
        assertEquals(day(3), day(3));
    }
}
