package walnutfield.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.desk.Result;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReport;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/** One play at a desk (wish, start, end: three calls) and one look, with so many hosts, listened to or not. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DeskBenchmark {
    private static final TrafficClass BAND = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 3, 0);
    private static final int OPEN = 200; // plays under way all the time

    @Param({"12", "77", "230"})
    public int hosts;

    @Param({"false", "true"})
    public boolean listened;

    private Desk desk;
    private double now = 1_000_000;
    private long next = 1;
    private HostId sentTo;
    private final ArrayList<Object[]> open = new ArrayList<>();
    private long heard;

    /** Keeps where the latest leg was sent. */
    private final class Out implements GatewayActions {
        @Override
        public void setUpLeg(PlayId play, HostId host, double patienceMs) {
            sentTo = host;
        }

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void movePlay(PlayId play) {}

        @Override
        public void shedPlay(PlayId play, double holdOffMs) {}

        @Override
        public void failPlay(PlayId play) {}

        @Override
        public void probeHost(HostId host) {}

        @Override
        public void watchHostList() {}

        @Override
        public void setTimer(double time, String mark) {}

        @Override
        public void log(String line) {}
    }

    @Setup
    public void begin() {
        Listener ear = new Listener() {
            @Override
            public void called(double at, Call call) {
                heard++;
            }

            @Override
            public void resulted(double at, Result result) {
                heard++;
            }
        };
        desk = new Desk(
                new GatewayIdentity(7, 0, 1, new PlaceId("p")),
                new Ladder(List.of(90.0, 200.0, 400.0, 800.0), List.of(0.22, 0.5, 0.8, 1.0), 7),
                new LinkSettings(1e6 * hosts, 0, 1e6 * hosts, 3, hosts, false),
                new RetryPolicy(4, 5, 0.2, 10_000),
                new SlowStartPolicy(0.2, 1, 3, 1),
                new SheddingPolicy(2000),
                new LoadReportSettings(false, 0.01, 0, false, false),
                new MoveCosts(0.2, 0),
                List.of(),
                new Out(),
                listened ? ear : null);
        List<HostDescriptor> lines = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            lines.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), 1_000_000, i, HostDescriptor.LifecycleState.READY, 1, 0));
        }
        desk.handle(now, new Call.PersistedHostListLoaded(lines));
        now += 20_000;
        for (int i = 0; i < hosts; i++) {
            desk.handle(
                    now, new Call.LoadReported(new HostId("h" + i), new LoadReport(0.1 + i % 5 * 0.05, Double.NaN, 5)));
        }
        for (int i = 0; i < OPEN; i++) {
            play(false);
        }
    }

    private void play(boolean endsOne) {
        now += 1;
        PlayId id = new PlayId(next++);
        sentTo = null;
        desk.handle(
                now,
                new Call.PlayRequested(new PlayRequest(
                        id,
                        new ViewerId(id.value()),
                        new TitleId(id.value() % 50),
                        null,
                        BAND,
                        (int) (id.value() * 7 % hosts),
                        6,
                        3,
                        false,
                        0,
                        4000)));
        if (sentTo == null) {
            throw new IllegalStateException("the play was not sent");
        }
        desk.handle(now, new Call.LegStarted(id, 0, sentTo, 5));
        open.add(new Object[] {id, sentTo});
        if (endsOne) {
            Object[] first = open.set(0, open.get(open.size() - 1));
            open.remove(open.size() - 1);
            desk.handle(
                    now,
                    new Call.LegEnded(
                            (PlayId) first[0], 0, (HostId) first[1], Outcome.SERVED, true, 5, LoadReport.NONE));
        }
    }

    /** Three calls. */
    @Benchmark
    public long aPlay() {
        play(true);
        return next;
    }

    @Benchmark
    public long aLook() {
        now += 100;
        desk.handle(now, new Call.TimerFired("look"));
        return heard;
    }
}
