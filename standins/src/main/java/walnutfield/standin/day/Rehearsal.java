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

/** Runs a scripted day on real sockets, with hosts, list service, gateways, viewers and faults, and audits it. */
public final class Rehearsal {
    private static final Logger LOG = LoggerFactory.getLogger(Rehearsal.class);
    private static final double SETTLE_MS = 400; // time for gateways to connect before viewers arrive
    private static final double PLAYLIST_POLL_MS = 400;
    private static final double WATCHDOG_PERIOD_MS = 10;
    private static final double MIN_STALL_MS = 40; // lateness of the watchdog that counts as a stall
    private static final double MAX_DRAIN_MS = 8000;

    /**
     * The result of a day.
     *
     * @param verdicts       a verdict for each rule, then those on playlists and on call sessions
     * @param requestCounts  number of requests by result
     * @param legCount       number of legs that reached a host
     * @param viewerCounts   counters of the viewers: segments fetched, segments not fetched, plays watched to the end,
     *                       plays that broke, malformed playlists
     * @param samplePlaylist the first complete playlist that a viewer followed, or the longest incomplete one
     * @param startDelaysMs  how long each viewer that was served waited for its answer
     * @param longestStallMs the longest stall of the process
     * @param callerCounts   counters of the callers: calls that ended normally, calls that were cut off, session
     *                       changes, final answers, retransmitted messages; empty without calls
     */
    public record Outcome(
            List<Verdict> verdicts,
            Map<String, Long> requestCounts,
            int legCount,
            List<Long> viewerCounts,
            String samplePlaylist,
            List<Double> startDelaysMs,
            double longestStallMs,
            List<Long> callerCounts) {
        /** Number of breaches over all rules. */
        public long breachCount() {
            return verdicts.stream().mapToLong(v -> v.breaches().size()).sum();
        }
    }

