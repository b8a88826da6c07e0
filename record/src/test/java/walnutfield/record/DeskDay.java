package walnutfield.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.CustomerId;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Ladder;
import walnutfield.play.Learnt;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.Load;
import walnutfield.play.MoveTerms;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;

/** A day at one desk in virtual time: hosts that serve, fail and tell their load, a drain, a stall, plays that end. */
final class DeskDay implements Gateway {
    static final Band FREE = new Band("free", 800, 3000, 1, false, 1, 0, 2, 0);
    static final Band PAID = new Band("paid", 800, 3000, 3, true, 1, 0, 2, 0);
    static final int HOSTS = 5;

    private record Event(double at, long order, Call call) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private final Desk desk;
    private final java.util.Map<PlayId, Integer> legs = new java.util.HashMap<>();
    private long order;
    private double now = 1_000_000;

    DeskDay(Making making, long seed, Listener listener) {
        random = new SplittableRandom(seed);
        desk = making.desk(this, listener);
    }

    static Making making(long seed) {
        return new Making(
                "gw",
                "test",
                0,
                new Post(seed, 0, 3, new PlaceId("p")),
                new Ladder(List.of(100.0, 200.0, 400.0), List.of(0.4, 0.7, 1.0), 8),
                new LinkTerms(4000.0 * HOSTS, 0, 9000, 2, HOSTS, false),
                new LegTerms(3, 5, 0.2, 10_000),
                new ColdTerms(0.2, 3000, 3, 1000),
                new ShedTerms(2000),
                new ReportTerms(true, 0.01, 200, false, false),
                new MoveTerms(0.02, 0),
                List.of(new Share(new CustomerId("c"), 1, 0.1)));
    }

    static HostLine line(int i, HostLine.Standing standing) {
        return new HostLine(new HostId("h" + i), new PlaceId("p"), 20, i, standing, 1, 0);
    }

    private void add(double in, Call call) {
        events.add(new Event(now + in, order++, call));
    }

    /** So many wishes, a tenth of a second apart on the mean. */
    void run(int wishes) {
        List<HostLine> all = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            all.add(line(i, HostLine.Standing.READY));
        }
        add(0, new Call.ListRemembered(all));
        add(
                0,
                new Call.LearntTaken(new Learnt(
                        now - 500,
                        2000,
                        List.of(new Learnt.Uplink(1, 1.3)),
                        List.of(
                                new Learnt.Doubted(new HostId("h0"), 0, true, true, now + 900, 0),
                                new Learnt.Doubted(new HostId("h2"), 0, false, false, 0, now - 100)))));
        add(1, new Call.ListWhole(all));
        double at = 5;
        for (int i = 1; i <= wishes; i++) {
            at += random.nextDouble() * 200;
            add(
                    at,
                    new Call.WishTaken(new Wanted(
                            new PlayId(i),
                            new ViewerId(i),
                            new TitleId(i % 4),
                            i % 3 == 0 ? new CustomerId("c") : null,
                            i % 4 == 0 ? PAID : FREE,
                            i % HOSTS,
                            3,
                            2,
                            false,
                            0,
                            3000)));
            if (i % 7 == 0) {
                add(
                        at,
                        new Call.LoadTold(
                                new HostId("h" + i % HOSTS), new Load(random.nextDouble() * 1.3, Double.NaN, 4)));
            }
            if (i % 11 == 0) {
                add(at, new Call.ShareTold(new HostId("h" + i % HOSTS), 0.5 + random.nextDouble() / 2));
            }
        }
        add(at / 2, new Call.ListChanged(List.of(line(1, HostLine.Standing.DRAINING))));
        add(at / 2 + 500, new Call.ListLost());
        double end = now + at + 2000;
        while (!events.isEmpty() && events.peek().at() < end) {
            Event e = events.poll();
            now = Math.max(now, e.at());
            desk.take(now, e.call());
            if (e.call() instanceof Call.WishTaken w && w.wish().play().value() % 50 == 0) {
                now += 400; // the gateway stands still
            }
        }
    }

    @Override
    public void setUp(PlayId play, HostId host, double patienceMs) {
        int leg = legs.merge(play, 1, Integer::sum) - 1;
        double took = 5 + random.nextDouble() * 30;
        if (random.nextDouble() < 0.1) {
            Outcome how = random.nextDouble() < 0.5 ? Outcome.FAILED : Outcome.TURNED_AWAY;
            add(took, new Call.Ended(play, leg, host, how, false, took, Load.NONE));
        } else {
            add(took, new Call.Started(play, leg, host, took));
            add(
                    took + 2000 * random.nextDouble(),
                    new Call.Ended(play, leg, host, Outcome.SERVED, true, took, Load.NONE));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {}

    @Override
    public void move(PlayId play) {
        add(0, new Call.Ended(play, legs.get(play) - 1, new HostId("h0"), Outcome.CALLED_OFF, true, 0, Load.NONE));
    }

    @Override
    public void shed(PlayId play, double holdOffMs) {}

    @Override
    public void error(PlayId play) {}

    @Override
    public void probe(HostId host) {
        add(2, new Call.Probed(host, Outcome.SERVED, 2, new Load(random.nextDouble(), random.nextDouble(), 3)));
    }

    @Override
    public void followList() {}

    @Override
    public void wake(double time, String mark) {
        add(time - now, new Call.Woke(mark));
    }

    @Override
    public void log(String line) {}
}
