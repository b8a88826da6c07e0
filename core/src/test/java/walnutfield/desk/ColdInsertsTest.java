package walnutfield.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
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
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;

/**
 * Guards against hosts in slow start being overloaded by an insert: all holders of the insert have just restarted while
 * 500 plays need it at the same time.
 */
class ColdInsertsTest {
    private static final TrafficClass PLAY = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 1, 0);
    private static final double WARM_MS = 10_000;
    private static final double OVERLOAD_MS = 2000;
    private static final double SHARE = 0.15;
    private static final int STREAMS = 400;

    @Test
    void noHolderInSlowStartIsOverloadedByAnInsert() {
        List<Double> setUps = new ArrayList<>();
        List<PlayId> planned = new ArrayList<>();
        List<String> reports = new ArrayList<>();
        double[] now = {1_000_000};
        double[] timerTime = {Double.POSITIVE_INFINITY};
        List<Runnable> deferred = new ArrayList<>(); // calls made by results; run after the current call returns
        Desk[] desk = new Desk[1];
        GatewayActions gatewayActions = new GatewayActions() {
            @Override
            public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
                setUps.add(now[0]);
            }

            @Override
            public void setRung(PlayId play, int rung) {}

            @Override
            public void movePlay(PlayId play) {}

            @Override
            public void shedPlay(PlayId play, double retryAfterMs) {
                deferred.add(() -> desk[0].handle(
                        now[0],
                        new Call.InsertRejected(
                                new PlayId(play.value() - 10_000), 0, walnutfield.stitch.Stitcher.SkipReason.NO_HOST)));
            }

            @Override
            public void failPlay(PlayId play) {}

            @Override
            public void probeHost(HostId host) {}

            @Override
            public void watchHostList() {}

            @Override
            public void setTimer(double time, String timer) {
                timerTime[0] = time;
            }

            @Override
            public void log(String line) {}
        };
        InsertActions insertActions = new InsertActions() {
            @Override
            public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
                planned.add(viewing);
            }

            @Override
            public void requestInsert(PlayId viewing, int slot, TrafficClass trafficClass) {
                deferred.add(() -> desk[0].handle(
                        now[0],
                        new Call.PlayRequested(new PlayRequest(
                                new PlayId(10_000 + viewing.value()),
                                new ViewerId(1),
                                new TitleId(9),
                                null,
                                trafficClass,
                                0,
                                2,
                                1,
                                false,
                                2000,
                                4000))));
            }

            @Override
            public void retryInsert(PlayId viewing, int slot, double time) {}

            @Override
            public void insertReported(PlayId viewing, int slot, InsertId insert, String report) {
                reports.add(report);
            }

            @Override
            public void playRecovery(PlayId play, boolean recover) {}
        };
        desk[0] = new Desk(
                new GatewayIdentity(3, 0, 1, new PlaceId("p")),
                new Ladder(List.of(1.0, 2.0), List.of(0.5, 1.0), 8),
                new LinkSettings(1e9, 0, 0, 1, 2, false),
                new RetryPolicy(4, 5, 0.2, 10_000),
                new SlowStartPolicy(SHARE, WARM_MS, 3, OVERLOAD_MS),
                new SheddingPolicy(2000),
                new LoadReportSettings(false, 0, 0, false, false),
                new MoveCosts(0.1, 0),
                List.of(),
                gatewayActions,
                insertActions,
                null);
        List<HostDescriptor> hosts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            hosts.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), STREAMS, i, HostDescriptor.LifecycleState.READY, 1, now[0]));
        }
        desk[0].handle(now[0], new Call.PersistedHostListLoaded(hosts));
        desk[0].handle(
                now[0],
                new Call.ScheduleUpdated(new Schedule(List.of(new Insert(
                        new InsertId("i"),
                        new TitleId(9),
                        0,
                        2,
                        1,
                        2000,
                        2,
                        Insert.Place.BEFORE,
                        0,
                        0,
                        false,
                        Set.of(),
                        Set.of(),
                        0,
                        1e15,
                        0)))));
        for (int i = 1; i <= 500; i++) {
            desk[0].handle(
                    now[0], new Call.ViewingStarted(new PlayId(i), new ViewerId(i), null, PLAY, now[0] + 1000, 60_000));
            desk[0].handle(now[0], new Call.InsertDue(new PlayId(i), 0, PLAY));
        }
        for (double end = now[0] + 3000; now[0] < end; now[0] = Math.max(now[0], Math.min(end, timerTime[0]))) {
            List<Runnable> due = new ArrayList<>(deferred);
            deferred.clear();
            due.forEach(Runnable::run);
            if (deferred.isEmpty() && timerTime[0] <= now[0]) {
                timerTime[0] = Double.POSITIVE_INFINITY;
                desk[0].handle(now[0], new Call.TimerFired("look"));
            }
        }
        assertEquals(500, planned.size());
        double limit = 2 * 3 * STREAMS / WARM_MS * (SHARE + (1 - SHARE) * OVERLOAD_MS / WARM_MS) * OVERLOAD_MS;
        for (double start : setUps) {
            long count = setUps.stream()
                    .filter(t -> t >= start && t <= start + OVERLOAD_MS)
                    .count();
            assertTrue(count <= limit, count + " set-ups in " + OVERLOAD_MS + " ms, " + limit + " at most");
        }
        assertTrue(setUps.size() > 5, "some inserts must still be requested from a host: " + setUps.size());
        assertTrue(
                reports.stream().filter("dropped-no-host"::equals).count() > 300,
                "the others must be dropped immediately; reports: " + reports.size());
    }
}
