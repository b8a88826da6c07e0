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

/** A day at one desk in virtual time: hosts that serve, fail and tell their load, a drain, a stall, plays that end. */
final class DeskDay implements GatewayActions {
    static final TrafficClass FREE = new TrafficClass("free", 800, 3000, 1, false, 1, 0, 2, 0);
    static final TrafficClass PAID = new TrafficClass("paid", 800, 3000, 3, true, 1, 0, 2, 0);
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

    static HostDescriptor line(int i, HostDescriptor.LifecycleState standing) {
        return new HostDescriptor(new HostId("h" + i), new PlaceId("p"), 20, i, standing, 1, 0);
    }

    private void add(double in, Call call) {
        events.add(new Event(now + in, order++, call));
    }

    /** So many wishes, a tenth of a second apart on the mean. */
    void run(int wishes) {
        List<HostDescriptor> all = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            all.add(line(i, HostDescriptor.LifecycleState.READY));
        }
        add(0, new Call.PersistedHostListLoaded(all));
        add(
                0,
                new Call.LearnedStateRestored(new LearnedState(
                        now - 500,
                        2000,
                        List.of(new LearnedState.UplinkCorrection(1, 1.3)),
                        List.of(
                                new LearnedState.HostHealth(new HostId("h0"), 0, true, true, now + 900, 0),
                                new LearnedState.HostHealth(new HostId("h2"), 0, false, false, 0, now - 100)))));
        add(1, new Call.HostListReplaced(all));
        double at = 5;
        for (int i = 1; i <= wishes; i++) {
            at += random.nextDouble() * 200;
            add(
                    at,
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
                add(
                        at,
                        new Call.LoadReported(
                                new HostId("h" + i % HOSTS), new LoadReport(random.nextDouble() * 1.3, Double.NaN, 4)));
            }
            if (i % 11 == 0) {
                add(at, new Call.DeliveredShareReported(new HostId("h" + i % HOSTS), 0.5 + random.nextDouble() / 2));
            }
        }
        add(at / 2, new Call.HostListUpdated(List.of(line(1, HostDescriptor.LifecycleState.DRAINING))));
        add(at / 2 + 500, new Call.HostListUnavailable());
        double end = now + at + 2000;
        while (!events.isEmpty() && events.peek().at() < end) {
            Event e = events.poll();
            now = Math.max(now, e.at());
            desk.handle(now, e.call());
            if (e.call() instanceof Call.PlayRequested w && w.request().play().value() % 50 == 0) {
                now += 400; // the gateway stands still
            }
        }
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double patienceMs) {
        int leg = legs.merge(play, 1, Integer::sum) - 1;
        double took = 5 + random.nextDouble() * 30;
        if (random.nextDouble() < 0.1) {
            Outcome how = random.nextDouble() < 0.5 ? Outcome.FAILED : Outcome.REJECTED;
            add(took, new Call.LegEnded(play, leg, host, how, false, took, LoadReport.NONE));
        } else {
            add(took, new Call.LegStarted(play, leg, host, took));
            add(
                    took + 2000 * random.nextDouble(),
                    new Call.LegEnded(play, leg, host, Outcome.SERVED, true, took, LoadReport.NONE));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {}

    @Override
    public void movePlay(PlayId play) {
        add(
                0,
                new Call.LegEnded(
                        play, legs.get(play) - 1, new HostId("h0"), Outcome.CANCELLED, true, 0, LoadReport.NONE));
    }

    @Override
    public void shedPlay(PlayId play, double holdOffMs) {}

    @Override
    public void failPlay(PlayId play) {}

    @Override
    public void probeHost(HostId host) {
        add(
                2,
                new Call.ProbeCompleted(
                        host, Outcome.SERVED, 2, new LoadReport(random.nextDouble(), random.nextDouble(), 3)));
    }

    @Override
    public void watchHostList() {}

    @Override
    public void setTimer(double time, String mark) {
        add(time - now, new Call.TimerFired(mark));
    }

    @Override
    public void log(String line) {}
}
