package walnutfield;

import java.util.ArrayList;
import java.util.List;
import walnutfield.decide.Director;
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
import walnutfield.play.TenantId;
import walnutfield.play.TenantQuota;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/** A Director with a fleet of its own making, and a record of all that it decides. */
final class Bench implements GatewayActions {
    static final TrafficClass FREE = new TrafficClass("free", 1000, 4000, 1, false, 1, 0, 3, 0);
    static final TrafficClass PAID = new TrafficClass("paid", 1000, 4000, 3, true, 1, 0, 3, 0);
    static final TrafficClass SEATED = new TrafficClass("seated", 1000, 4000, 3, false, 1, 1, 3, 2);
    static final TitleId TITLE = new TitleId(7);

    final List<String> out = new ArrayList<>();
    final Director director;
    double now = 1_000_000;
    private double wakeAt = Double.POSITIVE_INFINITY;
    private long next = 1;

    static final TenantId CUSTOMER = new TenantId("c");

    /** Six hosts of 40 slots and 4000 kB each, in two racks; with probes, the list must be asked for too. */
    Bench(int gateways, RetryPolicy legs, double coldMs, boolean probes) {
        this(5, gateways, legs, coldMs, probes);
    }

    Bench(long seed, int gateways, RetryPolicy legs, double coldMs, boolean probes) {
        this(
                seed,
                gateways,
                legs,
                coldMs,
                new LoadReportSettings(probes, 0.01, 0, probes, false),
                new MoveCosts(0.05, 0));
    }

    Bench(long seed, int gateways, RetryPolicy legs, double coldMs, LoadReportSettings reports, MoveCosts moves) {
        director = new Director(
                new GatewayIdentity(seed, 0, gateways, new PlaceId("p")),
                new Ladder(List.of(100.0, 200.0, 400.0, 900.0), List.of(0.25, 0.5, 0.8, 1.0), 8),
                new LinkSettings(24_000, 0, 12_000, 2, 6, false),
                legs,
                new SlowStartPolicy(0.5, coldMs, 3, 2000),
                new SheddingPolicy(2000),
                reports,
                moves,
                List.of(new TenantQuota(CUSTOMER, 0.2, 0.1)),
                this);
        director.persistedHostListLoaded(now, fleet(0));
    }

    static Bench plain() {
        return new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, false);
    }

    List<HostDescriptor> fleet(double launched) {
        List<HostDescriptor> lines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            lines.add(line(i, HostDescriptor.LifecycleState.READY, launched));
        }
        return lines;
    }

    static HostDescriptor line(int i, HostDescriptor.LifecycleState standing, double launched) {
        return new HostDescriptor(host(i), new PlaceId("p"), 40, i, standing, 1, launched);
    }

    static HostId host(int i) {
        return new HostId("h" + i);
    }

    PlayId want(TrafficClass band, double leftMs) {
        return want(band, 0, 3, leftMs);
    }

    PlayId want(TrafficClass band, int cell, int holders, double leftMs) {
        PlayId id = new PlayId(next++);
        director.playRequested(now, wish(id, band, cell, holders, leftMs));
        return id;
    }

    /** A play of a customer whose share is 2 plays in 10 s. */
    PlayId wantShared() {
        PlayId id = new PlayId(next++);
        director.playRequested(
                now, new PlayRequest(id, new ViewerId(id.value()), TITLE, CUSTOMER, FREE, 0, 3, 3, false, 0, 4000));
        return id;
    }

    /** Plays that are under way at the start. */
    PlayId underWay(TrafficClass band, int on, int rung) {
        PlayId id = new PlayId(next++);
        director.playInProgress(now, wish(id, band, on, 1, 4000), host(on));
        director.rungReported(now, id, rung);
        return id;
    }

    private static PlayRequest wish(PlayId id, TrafficClass band, int cell, int holders, double leftMs) {
        return new PlayRequest(id, new ViewerId(id.value()), TITLE, null, band, cell, holders, 3, false, 0, leftMs);
    }

    void end(PlayId id, int leg, int on, Outcome how, boolean over) {
        director.legEnded(now, id, leg, host(on), how, over, 10, LoadReport.NONE);
    }

    void start(PlayId id, int leg, int on, double took) {
        director.legStarted(now, id, leg, host(on), took);
    }

    void links(double... use) {
        for (int i = 0; i < use.length; i++) {
            director.loadReported(now, host(i), new LoadReport(use[i], Double.NaN, Double.NaN));
        }
    }

    /** Two own plays in rack 1, on hosts 1 and 3, which both deliver 0.7 for so long. */
    void shortRack(int seconds, double... use) {
        underWay(FREE, 1, 2);
        underWay(FREE, 3, 2);
        for (int i = 0; i < seconds; i++) {
            links(use);
            director.deliveredShareReported(now, host(1), 0.7);
            director.deliveredShareReported(now, host(3), 0.7);
            pass(1000);
        }
    }

    /** A gateway among 200, of this seed. */
    static Bench amongMany(long seed, double coldMs, boolean probes) {
        return new Bench(seed, 200, new RetryPolicy(4, 0, -1, 0), coldMs, probes);
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
            director.timerFired(now, "look");
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
    public void setUpLeg(PlayId play, HostId host, double patienceMs) {
        out.add("set up " + play.value() + " " + Math.round(patienceMs) + " " + host.value());
    }

    @Override
    public void setRung(PlayId play, int rung) {
        out.add("rung " + play.value() + " " + rung);
    }

    @Override
    public void movePlay(PlayId play) {
        out.add("move " + play.value());
    }

    @Override
    public void shedPlay(PlayId play, double holdOffMs) {
        out.add("shed " + play.value());
    }

    @Override
    public void failPlay(PlayId play) {
        out.add("error " + play.value());
    }

    @Override
    public void probeHost(HostId host) {
        out.add("probe " + host.value());
    }

    @Override
    public void watchHostList() {
        out.add("follow");
    }

    @Override
    public void setTimer(double time, String mark) {
        wakeAt = time;
    }

    @Override
    public void log(String line) {
        out.add("log " + line);
    }
}
