package walnutfield.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.LearnedState;
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

/**
 * Runs one desk in virtual time: hosts that serve, fail and report their load, a host that drains, a lost host list,
 * stalls of the gateway's process, and plays that end.
 */
final class DeskSimulation implements GatewayActions {
    static final TrafficClass FREE = new TrafficClass("free", 800, 3000, 1, false, 1, 0, 2, 0);
    static final TrafficClass PAID = new TrafficClass("paid", 800, 3000, 3, true, 1, 0, 2, 0);
    static final int HOSTS = 5;

    private record Event(double atMs, long order, Call call) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private final Desk desk;
    private final java.util.Map<PlayId, Integer> legCounts = new java.util.HashMap<>();
    private long order;
    private double now = 1_000_000;

    DeskSimulation(DeskSetup setup, long seed, Listener listener) {
        random = new SplittableRandom(seed);
        desk = setup.createDesk(this, listener);
    }

    static DeskSetup setup(long seed) {
        return new DeskSetup(
                "gw",
                "test",
                0,
                new GatewayIdentity(seed, 0, 3, new PlaceId("p")),
                new Ladder(List.of(100.0, 200.0, 400.0), List.of(0.4, 0.7, 1.0), 8),
                new LinkSettings(4000.0 * HOSTS, 0, 9000, 2, HOSTS, false),
                new RetryPolicy(3, 5, 0.2, 10_000),
                new SlowStartPolicy(0.2, 3000, 3, 1000),
                new SheddingPolicy(2000),
                new LoadReportSettings(true, 0.01, 200, false, false),
                new MoveCosts(0.02, 0),
                List.of(new TenantQuota(new TenantId("c"), 1, 0.1)));
    }

    static HostDescriptor host(int index, HostDescriptor.LifecycleState state) {
        return new HostDescriptor(new HostId("h" + index), new PlaceId("p"), 20, index, state, 1, 0);
    }

    private void schedule(double delayMs, Call call) {
        events.add(new Event(now + delayMs, order++, call));
    }

    /** Runs with this number of play requests, 100 ms apart on average. */
    void run(int requests) {
        List<HostDescriptor> hosts = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            hosts.add(host(i, HostDescriptor.LifecycleState.READY));
        }
        schedule(0, new Call.PersistedHostListLoaded(hosts));
        schedule(
                0,
                new Call.LearnedStateRestored(new LearnedState(
                        now - 500,
                        2000,
                        List.of(new LearnedState.UplinkCorrection(1, 1.3)),
                        List.of(
                                new LearnedState.HostHealth(new HostId("h0"), 0, true, true, now + 900, 0),
                                new LearnedState.HostHealth(new HostId("h2"), 0, false, false, 0, now - 100)))));
        schedule(1, new Call.HostListReplaced(hosts));
        double delayMs = 5;
        for (int i = 1; i <= requests; i++) {
            delayMs += random.nextDouble() * 200;
            schedule(
                    delayMs,
                    new Call.PlayRequested(new PlayRequest(
                            new PlayId(i),
                            new ViewerId(i),
                            new TitleId(i % 4),
                            i % 3 == 0 ? new TenantId("c") : null,
                            i % 4 == 0 ? PAID : FREE,
                            i % HOSTS,
                            3,
                            2,
                            false,
                            0,
                            3000)));
            if (i % 7 == 0) {
                schedule(
                        delayMs,
                        new Call.LoadReported(
                                new HostId("h" + i % HOSTS), new LoadReport(random.nextDouble() * 1.3, Double.NaN, 4)));
            }
            if (i % 11 == 0) {
                schedule(
                        delayMs,
                        new Call.DeliveredShareReported(new HostId("h" + i % HOSTS), 0.5 + random.nextDouble() / 2));
            }
        }
        schedule(delayMs / 2, new Call.HostListUpdated(List.of(host(1, HostDescriptor.LifecycleState.DRAINING))));
        schedule(delayMs / 2 + 500, new Call.HostListUnavailable());
        double endMs = now + delayMs + 2000;
        while (!events.isEmpty() && events.peek().atMs() < endMs) {
            Event event = events.poll();
            now = Math.max(now, event.atMs());
            desk.handle(now, event.call());
            if (event.call() instanceof Call.PlayRequested requested
                    && requested.request().play().value() % 50 == 0) {
                now += 400; // the gateway's process stalls
            }
        }
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        int leg = legCounts.merge(play, 1, Integer::sum) - 1;
        double elapsedMs = 5 + random.nextDouble() * 30;
        if (random.nextDouble() < 0.1) {
            Outcome outcome = random.nextDouble() < 0.5 ? Outcome.FAILED : Outcome.REJECTED;
            schedule(elapsedMs, new Call.LegEnded(play, leg, host, outcome, false, elapsedMs, LoadReport.NONE));
        } else {
            schedule(elapsedMs, new Call.LegStarted(play, leg, host, elapsedMs));
            schedule(
                    elapsedMs + 2000 * random.nextDouble(),
                    new Call.LegEnded(play, leg, host, Outcome.SERVED, true, elapsedMs, LoadReport.NONE));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {}

    @Override
    public void movePlay(PlayId play) {
        schedule(
                0,
                new Call.LegEnded(
                        play, legCounts.get(play) - 1, new HostId("h0"), Outcome.CANCELLED, true, 0, LoadReport.NONE));
    }

    @Override
    public void shedPlay(PlayId play, double retryAfterMs) {}

    @Override
    public void failPlay(PlayId play) {}

    @Override
    public void probeHost(HostId host) {
        schedule(
                2,
                new Call.ProbeCompleted(
                        host, Outcome.SERVED, 2, new LoadReport(random.nextDouble(), random.nextDouble(), 3)));
    }

    @Override
    public void watchHostList() {}

    @Override
    public void setTimer(double timeMs, String timer) {
        schedule(timeMs - now, new Call.TimerFired(timer));
    }

    @Override
    public void log(String line) {}
}
