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
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Ladder;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.Load;
import walnutfield.play.MoveTerms;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.ShedTerms;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;

/** One play at a desk (wish, start, end: three calls) and one look, with so many hosts, listened to or not. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class DeskBenchmark {
    private static final Band BAND = new Band("b", 1000, 4000, 1, false, 1, 0, 3, 0);
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
    private final class Out implements Gateway {
        @Override
        public void setUp(PlayId play, HostId host, double patienceMs) {
            sentTo = host;
        }

        @Override
        public void setRung(PlayId play, int rung) {}

        @Override
        public void move(PlayId play) {}

        @Override
        public void shed(PlayId play, double holdOffMs) {}

        @Override
        public void error(PlayId play) {}

        @Override
        public void probe(HostId host) {}

        @Override
        public void followList() {}

        @Override
        public void wake(double time, String mark) {}

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
                new Post(7, 0, 1, new PlaceId("p")),
                new Ladder(List.of(90.0, 200.0, 400.0, 800.0), List.of(0.22, 0.5, 0.8, 1.0), 7),
                new LinkTerms(1e6 * hosts, 0, 1e6 * hosts, 3, hosts, false),
                new LegTerms(4, 5, 0.2, 10_000),
                new ColdTerms(0.2, 1, 3, 1),
                new ShedTerms(2000),
                new ReportTerms(false, 0.01, 0, false, false),
                new MoveTerms(0.2, 0),
                List.of(),
                new Out(),
                listened ? ear : null);
        List<HostLine> lines = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            lines.add(new HostLine(new HostId("h" + i), new PlaceId("p"), 1_000_000, i, HostLine.Standing.READY, 1, 0));
        }
        desk.take(now, new Call.ListRemembered(lines));
        now += 20_000;
        for (int i = 0; i < hosts; i++) {
            desk.take(now, new Call.LoadTold(new HostId("h" + i), new Load(0.1 + i % 5 * 0.05, Double.NaN, 5)));
        }
        for (int i = 0; i < OPEN; i++) {
            play(false);
        }
    }

    private void play(boolean endsOne) {
        now += 1;
        PlayId id = new PlayId(next++);
        sentTo = null;
        desk.take(
                now,
                new Call.WishTaken(new Wanted(
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
        desk.take(now, new Call.Started(id, 0, sentTo, 5));
        open.add(new Object[] {id, sentTo});
        if (endsOne) {
            Object[] first = open.set(0, open.get(open.size() - 1));
            open.remove(open.size() - 1);
            desk.take(now, new Call.Ended((PlayId) first[0], 0, (HostId) first[1], Outcome.SERVED, true, 5, Load.NONE));
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
        desk.take(now, new Call.Woke("look"));
        return heard;
    }
}
