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

/** All holders of an insert are cold after a restart while 500 plays want it at once. */
class ColdInsertsTest {
    private static final TrafficClass BAND = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 1, 0);
    private static final double WARM_MS = 10_000;
    private static final double FALL_MS = 2000;
    private static final double FROM = 0.15;
    private static final int SLOTS = 400;

    @Test
    void noColdHolderIsPushedOverForIt() {
        List<Double> sent = new ArrayList<>();
        List<PlayId> asked = new ArrayList<>();
        List<String> came = new ArrayList<>();
        double[] now = {1_000_000};
        double[] wake = {Double.POSITIVE_INFINITY};
        List<Runnable> after = new ArrayList<>(); // what a result leads to comes after the desk's present call
        Desk[] desk = new Desk[1];
        GatewayActions out = new GatewayActions() {
            @Override
            public void setUpLeg(PlayId play, HostId host, double patienceMs) {
                sent.add(now[0]);
            }

            @Override
            public void setRung(PlayId play, int rung) {}

            @Override
            public void movePlay(PlayId play) {}

            @Override
            public void shedPlay(PlayId play, double holdOffMs) {
                after.add(() -> desk[0].handle(
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
            public void setTimer(double time, String mark) {
                wake[0] = time;
            }

            @Override
            public void log(String line) {}
        };
        InsertActions beside = new InsertActions() {
            @Override
            public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
                asked.add(viewing);
            }

            @Override
            public void requestInsert(PlayId viewing, int slot, TrafficClass band) {
                after.add(() -> desk[0].handle(
                        now[0],
                        new Call.PlayRequested(new PlayRequest(
                                new PlayId(10_000 + viewing.value()),
                                new ViewerId(1),
                                new TitleId(9),
                                null,
                                band,
                                0,
                                2,
                                1,
                                false,
                                2000,
                                4000))));
            }

            @Override
            public void retryInsert(PlayId viewing, int slot, double at) {}

            @Override
            public void insertReported(PlayId viewing, int slot, InsertId insert, String what) {
                came.add(what);
            }

            @Override
            public void playRecovery(PlayId play, boolean back) {}
        };
        desk[0] = new Desk(
                new GatewayIdentity(3, 0, 1, new PlaceId("p")),
                new Ladder(List.of(1.0, 2.0), List.of(0.5, 1.0), 8),
                new LinkSettings(1e9, 0, 0, 1, 2, false),
                new RetryPolicy(4, 5, 0.2, 10_000),
                new SlowStartPolicy(FROM, WARM_MS, 3, FALL_MS),
                new SheddingPolicy(2000),
                new LoadReportSettings(false, 0, 0, false, false),
                new MoveCosts(0.1, 0),
                List.of(),
                out,
                beside,
                null);
        List<HostDescriptor> hosts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            hosts.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), SLOTS, i, HostDescriptor.LifecycleState.READY, 1, now[0]));
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
                    now[0], new Call.ViewingStarted(new PlayId(i), new ViewerId(i), null, BAND, now[0] + 1000, 60_000));
            desk[0].handle(now[0], new Call.InsertDue(new PlayId(i), 0, BAND));
        }
        for (double end = now[0] + 3000; now[0] < end; now[0] = Math.max(now[0], Math.min(end, wake[0]))) {
            List<Runnable> all = new ArrayList<>(after);
            after.clear();
            all.forEach(Runnable::run);
            if (after.isEmpty() && wake[0] <= now[0]) {
                wake[0] = Double.POSITIVE_INFINITY;
                desk[0].handle(now[0], new Call.TimerFired("look"));
            }
        }
        assertEquals(500, asked.size());
        double most = 2 * 3 * SLOTS / WARM_MS * (FROM + (1 - FROM) * FALL_MS / WARM_MS) * FALL_MS;
        for (double t : sent) {
            long in = sent.stream().filter(s -> s >= t && s <= t + FALL_MS).count();
            assertTrue(in <= most, in + " set-ups in " + FALL_MS + " ms, " + most + " at most");
        }
        assertTrue(sent.size() > 5, "some are served all the same: " + sent.size());
        assertTrue(
                came.stream().filter("dropped-no-host"::equals).count() > 300,
                "the others go without at once: " + came.size());
    }
}