    private final DayPlan day;
    private final GatewayLauncher launcher;
    private final Auditor auditor;
    private final SplittableRandom random;
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "day");
        thread.setDaemon(true);
        return thread;
    });
    private final List<GatewayLauncher.RunningGateway> gateways =
            new ArrayList<>(); // by index; null while a gateway is down
    private MediaHosts mediaHosts;
    private ListService listService;
    private Viewers viewers;
    private SipHosts sipHosts; // null if the day has no calls
    private Callers callers; // null if the day has no calls
    private volatile double listDelayMs;
    private double lastListUpdateAt; // due time of the latest update; guarded by the list service
    private volatile double arrivalFactor = 1;

    public Rehearsal(DayPlan day, GatewayLauncher launcher) {
        this.day = day;
        this.launcher = launcher;
        auditor = new Auditor(day.rules());
        random = new SplittableRandom(day.seed());
        listDelayMs = day.listDelayMs();
    }

    public Outcome run() throws IOException, InterruptedException {
        mediaHosts = new MediaHosts(day.hosts(), day.hostSettings(), day.seed() + 1, auditor);
        listService = new ListService(auditor);
        try {
            for (HostPlan plan : day.hosts()) {
                listService.publish(hostEntry(plan, HostDescriptor.LifecycleState.READY, 0));
            }
            for (int i = 0; i < day.gateways(); i++) {
                gateways.add(null);
                startGateway(i);
            }
            viewers = new Viewers(
                    new Viewers.Behavior(
                            day.population().returnRatio(),
                            day.population().duplicateRatio(),
                            day.population().impatientRatio(),
                            PLAYLIST_POLL_MS),
                    day.seed() + 2,
                    () -> pickGateway(false),
                    auditor);
            ViewerPopulation.CallerPopulation calls = day.population().callers();
            if (calls.arrivalRatio() > 0) {
                sipHosts = new SipHosts(mediaHosts, calls.t1Ms(), calls.impairments(), day.seed() + 3, auditor);
                callers = new Callers(
                        new Callers.Behavior(
                                day.population().returnRatio(),
                                day.population().duplicateRatio(),
                                day.population().impatientRatio(),
                                calls.missingAckRatio(),
                                calls.earlyRetryRatio(),
                                calls.meanCallMs()),
                        day.hostSettings().ladder(),
                        calls.t1Ms(),
                        calls.impairments(),
                        day.seed() + 4,
                        () -> pickGateway(true),
                        auditor);
            }
            Thread.sleep((long) SETTLE_MS);
            double startedAt = Clock.now();
            for (Fault fault : day.faults()) {
                schedule(startedAt + fault.startMs(), () -> applyFault(fault, true));
                if (fault.durationMs() > 0) {
                    schedule(startedAt + fault.startMs() + fault.durationMs(), () -> applyFault(fault, false));
                }
            }
            scheduleArrival(startedAt, startedAt);
            watchForStalls(Clock.now());
            Thread.sleep((long) day.lengthMs());
            viewers.stopReturns();
            if (callers != null) {
                callers.stopReturns();
            }
            double maxDeadlineMs = day.rules().trafficClasses().values().stream()
                    .mapToDouble(TrafficClass::deadlineMs)
                    .max()
                    .orElse(0);
            double waitUntil = Clock.now() + maxDeadlineMs + 1000;
            while (viewers.openRequests() + (callers == null ? 0 : callers.openRequests()) > 0
                    && Clock.now() < waitUntil) {
                Thread.sleep(20);
            }
            double endedAt = Clock.now();
            List<Verdict> verdicts = new ArrayList<>(auditor.verdicts(endedAt));
            verdicts.add(viewers.playlistVerdict());
            List<Long> callerCounts = new ArrayList<>();
            if (callers != null) {
                verdicts.add(callers.sessionVerdict());
                callerCounts.addAll(callers.counts());
                callerCounts.add(callers.retransmissions());
            }
            return new Outcome(
                    verdicts,
                    auditor.requestCounts(),
                    auditor.legCount(),
                    viewers.counts(),
                    viewers.samplePlaylist(),
                    auditor.servedWaitsMs(),
                    auditor.longestStallMs(),
                    callerCounts);
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
                for (GatewayLauncher.RunningGateway gateway : gateways) {
                    if (gateway != null) {
                        gateway.kill();
                    }
                }
            }
            listService.close();
            mediaHosts.close();
        }
    }

    /** Detects stalls of the process: a periodic task that runs late was held up by one. */
    private void watchForStalls(double previousRun) {
        timers.schedule(
                () -> {
                    double now = Clock.now();
                    if (now - previousRun > WATCHDOG_PERIOD_MS + MIN_STALL_MS) {
                        auditor.processStalled(now, now - previousRun - WATCHDOG_PERIOD_MS);
                    }
                    watchForStalls(now);
                },
                (long) WATCHDOG_PERIOD_MS,
                TimeUnit.MILLISECONDS);
    }

    /** A scheduled task that may fail with an I/O error. */
    private interface Task {
        void run() throws IOException;
    }

    private void schedule(double time, Task task) {
        timers.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | RuntimeException e) {
                        if (timers.isShutdown()) {
                            return; // the run has ended, so failures of leftover tasks do not matter
                        }
                        LOG.atError().setCause(e).log("scheduled task of the rehearsal failed");
                    }
                },
                (long) Math.max(0, (time - Clock.now()) * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Schedules the next arrival. Arrivals form an open load: they do not wait for answers. */
    private void scheduleArrival(double startedAt, double previousArrival) {
        double gapMs;
        long title;
        TrafficClass trafficClass;
        int highestRung;
        boolean isCall;
        synchronized (random) {
            isCall = day.population().callers().arrivalRatio() > 0
                    && random.nextDouble() < day.population().callers().arrivalRatio();
            gapMs = -Math.log(1 - random.nextDouble())
                    * 1000
                    / (day.population().arrivalsPerS() * arrivalFactor);
            title = drawTitle(random.nextDouble());
            trafficClass = drawTrafficClass(random.nextDouble());
            int rungs = day.hostSettings().ladder().ratesKb().size();
            highestRung = random.nextDouble() < day.population().lowRungRatio()
                    ? Math.max(trafficClass.minRung(), rungs / 2 - 1)
                    : rungs - 1;
        }
        double nextArrival = previousArrival + gapMs;
        if (nextArrival < startedAt + day.lengthMs()) {
            schedule(nextArrival, () -> {
                if (isCall) {
                    callers.addArrival(title, trafficClass, highestRung);
                } else {
                    viewers.addArrival(title, trafficClass, highestRung);
                }
                scheduleArrival(startedAt, nextArrival);
            });
        }
    }

    private long drawTitle(double draw) {
        List<ViewerPopulation.TitlePlacement> titles = day.population().titles();
        double sum = 0;
        for (int i = 0; i < titles.size(); i++) {
            sum += Math.pow(i + 1, -day.population().popularitySkew());
        }
        double remaining = draw * sum;
        for (int i = 0; i < titles.size(); i++) {
            remaining -= Math.pow(i + 1, -day.population().popularitySkew());
            if (remaining <= 0) {
                return titles.get(i).id();
            }
        }
        return titles.get(titles.size() - 1).id();
    }

    private TrafficClass drawTrafficClass(double draw) {
        double remaining = draw
                * day.population().trafficClassWeights().values().stream()
                        .mapToDouble(weight -> weight)
                        .sum();
        TrafficClass drawn = null;
        for (Map.Entry<String, Double> entry :
                day.population().trafficClassWeights().entrySet()) {
            drawn = day.rules().trafficClasses().get(entry.getKey());
            remaining -= entry.getValue();
            if (remaining <= 0) {
                break;
            }
        }
        return drawn;
    }

    /** A random running gateway; null if none is running. */
    private Viewers.GatewayAddress pickGateway(boolean forCall) {
        synchronized (gateways) {
            List<Integer> running = new ArrayList<>();
            for (int i = 0; i < gateways.size(); i++) {
                if (gateways.get(i) != null) {
                    running.add(i);
                }
            }
            if (running.isEmpty()) {
                return null;
            }
            int i;
            synchronized (random) {
                i = running.get(random.nextInt(running.size()));
            }
            return new Viewers.GatewayAddress(
                    "gw" + i,
                    forCall ? gateways.get(i).sipPort() : gateways.get(i).port());
        }
    }

    private void startGateway(int index) throws IOException {
        synchronized (gateways) {
            if (gateways.get(index) != null) {
                return; // already running, as two of its faults overlapped
            }
        }
        GatewayLauncher.RunningGateway gateway =
                launcher.start("gw" + index, index, new InetSocketAddress("127.0.0.1", listService.port()));
        synchronized (gateways) {
            gateways.set(index, gateway);
        }
        auditor.gatewayStarted("gw" + index, Clock.now());
    }

    private GatewayLauncher.RunningGateway removeGateway(int index) {
        synchronized (gateways) {
            return gateways.set(index, null);
        }
    }

    private HostEntry hostEntry(HostPlan plan, HostDescriptor.LifecycleState state, double startedAt) {
        return new HostEntry(
                new HostDescriptor(
                        new HostId(plan.name()),
                        new PlaceId(plan.place()),
                        plan.slots(),
                        plan.cell(),
                        state,
                        plan.listedUnits(),
                        startedAt),
                new InetSocketAddress("127.0.0.1", mediaHosts.port(plan.name())));
    }

    /** Publishes a host's state in the list, after the current delay of the list service. */
    private void publishDelayed(HostPlan plan, HostDescriptor.LifecycleState state, double startedAt) {
        double dueAt;
        synchronized (listService) { // updates must stay in the order of the events
            dueAt = Math.max(lastListUpdateAt + 1, Clock.now() + listDelayMs);
            lastListUpdateAt = dueAt;
        }
        schedule(dueAt, () -> listService.publish(hostEntry(plan, state, startedAt)));
    }

    /** Starts or reverts a fault. */
    private void applyFault(Fault fault, boolean begins) throws IOException {
        LOG.atInfo()
                .addKeyValue("fault", fault.kind())
                .addKeyValue("begins", begins)
                .addKeyValue("first", fault.firstIndex())
                .addKeyValue("count", fault.count())
                .addKeyValue("amount", fault.amount())
                .log("fault");
        switch (fault.kind()) {
            case LIST_LOST -> listService.setUnreachable(begins);
            case LIST_LATE -> listDelayMs = day.listDelayMs() + (begins ? fault.amount() : 0);
            case CROWD -> arrivalFactor = begins ? fault.amount() : 1;
            case GATEWAY_KILLED, GATEWAY_STALLED, GATEWAY_DRAINED -> {
                for (int i = 0; i < fault.count(); i++) {
                    applyGatewayFault(fault, (fault.firstIndex() + i) % day.gateways(), begins);
                }
            }
            default -> {
                for (int i = 0; i < fault.count(); i++) {
                    applyHostFault(
                            fault,
                            day.hosts()
                                    .get((fault.firstIndex() + i) % day.hosts().size()),
                            begins);
                }
            }
        }
    }

    private void applyGatewayFault(Fault fault, int index, boolean begins) throws IOException {
        switch (fault.kind()) {
            case GATEWAY_KILLED -> {
                if (begins) {
                    GatewayLauncher.RunningGateway gateway = removeGateway(index);
                    if (gateway != null) {
                        auditor.gatewayStopped("gw" + index, Clock.now());
                        gateway.kill();
                    }
                } else {
                    startGateway(index);
                }
            }
            case GATEWAY_DRAINED -> {
                if (begins) {
                    GatewayLauncher.RunningGateway gateway = removeGateway(index);
                    if (gateway != null) {
                        gateway.drain(MAX_DRAIN_MS);
                        auditor.gatewayStopped("gw" + index, Clock.now());
                    }
                } else {
                    startGateway(index);
                }
            }
            default -> {
                GatewayLauncher.RunningGateway gateway;
                synchronized (gateways) {
                    gateway = gateways.get(index);
                }
                if (begins && gateway != null) {
                    double now = Clock.now();
                    auditor.gatewayStalled("gw" + index, now, now + fault.durationMs());
                    gateway.stall(fault.durationMs());
                }
            }
        }
    }

    private void applyHostFault(Fault fault, HostPlan plan, boolean begins) throws IOException {
        String name = plan.name();
        switch (fault.kind()) {
            case DEAD -> {
                if (begins) {
                    mediaHosts.crash(name);
                    publishDelayed(plan, HostDescriptor.LifecycleState.GONE, 0);
                } else {
                    mediaHosts.restart(name);
                    publishDelayed(plan, HostDescriptor.LifecycleState.READY, mediaHosts.startedAt(name));
                }
            }
            case DRAIN -> {
                if (begins) {
                    publishDelayed(plan, HostDescriptor.LifecycleState.DRAINING, 0);
                } else {
                    mediaHosts.crash(name);
                    publishDelayed(plan, HostDescriptor.LifecycleState.GONE, 0);
                    schedule(Clock.now() + fault.amount(), () -> {
                        mediaHosts.restart(name);
                        publishDelayed(plan, HostDescriptor.LifecycleState.READY, mediaHosts.startedAt(name));
                    });
                }
            }
            case SILENT -> mediaHosts.setUnresponsive(name, begins);
            case STANDING -> mediaHosts.setPaused(name, begins);
            case FAILING -> mediaHosts.setFailureRatio(name, begins ? fault.amount() : 0);
            case SLOW -> mediaHosts.setExtraSetUpMs(name, begins ? fault.amount() : 0);
            case ANSWERS_LOST -> mediaHosts.setAnswersLost(name, begins);
            case REPORTS_LATE -> mediaHosts.setExtraReportDelayMs(begins ? fault.amount() : 0);
            case WEAK_LINK -> mediaHosts.setLinkFactor(name, begins ? fault.amount() : 1);
            default -> throw new IllegalStateException("not a fault of hosts: " + fault.kind());
        }
    }
}
