package walnutfield.standin.day;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.hosts.HostEntry;
import walnutfield.net.Clock;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.PlaceId;
import walnutfield.play.TrafficClass;
import walnutfield.standin.Callers;
import walnutfield.standin.HostPlan;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.SipHosts;
import walnutfield.standin.Viewers;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Verdict;

/** Plays a day on real sockets: hosts, list, gateways, viewers, faults; then audits it. */
public final class Rehearsal {
    private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);
    private static final double SETTLE_MS = 400;
    private static final double POLL_MS = 400;
    private static final double WATCH_MS = 10;
    private static final double LATE_MS = 40;
    private static final double DRAIN_MS = 8000;

    /**
     * What a day came to.
     *
     * @param plays    requests by how they were answered
     * @param playlist one viewer's, as last fetched
     * @param startsMs how long each viewer who was served waited
     * @param stoodMs  the longest time that the machine stood still
     * @param callers  calls talked out, cut off, changed, finally answered, and messages that callers sent again
     */
    public record Outcome(
            List<Verdict> verdicts,
            Map<String, Long> plays,
            int legs,
            List<Long> viewers,
            String playlist,
            List<Double> startsMs,
            double stoodMs,
            List<Long> callers) {
        public long broken() {
            return verdicts.stream().mapToLong(v -> v.broken().size()).sum();
        }
    }

    private final Day day;
    private final Rig rig;
    private final Auditor auditor;
    private final SplittableRandom random;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, r -> {
        Thread t = new Thread(r, "day");
        t.setDaemon(true);
        return t;
    });
    private final List<Rig.Running> gateways = new ArrayList<>(); // null while one is down
    private MediaHosts hosts;
    private ListService list;
    private Viewers viewers;
    private SipHosts sipHosts; // null without calls
    private Callers callers; // the same
    private volatile double listLateMs;
    private double lastTold;
    private volatile double crowdTimes = 1;

    public Rehearsal(Day day, Rig rig) {
        this.day = day;
        this.rig = rig;
        auditor = new Auditor(day.rules());
        random = new SplittableRandom(day.seed());
        listLateMs = day.listLateMs();
    }

    public Outcome run() throws IOException, InterruptedException {
        hosts = new MediaHosts(day.hosts(), day.hostTerms(), day.seed() + 1, auditor);
        list = new ListService(auditor);
        try {
            for (HostPlan p : day.hosts()) {
                list.publish(entry(p, HostDescriptor.LifecycleState.READY, 0));
            }
            for (int i = 0; i < day.gateways(); i++) {
                gateways.add(null);
                up(i);
            }
            viewers = new Viewers(
                    new Viewers.Habits(
                            day.crowd().returns(),
                            day.crowd().twice(),
                            day.crowd().impatient(),
                            POLL_MS),
                    day.seed() + 2,
                    () -> gate(false),
                    auditor);
            Crowd.Calls c = day.crowd().calls();
            if (c.part() > 0) {
                sipHosts = new SipHosts(hosts, c.t1Ms(), c.sky(), day.seed() + 3, auditor);
                callers = new Callers(
                        new Callers.Habits(
                                day.crowd().returns(),
                                day.crowd().twice(),
                                day.crowd().impatient(),
                                c.mute(),
                                c.hammers(),
                                c.meanMs()),
                        day.hostTerms().ladder(),
                        c.t1Ms(),
                        c.sky(),
                        day.seed() + 4,
                        () -> gate(true),
                        auditor);
            }
            Thread.sleep((long) SETTLE_MS);
            double begin = Clock.now();
            for (Fault f : day.faults()) {
                at(begin + f.atMs(), () -> befalls(f, true));
                if (f.forMs() > 0) {
                    at(begin + f.atMs() + f.forMs(), () -> befalls(f, false));
                }
            }
            arrive(begin, begin);
            watch(Clock.now());
            Thread.sleep((long) day.lengthMs());
            viewers.lastCall();
            if (callers != null) {
                callers.lastCall();
            }
            double longest = day.rules().bands().values().stream()
                    .mapToDouble(TrafficClass::deadlineMs)
                    .max()
                    .orElse(0);
            double until = Clock.now() + longest + 1000;
            while (viewers.open() + (callers == null ? 0 : callers.open()) > 0 && Clock.now() < until) {
                Thread.sleep(20);
            }
            double end = Clock.now();
            List<Verdict> verdicts = new ArrayList<>(auditor.verdicts(end));
            verdicts.add(viewers.playlists());
            List<Long> called = new ArrayList<>();
            if (callers != null) {
                verdicts.add(callers.sessions());
                called.addAll(callers.figures());
                called.add(callers.repeats());
            }
            return new Outcome(
                    verdicts,
                    auditor.counts(),
                    auditor.legCount(),
                    viewers.figures(),
                    viewers.playlist(),
                    auditor.starts(),
                    auditor.longestPause(),
                    called);
        } finally {
            timers.shutdownNow();
            if (viewers != null) {
                viewers.close();
            }
            if (callers != null) {
                callers.close();
            }
            if (sipHosts != null) {
                sipHosts.close();
            }
            synchronized (gateways) {
                for (Rig.Running g : gateways) {
                    if (g != null) {
                        g.kill();
                    }
                }
            }
            list.close();
            hosts.close();
        }
    }

    /** Sees when the machine stands still, by being late itself. */
    private void watch(double before) {
        timers.schedule(
                () -> {
                    double now = Clock.now();
                    if (now - before > WATCH_MS + LATE_MS) {
                        auditor.stood(now, now - before - WATCH_MS);
                    }
                    watch(now);
                },
                (long) WATCH_MS,
                TimeUnit.MILLISECONDS);
    }

    private interface Task {
        void run() throws IOException;
    }

    private void at(double time, Task task) {
        timers.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | RuntimeException e) {
                        if (timers.isShutdown()) {
                            return; // the day is over, and what it would have done is of no use
                        }
                        LOG.atError().setCause(e).log("the day went wrong");
                    }
                },
                (long) Math.max(0, (time - Clock.now()) * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Arrivals are drawn ahead and do not wait for answers. */
    private void arrive(double begin, double now) {
        double gap;
        long title;
        TrafficClass band;
        int best;
        boolean calls;
        synchronized (random) {
            calls = day.crowd().calls().part() > 0
                    && random.nextDouble() < day.crowd().calls().part();
            gap = -Math.log(1 - random.nextDouble()) * 1000 / (day.crowd().perS() * crowdTimes);
            title = title(random.nextDouble());
            band = band(random.nextDouble());
            int rungs = day.hostTerms().ladder().kb().size();
            best = random.nextDouble() < day.crowd().weakest() ? Math.max(band.minRung(), rungs / 2 - 1) : rungs - 1;
        }
        double next = now + gap;
        if (next < begin + day.lengthMs()) {
            at(next, () -> {
                if (calls) {
                    callers.come(title, band, best);
                } else {
                    viewers.come(title, band, best);
                }
                arrive(begin, next);
            });
        }
    }

    private long title(double draw) {
        List<Crowd.TitlePlan> all = day.crowd().titles();
        double sum = 0;
        for (int i = 0; i < all.size(); i++) {
            sum += Math.pow(i + 1, -day.crowd().skew());
        }
        double left = draw * sum;
        for (int i = 0; i < all.size(); i++) {
            left -= Math.pow(i + 1, -day.crowd().skew());
            if (left <= 0) {
                return all.get(i).id();
            }
        }
        return all.get(all.size() - 1).id();
    }

    private TrafficClass band(double draw) {
        double left =
                draw * day.crowd().mix().values().stream().mapToDouble(w -> w).sum();
        TrafficClass last = null;
        for (Map.Entry<String, Double> e : day.crowd().mix().entrySet()) {
            last = day.rules().bands().get(e.getKey());
            left -= e.getValue();
            if (left <= 0) {
                break;
            }
        }
        return last;
    }

    private Viewers.Gate gate(boolean calls) {
        synchronized (gateways) {
            List<Integer> up = new ArrayList<>();
            for (int i = 0; i < gateways.size(); i++) {
                if (gateways.get(i) != null) {
                    up.add(i);
                }
            }
            if (up.isEmpty()) {
                return null;
            }
            int i;
            synchronized (random) {
                i = up.get(random.nextInt(up.size()));
            }
            return new Viewers.Gate(
                    "gw" + i,
                    calls ? gateways.get(i).sipPort() : gateways.get(i).port());
        }
    }

    private void up(int i) throws IOException {
        synchronized (gateways) {
            if (gateways.get(i) != null) {
                return; // two faults of it overlap
            }
        }
        Rig.Running g = rig.start("gw" + i, i, new InetSocketAddress("127.0.0.1", list.port()));
        synchronized (gateways) {
            gateways.set(i, g);
        }
        auditor.gatewayUp("gw" + i, Clock.now());
    }

    private Rig.Running takeOut(int i) {
        synchronized (gateways) {
            return gateways.set(i, null);
        }
    }

    private HostEntry entry(HostPlan p, HostDescriptor.LifecycleState standing, double started) {
        return new HostEntry(
                new HostDescriptor(
                        new HostId(p.name()),
                        new PlaceId(p.place()),
                        p.slots(),
                        p.cell(),
                        standing,
                        p.listed(),
                        started),
                new InetSocketAddress("127.0.0.1", hosts.port(p.name())));
    }

    private void tell(HostPlan p, HostDescriptor.LifecycleState standing, double started) {
        double due;
        synchronized (list) { // what the list tells comes in the order in which it happened
            due = Math.max(lastTold + 1, Clock.now() + listLateMs);
            lastTold = due;
        }
        at(due, () -> list.publish(entry(p, standing, started)));
    }

    private void befalls(Fault f, boolean begins) throws IOException {
        LOG.atInfo()
                .addKeyValue("fault", f.kind())
                .addKeyValue("begins", begins)
                .addKeyValue("first", f.first())
                .addKeyValue("count", f.count())
                .addKeyValue("amount", f.amount())
                .log("fault");
        switch (f.kind()) {
            case LIST_LOST -> list.lost(begins);
            case LIST_LATE -> listLateMs = day.listLateMs() + (begins ? f.amount() : 0);
            case CROWD -> crowdTimes = begins ? f.amount() : 1;
            case GATEWAY_KILLED, GATEWAY_STALLED, GATEWAY_DRAINED -> {
                for (int i = 0; i < f.count(); i++) {
                    gateway(f, (f.first() + i) % day.gateways(), begins);
                }
            }
            default -> {
                for (int i = 0; i < f.count(); i++) {
                    host(f, day.hosts().get((f.first() + i) % day.hosts().size()), begins);
                }
            }
        }
    }

    private void gateway(Fault f, int i, boolean begins) throws IOException {
        switch (f.kind()) {
            case GATEWAY_KILLED -> {
                if (begins) {
                    Rig.Running g = takeOut(i);
                    if (g != null) {
                        auditor.gatewayKilled("gw" + i, Clock.now());
                        g.kill();
                    }
                } else {
                    up(i);
                }
            }
            case GATEWAY_DRAINED -> {
                if (begins) {
                    Rig.Running g = takeOut(i);
                    if (g != null) {
                        g.drain(DRAIN_MS);
                        auditor.gatewayKilled("gw" + i, Clock.now());
                    }
                } else {
                    up(i);
                }
            }
            default -> {
                Rig.Running g;
                synchronized (gateways) {
                    g = gateways.get(i);
                }
                if (begins && g != null) {
                    double now = Clock.now();
                    auditor.gatewayStalled("gw" + i, now, now + f.forMs());
                    g.stall(f.forMs());
                }
            }
        }
    }

    private void host(Fault f, HostPlan p, boolean begins) throws IOException {
        String name = p.name();
        switch (f.kind()) {
            case DEAD -> {
                if (begins) {
                    hosts.crash(name);
                    tell(p, HostDescriptor.LifecycleState.GONE, 0);
                } else {
                    hosts.restart(name);
                    tell(p, HostDescriptor.LifecycleState.READY, hosts.startedAt(name));
                }
            }
            case DRAIN -> {
                if (begins) {
                    tell(p, HostDescriptor.LifecycleState.DRAINING, 0);
                } else {
                    hosts.crash(name);
                    tell(p, HostDescriptor.LifecycleState.GONE, 0);
                    at(Clock.now() + f.amount(), () -> {
                        hosts.restart(name);
                        tell(p, HostDescriptor.LifecycleState.READY, hosts.startedAt(name));
                    });
                }
            }
            case SILENT -> hosts.silent(name, begins);
            case STANDING -> hosts.standing(name, begins);
            case FAILING -> hosts.failing(name, begins ? f.amount() : 0);
            case SLOW -> hosts.slow(name, begins ? f.amount() : 0);
            case ANSWERS_LOST -> hosts.answersLost(name, begins);
            case REPORTS_LATE -> hosts.reportsLate(begins ? f.amount() : 0);
            case WEAK_LINK -> hosts.link(name, begins ? f.amount() : 1);
            default -> throw new IllegalStateException("no fault of hosts: " + f.kind());
        }
    }
}
