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

/**
 * Measures one play at a desk (three calls: request, start, end) and one housekeeping tick, with the given number of
 * hosts and with or without a listener.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DeskBenchmark {
    private static final TrafficClass TRAFFIC_CLASS = new TrafficClass("b", 1000, 4000, 1, false, 1, 0, 3, 0);
    private static final int OPEN_PLAYS = 200; // plays in progress at any time

    @Param({"12", "77", "230"})
    public int hosts;

    @Param({"false", "true"})
    public boolean listened;

    private Desk desk;
    private double now = 1_000_000;
    private long nextPlayId = 1;
    private HostId lastLegHost;
    private final ArrayList<Object[]> openPlays = new ArrayList<>();
    private long listenerCalls;

    /** Records the host of the latest leg. */
    private final class LegRecorder implements GatewayActions {
        @Override
        public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
            lastLegHost = host;
        }

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void movePlay(PlayId play) {}

        @Override
        public void shedPlay(PlayId play, double retryAfterMs) {}

        @Override
        public void failPlay(PlayId play) {}

        @Override
        public void probeHost(HostId host) {}

        @Override
        public void watchHostList() {}

        @Override
        public void setTimer(double time, String timer) {}

        @Override
        public void log(String line) {}
    }

    @Setup
    public void setUp() {
        Listener listener = new Listener() {
            @Override
            public void onCall(double time, Call call) {
                listenerCalls++;
            }

            @Override
            public void onResult(double time, Result result) {
                listenerCalls++;
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
                new LegRecorder(),
                listened ? listener : null);
        List<HostDescriptor> descriptors = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            descriptors.add(new HostDescriptor(
                    new HostId("h" + i), new PlaceId("p"), 1_000_000, i, HostDescriptor.LifecycleState.READY, 1, 0));
        }
        desk.handle(now, new Call.PersistedHostListLoaded(descriptors));
        now += 20_000;
        for (int i = 0; i < hosts; i++) {
            desk.handle(
                    now, new Call.LoadReported(new HostId("h" + i), new LoadReport(0.1 + i % 5 * 0.05, Double.NaN, 5)));
        }
        for (int i = 0; i < OPEN_PLAYS; i++) {
            runPlay(false);
        }
    }

    /** Requests and starts a play; where {@code endAnother} is set, ends another open play afterwards. */
    private void runPlay(boolean endAnother) {
        now += 1;
        PlayId id = new PlayId(nextPlayId++);
        lastLegHost = null;
        desk.handle(
                now,
                new Call.PlayRequested(new PlayRequest(
                        id,
                        new ViewerId(id.value()),
                        new TitleId(id.value() % 50),
                        null,
                        TRAFFIC_CLASS,
                        (int) (id.value() * 7 % hosts),
                        6,
                        3,
                        false,
                        0,
                        4000)));
        if (lastLegHost == null) {
            throw new IllegalStateException("the desk sent no leg for the play");
        }
        desk.handle(now, new Call.LegStarted(id, 0, lastLegHost, 5));
        openPlays.add(new Object[] {id, lastLegHost});
        if (endAnother) {
            Object[] ended = openPlays.set(0, openPlays.get(openPlays.size() - 1));
            openPlays.remove(openPlays.size() - 1);
            desk.handle(
                    now,
                    new Call.LegEnded(
                            (PlayId) ended[0], 0, (HostId) ended[1], Outcome.SERVED, true, 5, LoadReport.NONE));
        }
    }

    /** One play: three calls of the desk. */
    @Benchmark
    public long aPlay() {
        runPlay(true);
        return nextPlayId;
    }

    /** One housekeeping tick. */
    @Benchmark
    public long aLook() {
        now += 100;
        desk.handle(now, new Call.TimerFired("look"));
        return listenerCalls;
    }
}
