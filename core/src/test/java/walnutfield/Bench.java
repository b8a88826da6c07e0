package walnutfield;

import java.util.ArrayList;
import java.util.List;
import walnutfield.decide.Director;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.CustomerId;
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
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;

/** A Director with a fleet of its own making, and a record of all that it decides. */
final class Bench implements Gateway {
    static final Band FREE = new Band("free", 1000, 4000, 1, false, 1, 0, 3, 0);
    static final Band PAID = new Band("paid", 1000, 4000, 3, true, 1, 0, 3, 0);
    static final Band SEATED = new Band("seated", 1000, 4000, 3, false, 1, 1, 3, 2);
    static final TitleId TITLE = new TitleId(7);

    final List<String> out = new ArrayList<>();
    final Director director;
    double now = 1_000_000;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private long next = 1;

    static final CustomerId CUSTOMER = new CustomerId("c");

    /** Six hosts of 40 slots and 4000 kB each, in two racks; with probes, the list must be asked for too. */
    Bench(int gateways, LegTerms legs, double coldMs, boolean probes) {
        this(5, gateways, legs, coldMs, probes);
    }

    Bench(long seed, int gateways, LegTerms legs, double coldMs, boolean probes) {
        this(seed, gateways, legs, coldMs, new ReportTerms(probes, 0.01, 0, probes, false), new MoveTerms(0.05, 0));
    }

    Bench(long seed, int gateways, LegTerms legs, double coldMs, ReportTerms reports, MoveTerms moves) {
        director = new Director(
                new Post(seed, 0, gateways, new PlaceId("p")),
                new Ladder(List.of(100.0, 200.0, 400.0, 900.0), List.of(0.25, 0.5, 0.8, 1.0), 8),
                new LinkTerms(24_000, 0, 12_000, 2, 6, false),
                legs,
                new ColdTerms(0.5, coldMs, 3, 2000),
                new ShedTerms(2000),
                reports,
                moves,
                List.of(new Share(CUSTOMER, 0.2, 0.1)),
                this);
        director.listRemembered(now, fleet(0));
    }

    static Bench plain() {
        return new Bench(1, new LegTerms(4, 0, -1, 0), 0, false);
    }

    List<HostLine> fleet(double launched) {
        List<HostLine> lines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            lines.add(line(i, HostLine.Standing.READY, launched));
        }
        return lines;
    }

    static HostLine line(int i, HostLine.Standing standing, double launched) {
        return new HostLine(host(i), new PlaceId("p"), 40, i, standing, 1, launched);
    }

    static HostId host(int i) {
        return new HostId("h" + i);
    }

    PlayId want(Band band, double leftMs) {
        return want(band, 0, 3, leftMs);
    }

    PlayId want(Band band, int cell, int holders, double leftMs) {
        PlayId id = new PlayId(next++);
        director.wanted(now, wish(id, band, cell, holders, leftMs));
        return id;
    }

    /** A play of a customer whose share is 2 plays in 10 s. */
    PlayId wantShared() {
        PlayId id = new PlayId(next++);
        director.wanted(now, new Wanted(id, new ViewerId(id.value()), TITLE, CUSTOMER, FREE, 0, 3, 3, false, 0, 4000));
        return id;
    }

    /** Plays that are under way at the start. */
    PlayId underWay(Band band, int on, int rung) {
        PlayId id = new PlayId(next++);
        director.playing(now, wish(id, band, on, 1, 4000), host(on));
        director.rungTold(now, id, rung);
        return id;
    }

    private static Wanted wish(PlayId id, Band band, int cell, int holders, double leftMs) {
        return new Wanted(id, new ViewerId(id.value()), TITLE, null, band, cell, holders, 3, false, 0, leftMs);
    }

    void end(PlayId id, int leg, int on, Outcome how, boolean over) {
        director.ended(now, id, leg, host(on), how, over, 10, Load.NONE);
    }

    void start(PlayId id, int leg, int on, double took) {
        director.started(now, id, leg, host(on), took);
    }

    void links(double... use) {
        for (int i = 0; i < use.length; i++) {
            director.loadTold(now, host(i), new Load(use[i], Double.NaN, Double.NaN));
        }
    }

    /** Two own plays in rack 1, on hosts 1 and 3, which both deliver 0.7 for so long. */
    void shortRack(int seconds, double... use) {
        underWay(FREE, 1, 2);
        underWay(FREE, 3, 2);
        for (int i = 0; i < seconds; i++) {
            links(use);
            director.shareTold(now, host(1), 0.7);
            director.shareTold(now, host(3), 0.7);
            pass(1000);
        }
    }

    /** A gateway among 200, of this seed. */
    static Bench amongMany(long seed, double coldMs, boolean probes) {
        return new Bench(seed, 200, new LegTerms(4, 0, -1, 0), coldMs, probes);
    }

    /** The gateway has no turn for so long, and then all that came meanwhile. */
    void stall(double ms) {
        now += ms;
    }

    /** Lets time pass, waking the Director when it asked for that. */
    void pass(double ms) {
        double until = now + ms;
        while (wakeAt <= until) {
            now = wakeAt;
            wakeAt = Double.POSITIVE_INFINITY;
            director.woke(now, "look");
        }
        now = until;
    }

    /** Where the play's latest leg went: the host's number, or -1 if it has none. */
    int sentTo(PlayId id) {
        int at = -1;
        for (String s : out) {
            at = s.startsWith("set up " + id.value() + " ") ? s.charAt(s.length() - 1) - '0' : at;
        }
        return at;
    }

    long count(String start) {
        return out.stream().filter(s -> s.startsWith(start)).count();
    }

    @Override
    public void setUp(PlayId play, HostId host, double patienceMs) {
        out.add("set up " + play.value() + " " + Math.round(patienceMs) + " " + host.value());
    }

    @Override
    public void setRung(PlayId play, int rung) {
        out.add("rung " + play.value() + " " + rung);
    }

    @Override
    public void move(PlayId play) {
        out.add("move " + play.value());
    }

    @Override
    public void shed(PlayId play, double holdOffMs) {
        out.add("shed " + play.value());
    }

    @Override
    public void error(PlayId play) {
        out.add("error " + play.value());
    }

    @Override
    public void probe(HostId host) {
        out.add("probe " + host.value());
    }

    @Override
    public void followList() {
        out.add("follow");
    }

    @Override
    public void wake(double time, String mark) {
        wakeAt = time;
    }

    @Override
    public void log(String line) {
        out.add("log " + line);
    }
}
