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

/** A Director with a fleet of six hosts, a clock that tests advance, and a list of all its decisions. */
final class DirectorFixture implements GatewayActions {
    static final TrafficClass FREE = new TrafficClass("free", 1000, 4000, 1, false, 1, 0, 3, 0);
    static final TrafficClass PAID = new TrafficClass("paid", 1000, 4000, 3, true, 1, 0, 3, 0);
    static final TrafficClass SEATED = new TrafficClass("seated", 1000, 4000, 3, false, 1, 1, 3, 2);
    static final TitleId TITLE = new TitleId(7);

    final List<String> decisions = new ArrayList<>();
    final Director director;
    double now = 1_000_000;
    private double timerAt = Double.POSITIVE_INFINITY;
    private long nextPlayId = 1;

    static final TenantId TENANT = new TenantId("c");

    /** Six hosts of 40 slots and 4000 kB/s each, in two racks; with probes, the host list must be pulled too. */
    DirectorFixture(int gateways, RetryPolicy retryPolicy, double warmMs, boolean probes) {
        this(5, gateways, retryPolicy, warmMs, probes);
    }

    DirectorFixture(long seed, int gateways, RetryPolicy retryPolicy, double warmMs, boolean probes) {
        this(
                seed,
                gateways,
                retryPolicy,
                warmMs,
                new LoadReportSettings(probes, 0.01, 0, probes, false),
                new MoveCosts(0.05, 0));
    }

    DirectorFixture(
            long seed,
            int gateways,
            RetryPolicy retryPolicy,
            double warmMs,
            LoadReportSettings reports,
            MoveCosts moves) {
        director = new Director(
                new GatewayIdentity(seed, 0, gateways, new PlaceId("p")),
                new Ladder(List.of(100.0, 200.0, 400.0, 900.0), List.of(0.25, 0.5, 0.8, 1.0), 8),
                new LinkSettings(24_000, 0, 12_000, 2, 6, false),
                retryPolicy,
                new SlowStartPolicy(0.5, warmMs, 3, 2000),
                new SheddingPolicy(2000),
                reports,
                moves,
                List.of(new TenantQuota(TENANT, 0.2, 0.1)),
                this);
        director.persistedHostListLoaded(now, allHosts(0));
    }

    static DirectorFixture singleGateway() {
        return new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, false);
    }

    List<HostDescriptor> allHosts(double startedAt) {
        List<HostDescriptor> descriptors = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            descriptors.add(descriptor(i, HostDescriptor.LifecycleState.READY, startedAt));
        }
        return descriptors;
    }

    static HostDescriptor descriptor(int i, HostDescriptor.LifecycleState state, double startedAt) {
        return new HostDescriptor(host(i), new PlaceId("p"), 40, i, state, 1, startedAt);
    }

    static HostId host(int i) {
        return new HostId("h" + i);
    }

    PlayId request(TrafficClass trafficClass, double remainingMs) {
        return request(trafficClass, 0, 3, remainingMs);
    }

    PlayId request(TrafficClass trafficClass, int firstCell, int holderCount, double remainingMs) {
        PlayId id = new PlayId(nextPlayId++);
        director.playRequested(now, playRequest(id, trafficClass, firstCell, holderCount, remainingMs));
        return id;
    }

    /** Requests a play for a tenant whose quota is 2 plays in 10 s. */
    PlayId requestForTenant() {
        PlayId id = new PlayId(nextPlayId++);
        director.playRequested(
                now, new PlayRequest(id, new ViewerId(id.value()), TITLE, TENANT, FREE, 0, 3, 3, false, 0, 4000));
        return id;
    }

    /** Adds a play that was in progress at start-up. */
    PlayId addPlaying(TrafficClass trafficClass, int host, int rung) {
        PlayId id = new PlayId(nextPlayId++);
        director.playInProgress(now, playRequest(id, trafficClass, host, 1, 4000), host(host));
        director.rungReported(now, id, rung);
        return id;
    }

    private static PlayRequest playRequest(
            PlayId id, TrafficClass trafficClass, int firstCell, int holderCount, double remainingMs) {
        return new PlayRequest(
                id,
                new ViewerId(id.value()),
                TITLE,
                null,
                trafficClass,
                firstCell,
                holderCount,
                3,
                false,
                0,
                remainingMs);
    }

    void endLeg(PlayId id, int leg, int host, Outcome outcome, boolean playOver) {
        director.legEnded(now, id, leg, host(host), outcome, playOver, 10, LoadReport.NONE);
    }

    void startLeg(PlayId id, int leg, int host, double elapsedMs) {
        director.legStarted(now, id, leg, host(host), elapsedMs);
    }

    void reportLinkUse(double... uses) {
        for (int i = 0; i < uses.length; i++) {
            director.loadReported(now, host(i), new LoadReport(uses[i], Double.NaN, Double.NaN));
        }
    }

    /** Two own plays in rack 1, on hosts 1 and 3, which both deliver a share of 0.7 for the given time. */
    void reportShortRack(int seconds, double... uses) {
        addPlaying(FREE, 1, 2);
        addPlaying(FREE, 3, 2);
        for (int i = 0; i < seconds; i++) {
            reportLinkUse(uses);
            director.deliveredShareReported(now, host(1), 0.7);
            director.deliveredShareReported(now, host(3), 0.7);
            advance(1000);
        }
    }

    /** One of 200 gateways, with the given seed. */
    static DirectorFixture oneOf200(long seed, double warmMs, boolean probes) {
        return new DirectorFixture(seed, 200, new RetryPolicy(4, 0, -1, 0), warmMs, probes);
    }

    /** The process stalls for the given time; what the test calls next arrived meanwhile. */
    void stall(double ms) {
        now += ms;
    }

    /** Advances the clock and fires the timer whenever the Director has set it. */
    void advance(double ms) {
        double until = now + ms;
        while (timerAt <= until) {
            now = timerAt;
            timerAt = Double.POSITIVE_INFINITY;
            director.timerFired(now, "look");
        }
        now = until;
    }

    /** Number of the host to which the play's latest leg was sent, or -1 without a leg. */
    int hostOf(PlayId id) {
        int host = -1;
        for (String decision : decisions) {
            host = decision.startsWith("set up " + id.value() + " ")
                    ? decision.charAt(decision.length() - 1) - '0'
                    : host;
        }
        return host;
    }

    /** Number of decisions whose text begins with the given one. */
    long countDecisions(String prefix) {
        return decisions.stream()
                .filter(decision -> decision.startsWith(prefix))
                .count();
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        decisions.add("set up " + play.value() + " " + Math.round(timeoutMs) + " " + host.value());
    }

    @Override
    public void setRung(PlayId play, int rung) {
        decisions.add("rung " + play.value() + " " + rung);
    }

    @Override
    public void movePlay(PlayId play) {
        decisions.add("move " + play.value());
    }

    @Override
    public void shedPlay(PlayId play, double retryAfterMs) {
        decisions.add("shed " + play.value());
    }

    @Override
    public void failPlay(PlayId play) {
        decisions.add("error " + play.value());
    }

    @Override
    public void probeHost(HostId host) {
        decisions.add("probe " + host.value());
    }

    @Override
    public void watchHostList() {
        decisions.add("follow");
    }

    @Override
    public void setTimer(double time, String timer) {
        timerAt = time;
    }

    @Override
    public void log(String line) {
        decisions.add("log " + line);
    }
}
