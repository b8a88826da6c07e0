package walnutfield.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import walnutfield.decide.Stage.Verdict;
import walnutfield.play.DecisionTracer;
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
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.RandomSource;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantId;
import walnutfield.play.TenantQuota;

/**
 * Decides for one gateway which plays are admitted, which media host serves each of them and at what rung.
 *
 * <p>Inputs, each a call with its time: the host list, play requests, plays in progress at start-up, the start and end
 * of legs, load reports and probe results, state kept from an earlier process, the timer and shutdown. Outputs: all
 * decisions go to {@link walnutfield.play.GatewayActions}, and the reasons for them to a
 * {@link walnutfield.play.DecisionTracer} if one is set. There is no clock, no I/O and no thread: the same calls in the
 * same order give the same decisions. The gateway observes only its own traffic and what hosts report.
 *
 * <p>The design is Janus: the score of a host is its spare link-and-uplink rate, in plays at the mean rate, plus 1 over
 * the percentage of its streams in use. Comments that begin with "Exception:" mark where the code departs from the
 * design and why.
 */
public final class Director {
    // Use is demand over capacity: 1 is a full link or uplink. docs/design.md gives the measurements.
    private static final double TICK_MS = 100; // interval of the housekeeping tick: queued plays, use, probes
    private static final double MOVE_CHECK_INTERVAL_MS = 10_000; // design: interval at which moves are considered
    private static final double MIN_MOVE_GAP_MS = 30_000; // design: a viewer is moved at most once in this time
    private static final double MIN_RUNG_GAP_MS = 10_000; // design: least time between changes of a play
    private static final double MAX_MOVED_RATIO = 0.1; // share of own plays that one move check may move
    private static final double MIN_MOVE_BENEFIT = 1.5; // a move must save its cost times this factor
    private static final double MAX_TOP_RUNG_USE = 0.65; // use up to which a new play gets its top rung
    private static final double USE_PER_RUNG = 0.14; // each such step of use above the limit costs a new play one rung
    private static final double UPLINK_USE_ALLOWANCE = 0.08; // use limits of an uplink exceed those of a link by this
    private static final double MIN_DOWNGRADE_USE = 1.03; // use above which playing plays are downgraded
    private static final double DOWNGRADE_TARGET_USE = 0.95; // downgrades bring use down to this
    private static final double MAX_ADMISSION_USE = 1.00; // a play is refused if even its lowest rung exceeds this use
    private static final double UPGRADE_USE_MARGIN = 0.10; // upgrades stay this far below the use limit if uncertain
    private static final double MAX_UPGRADE_USE = 0.92; // an upgrade never takes use beyond this
    private static final double MIN_UPGRADE_GAP_MS = 4_000; // least time between upgrades on one host
    private static final double FIRST_UPGRADE_DELAY_MS = 2_000; // no upgrades this soon after a host is first listed
    private static final double UPGRADE_RATIO = 0.5; // part of our headroom used: a crowd may be on its way
    private static final double REPORT_DECAY_MS = 8_000; // a load report's weight falls by a factor of e in this time
    private static final double LEARNED_DECAY_MS = 60_000; // an uplink's correction falls by e in this time
    private static final double CORRECTION_RATE = 0.1; // part of a report's deviation added to the correction
    private static final double MAX_CORRECTION = 2.5; // an uplink counts as at most this much narrower than told
    private static final double SAME_SHORTAGE_MS = 2_500; // hosts short within this time are short together
    // A link report of at least this weight that shows at most this use refutes a shortage of the link.
    private static final double MIN_RELIABLE_WEIGHT = 0.5, MAX_FREE_LINK_USE = 0.95;
    private static final double MAX_INFERRED_USE = 3; // a delivered share never implies more use than this
    private static final double MIN_FULL_SHARE = 0.98; // a smaller delivered share is a shortage
    private static final double MIN_REPORT_WEIGHT = 0.01; // lighter reports and smaller corrections are ignored
    private static final double OWN_PLAYS_WEIGHT = 0.3; // weight of the estimate from own plays in the average use
    private static final double HALF_CONFIDENCE_PLAYS = 10; // number of own plays that counts as much as the prior
    private static final double MIN_SPARE_WEIGHT = 0.01; // least weight of a host in a random draw by spare rate
    private static final double CROSS_PLACE_COST_FACTOR = 50; // times its cost, cuts the spare rate of another place
    private static final double MAX_UNCERTAINTY_USE = 0.30; // use added to the estimate when choosing a new play's rung
    private static final double PROBE_BUDGET_PER_PLAY = 0.02; // a play earns one probe of this cost, or more if cheaper
    private static final double RESPONSE_FACTOR = 0.25; // scales the probe budget if responses report load too
    private static final double MAX_SAVED_PROBES = 4; // probes that a gateway may save up
    private static final double MAX_PROBE_WAIT_MS = 60; // a play waits at most this long for a probe
    private static final double MIN_PROBE_REPORT_AGE_MS = 1_500; // a host with a more recent report is not probed
    private static final double MIN_PROCESS_STALL_MS = 250; // no call for this long, not even a tick: process stall
    private static final double ANSWER_TIME_QUANTILE = 0.9; // in-house practice: quantile by which a host is judged
    private static final int MIN_COMPARED_HOSTS = 3; // answer times are not compared among fewer hosts
    private static final double SLOW_PEER_FACTOR = 4; // a host is slow from this multiple of its peers' quantile
    private static final double MIN_SLOW_MS = 250; // a faster answer is never slow
    private static final double EJECTION_MS = 4_000; // time for which an outlier host is ejected
    private static final int MIN_SUCCESSES_TO_RESTORE = 2; // successes in a row that restore an outlier host
    private static final double SLOW_START_PACE_RATIO = 0.6; // part used of the pace that overloads a slow-start host
    private static final double UNPROVEN_SHARERS = 1.2; // new gateways assumed to share an unproven host
    private static final double MAX_QUEUE_LATENCY_RATIO = 0.85; // part of its latency target that a play may be queued
    private static final double RETRY_AFTER_MS = 1_000; // retry-after given to a viewer who is shed
    private static final double TIME_MARGIN_MS = 30; // safety margin at deadlines and at the retry budget's window
    private static final Map<Outcome, String> FAILURE_REASONS = Map.of(
            Outcome.FAILED,
            "a failed set-up",
            Outcome.TIMED_OUT,
            "a leg timed out",
            Outcome.UNREACHABLE,
            "unreachable",
            Outcome.CONNECTION_LOST,
            "a play or leg broke off");
    private static final double QUOTA_BURST_MS = 10_000; // a tenant may run ahead of its quota by this time
    private static final double MIN_QUOTA_BURST_PLAYS = 5; // least burst of a quota: fewer plays prove no excess
    private static final double OUTLIER_EXPIRY_MS = 15_000; // time from the end of ejection to an implied recovery
    private static final double SLOW_START_SPAN_MS = 10_000; // plays in this time tell our part of a slow-start pace
    private static final double REJECTION_BACKOFF_MS = 1_000; // a host that rejects a leg is skipped for this time
    private static final double LAST_RESORT_PENALTY = 1e6; // cut from the score of a host that is only a fallback
    private static final double WEIGHT_LEARNING_RATE = 0.02, DURATION_LEARNING_RATE = 0.05; // a play's part in averages
    private static final double INITIAL_PLAY_DURATION_MS = 30_000; // assumed until plays have been seen to end

    private final GatewayIdentity self;
    private final Ladder ladder;
    private final LinkSettings links;
    private final RetryPolicy retryPolicy;
    private final SlowStartPolicy slowStart;
    private final SheddingPolicy shedding;
    private final LoadReportSettings reporting;
    private final MoveCosts moveCosts;
    private final GatewayActions actions;
    private final double meanRateKb, meanRackUplinkKb;
    private final Fleet fleet;
    private final Map<PlayId, Play> plays = new LinkedHashMap<>(); // removed as plays end
    private final Map<PlayId, Play> queued = new LinkedHashMap<>(); // removed as plays are sent or cancelled
    private final Map<List<Object>, Integer> seatCounts = new HashMap<>(); // by seat key; removed as plays end
    private final Map<TenantId, TokenBucket> tenantBuckets = new HashMap<>(); // one for each tenant with a quota
    private final SlidingWindow viewerPlays, retries; // plays requested by viewers, and retries, in the budget's window
    private final SlidingWindow recentPlays = new SlidingWindow(SLOW_START_SPAN_MS); // all plays requested
    private double excessWeight = 1; // weight factor of a play over its tenant's quota
    private final List<Stage> stages = List.of(new Terms(), new Placing(), new Quality(), new Sending());
    private final RandomSource random;
    private final LoadEstimate ownLoad = new LoadEstimate(); // own load on all hosts together
    private double kbPerUnit, totalUnits, totalKb = 1; // link rate of a capacity unit; capacity of all ready hosts
    private double lastCallAt = Double.NaN, stallStart, stallEnd = Double.NEGATIVE_INFINITY; // latest process stall
    private double averageUse, averageOwnKb, averageAt = Double.NEGATIVE_INFINITY;
    private double peerAnswerTimeMs = Double.POSITIVE_INFINITY; // median over hosts of their answer time quantiles
    private double nextMoveCheckAt, probeTokens, watchRetryAt = Double.POSITIVE_INFINITY;
    private double processStartAt = Double.NEGATIVE_INFINITY;
    private double averageMs = INITIAL_PLAY_DURATION_MS, averageWeight = 1; // of plays: duration and weight
    private DecisionTracer tracer;

    public Director(
            GatewayIdentity self,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy retryPolicy,
            SlowStartPolicy slowStart,
            SheddingPolicy shedding,
            LoadReportSettings reporting,
            MoveCosts moveCosts,
            List<TenantQuota> quotas,
            GatewayActions actions) {
        this.self = self;
        this.ladder = ladder;
        this.links = links;
        this.retryPolicy = retryPolicy;
        this.slowStart = slowStart;
        this.shedding = shedding;
        this.reporting = reporting;
        this.moveCosts = moveCosts;
        this.actions = actions;
        fleet = new Fleet(links.cellCount(), links.rackCount());
        random = new RandomSource(self.seed());
        viewerPlays = new SlidingWindow(retryPolicy.windowMs() - TIME_MARGIN_MS);
        retries = new SlidingWindow(retryPolicy.windowMs() + TIME_MARGIN_MS);
        for (TenantQuota quota : quotas) {
            double playsPerMs = quota.playsPerS() / 1000 / self.gatewayCount();
            this.tenantBuckets.put(
                    quota.tenant(),
                    new TokenBucket(playsPerMs, Math.max(MIN_QUOTA_BURST_PLAYS, playsPerMs * QUOTA_BURST_MS)));
            excessWeight = quota.excessWeight();
        }
        meanRackUplinkKb = links.rackUplinkKb() > 0 ? links.rackUplinkKb() : 1e15;
        meanRateKb = ladder.meanRateKb();
    }

    /** Sets the tracer that is given the reasons for decisions; null for none. */
    public void traceTo(DecisionTracer newTracer) {
        tracer = newTracer;
    }

    // ---- Host list

    /** Starts with the host list that an earlier process kept; the hosts on it are unproven. */
    public void persistedHostListLoaded(double now, List<HostDescriptor> descriptors) {
        hostListReplaced(now, descriptors);
        fleet.all().forEach(h -> h.unprovenSince = now); // the list may be out of date
        watchRetryAt = reporting.pullHostList() ? now : Double.POSITIVE_INFINITY;
        processStartAt = now;
        if (nextMoveCheckAt == 0) { // peers that start together must not check for moves at the same time
            nextMoveCheckAt = now + MOVE_CHECK_INTERVAL_MS * (0.5 + random.next());
            actions.setTimer(now + TICK_MS, "look");
        }
    }

    /** A complete host list: hosts that it does not name are gone. */
    public void hostListReplaced(double now, List<HostDescriptor> descriptors) {
        Map<String, HostDescriptor> listed = new HashMap<>();
        descriptors.forEach(d -> listed.put(d.host().value(), d));
        for (Host host : new ArrayList<>(fleet.all())) {
            HostDescriptor e = host.entry;
            if (!listed.containsKey(host.id.value())) {
                updateHost(
                        new HostDescriptor(
                                host.id, e.place(), e.maxStreams(), e.cell(), HostDescriptor.LifecycleState.GONE, 0, 0),
                        now);
            }
        }
        hostListUpdated(now, descriptors);
    }

    /** New or changed entries of the host list. */
    public void hostListUpdated(double now, List<HostDescriptor> descriptors) {
        detectStall(now);
        descriptors.forEach(d -> updateHost(d, now));
        if (kbPerUnit == 0 && totalUnits > 0) { // totals are those at the start; uplinks in proportion to links
            kbPerUnit = links.totalLinkKb() > 0
                    ? links.totalLinkKb() / totalUnits
                    : Math.max(links.linkKbPerUnit(), meanRateKb);
            double unitUplink = meanRackUplinkKb * Math.max(1, links.rackCount()) / totalUnits;
            fleet.all().forEach(h -> h.rack.uplinkKb += h.ready() ? unitUplink * links.capacityUnits(h.entry) : 0);
        }
        // Racks that had no host at the start get the mean uplink rate.
        descriptors.forEach(d -> fleet.rack(d.cell()).initUplinkKb(meanRackUplinkKb));
        totalKb = Math.max(1, totalUnits * kbPerUnit);
        averageAt = Double.NEGATIVE_INFINITY;
    }

    /** The discovery service was lost: the latest list stays in use and the watch is retried later. */
    public void hostListUnavailable(double now) {
        watchRetryAt = now + EJECTION_MS;
        actions.log("list lost: going by the last one, " + fleet.all().size() + " hosts");
    }

    private void updateHost(HostDescriptor descriptor, double now) {
        Host host = fleet.get(descriptor.host());
        totalUnits -= host != null && host.ready() ? links.capacityUnits(host.entry) : 0;
        if (host == null) {
            if (descriptor.state() == HostDescriptor.LifecycleState.GONE) {
                return;
            }
            host = fleet.add(descriptor);
            // Its first load reports may leave out plays that it started with.
            host.upgradedAt = now - MIN_UPGRADE_GAP_MS + FIRST_UPGRADE_DELAY_MS;
        } else if (descriptor.startedAt() > host.entry.startedAt()) { // restarted: what was known is void
            host.clearAnswerTimes();
            host.outlier = host.unresponsive = false;
        }
        host.entry = descriptor;
        totalUnits += host.ready() ? links.capacityUnits(descriptor) : 0;
        if (descriptor.startedAt() > 0 && now - descriptor.startedAt() < slowStart.warmMs()) {
            host.slowStartSince = descriptor.startedAt();
            host.link.report(0, descriptor.startedAt(), ownLoad); // a host that has just started carries no load
        }
        fleet.removeIfGone(host);
    }

    /** Link rate of a host in kB/s; reduced during slow start to the share that the host can carry by now. */
    private double capacityKb(Host h, double now) {
        return Math.max(1, links.capacityUnits(h.entry) * kbPerUnit * slowStart.warmth(h.slowStartSince, now));
    }

    // ---- Estimates of use

    /** The latest report plus the load added since then; as the report ages, the assumed use replaces it. */
    private double estimatedUse(LoadEstimate load, double sizeKb, double assumed, double now) {
        double weight = load.weight(REPORT_DECAY_MS, now);
        double rise = load.reportedUse * peerGrowth(load.totalKbThen) * (self.gatewayCount() - 1) / self.gatewayCount();
        double use = Math.max(load.ownKb / sizeKb, load.reportedUse + (load.ownKb - load.ownKbThen) / sizeKb + rise);
        return weight == 0 ? assumed : weight * use + (1 - weight) * assumed;
    }

    /** Assumed growth of the peers' load: that of our own load, damped while our own load is only a few plays. */
    private double peerGrowth(double ownKbThen) {
        return (ownLoad.ownKb - ownKbThen) / (ownKbThen + HALF_CONFIDENCE_PLAYS * meanRateKb);
    }

    /** How little the own plays tell of the hosts, from 1 (nothing) to 0 (all). */
    private double uncertainty() {
        return self.gatewayCount() == 1
                ? 0
                : fleet.all().size() / (double) (fleet.all().size() + plays.size());
    }

    private double linkUse(Host h, double now) {
        return estimatedUse(h.link, capacityKb(h, now), assumedUse(h, now), now);
    }

    /** A host without a report counts as average, corrected by the own load on it. */
    private double assumedUse(Host host, double now) {
        if (now - averageAt >= TICK_MS) {
            averageAt = now;
            fleet.reportedHosts.removeIf(h -> h.link.weight(REPORT_DECAY_MS, now) < MIN_REPORT_WEIGHT);
            double confidence = self.gatewayCount() == 1 ? 1 : plays.size() / (plays.size() + HALF_CONFIDENCE_PLAYS);
            // Exception: own plays stand for the peers' plays too, with less confidence the fewer they are.
            double totalWeight = OWN_PLAYS_WEIGHT;
            double weightedUse = OWN_PLAYS_WEIGHT
                    * (confidence * self.gatewayCount() * ownLoad.ownKb / totalKb
                            + (1 - confidence) * MAX_TOP_RUNG_USE);
            for (Host peer : fleet.reportedHosts) {
                double weight = peer.ready() && !peer.unresponsive ? peer.link.weight(REPORT_DECAY_MS, now) : 0;
                totalWeight += weight;
                weightedUse += weight * estimatedUse(peer.link, capacityKb(peer, now), 0, now);
            }
            averageUse = weightedUse / totalWeight;
            averageOwnKb = ownLoad.ownKb;
        }
        double ownUse = host.link.ownKb / capacityKb(host, now);
        return Math.max(ownUse, averageUse * (1 + peerGrowth(averageOwnKb)) + ownUse - ownLoad.ownKb / totalKb);
    }

    /** Use of a rack's uplink, assumed from its hosts' links; an uplink of unknown rate never limits. */
    private double uplinkUse(Rack r, double now) {
        return estimatedUse(r.uplink, r.uplinkKb, assumedUplinkUse(r, now) * r.correction(LEARNED_DECAY_MS, now), now);
    }

    private double assumedUplinkUse(Rack rack, double now) {
        double sumKb = rack.hosts.stream()
                .mapToDouble(h -> h.unresponsive ? 0 : linkUse(h, now) * capacityKb(h, now))
                .sum();
        return sumKb / rack.uplinkKb;
    }

    /** Exception: the ratio of an uplink's reported use to its assumed use is kept for longer than the report
     *  itself. Guards against racks whose uplink is much narrower than the mean that is told: they would be filled
     *  again as each report ages. It does harm where there are few plays on a rack and the use of its links is assumed
     *  wrongly. */
    private void recordUplinkUse(Rack rack, double use, double measuredAt) {
        double assumed = assumedUplinkUse(rack, lastCallAt), old = rack.correction(LEARNED_DECAY_MS, lastCallAt);
        if (assumed > 0) {
            rack.setCorrection(old + CORRECTION_RATE * (Math.min(MAX_CORRECTION, use / assumed) - old), lastCallAt);
        }
        rack.uplink.report(use, measuredAt, ownLoad);
    }

    /** Streams in use; where none are reported, the number of plays at the mean rate that make up the link use. */
    private double activeStreams(Host host, double now) {
        double ownPlays = host.plays.size();
        return Math.max(
                ownPlays,
                Double.isNaN(host.reportedStreams)
                        ? linkUse(host, now) * capacityKb(host, now) / meanRateKb
                        : host.reportedStreams + ownPlays - host.ownPlaysAtReport);
    }

    private void recordLoad(HostId hostId, LoadReport load, double measuredAt) {
        Host host = fleet.get(hostId);
        if (host == null) {
            return;
        }
        if (!Double.isNaN(load.linkUse())) {
            host.link.report(load.linkUse(), measuredAt, ownLoad);
            fleet.reportedHosts.add(host);
        }
        if (!Double.isNaN(load.uplinkUse())) {
            recordUplinkUse(host.rack, load.uplinkUse(), measuredAt);
        }
        if (!Double.isNaN(load.activeStreams())) {
            host.reportedStreams = load.activeStreams();
            host.ownPlaysAtReport = host.plays.size();
        }
    }

    /** A load report that came with the reports about playing plays. */
    public void loadReported(double now, HostId hostId, LoadReport load) {
        detectStall(now);
        recordLoad(hostId, load, earliestArrival(now) - reporting.reportDelayMs());
    }

    /** The share of their rate that plays on a host received. A share below 1 means that the use of link or uplink
     *  is its inverse; the other hosts of the rack show which of the two it is. */
    public void deliveredShareReported(double now, HostId hostId, double share) {
        Host host = fleet.get(hostId);
        if (host == null) {
            return;
        }
        detectStall(now);
        double measuredAt = earliestArrival(now) - reporting.reportDelayMs();
        fleet.reportedHosts.add(host);
        host.deliveredShare = share;
        host.deliveredShareAt = measuredAt;
        if (share >= MIN_FULL_SHARE) {
            Stream.of(host.link, host.rack.uplink)
                    .filter(e -> e.reportedUse > 1)
                    .forEach(e -> e.report(MIN_FULL_SHARE, measuredAt, ownLoad));
            return;
        }
        host.lastShortageAt = measuredAt;
        double hostsWithOwnPlays = 0, shortHosts = 0, shareSum = 0;
        for (Host peer : host.rack.hosts) {
            boolean low = peer.deliveredShare < MIN_FULL_SHARE && measuredAt - peer.deliveredShareAt < SAME_SHORTAGE_MS;
            hostsWithOwnPlays += peer.plays.isEmpty() ? 0 : 1;
            shortHosts += low ? 1 : 0;
            shareSum += low ? peer.deliveredShare : 0;
        }
        if (host.link.weight(REPORT_DECAY_MS, now) > MIN_RELIABLE_WEIGHT
                        && host.link.reportedUse < MAX_FREE_LINK_USE // no shortage by its report
                || shortHosts >= 2 && shortHosts * 2 >= hostsWithOwnPlays) {
            recordUplinkUse(host.rack, Math.min(MAX_INFERRED_USE, shortHosts / shareSum), measuredAt);
        } else {
            host.link.report(Math.min(MAX_INFERRED_USE, 1 / share), measuredAt, ownLoad);
        }
    }

    // ---- Plays

    /** A viewer, or the gateway itself, asks for a play. */
    public void playRequested(double now, PlayRequest request) {
        detectStall(now);
        double waitedMs = Math.min(
                now - earliestArrival(now),
                Math.max(0, request.trafficClass().deadlineMs() - request.remainingWaitMs()));
        Play play = new Play(request, now - waitedMs, now, random.next());
        plays.put(request.play(), play);
        if (!request.gatewayInitiated()) {
            viewerPlays.add(now);
        }
        recentPlays.add(now);
        averageWeight += WEIGHT_LEARNING_RATE * (request.trafficClass().weight() - averageWeight);
        earnProbes();
        runStages(play, now);
    }

    private void earnProbes() {
        double budget = PROBE_BUDGET_PER_PLAY * (reporting.loadInResponses() ? RESPONSE_FACTOR : 1) * uncertainty();
        double earned = budget / Math.max(1e-9, reporting.probeCost());
        probeTokens = Math.min(MAX_SAVED_PROBES, probeTokens + earned);
    }

    /** A play that was in progress when this process started. */
    public void playInProgress(double now, PlayRequest request, HostId hostId) {
        Host host = fleet.get(hostId);
        if (host == null) {
            return;
        }
        Play play = new Play(request, now, now, random.next());
        play.playing = play.answered = play.legPending = true;
        play.startedAt = now;
        play.host = host;
        play.legCount = 1;
        host.unprovenSince = Double.NEGATIVE_INFINITY;
        plays.put(request.play(), play);
        earnProbes();
        occupyHost(play, now);
    }

    /** The rung at which a play in progress plays. */
    public void rungReported(double now, PlayId id, int rung) {
        Play play = plays.get(id);
        if (play != null && play.host != null) {
            addLoad(play, play.rateKb(ladder, rung) - play.rateKb(ladder, play.rung), now);
            play.rung = play.announcedRung = rung;
        }
    }

    private void runStages(Play play, double now) {
        for (Stage stage : stages) {
            Verdict verdict = stage.process(play, now);
            if (tracer != null) {
                tracer.stagePassed(play.request.play(), stage.getClass().getSimpleName(), verdict.name());
            }
            if (verdict == Verdict.END) {
                refuse(play, now);
            }
            if (verdict != Verdict.PASS) {
                return;
            }
        }
    }

    /** Gives a play its final answer: it is shed, or fails if it is paid and a leg may have run. */
    private void refuse(Play play, double now) {
        queued.remove(play.request.play());
        plays.remove(play.request.play());
        if (play.request.trafficClass().paid() && play.mayHaveRun) {
            actions.failPlay(play.request.play());
        } else {
            actions.shedPlay(play.request.play(), Math.min(RETRY_AFTER_MS, shedding.maxRetryAfterMs()));
        }
    }

    /** A leg was set up and its play plays. */
    public void legStarted(double now, PlayId id, int leg, HostId host, double tookMs) {
        detectStall(now);
        Play play = plays.get(id);
        if (play != null && play.host != null && !play.playing) {
            play.playing = play.answered = true;
            play.startedAt = now;
            play.host.pendingLegs--;
            if (now > stallEnd) { // otherwise the delay was ours, not the host's
                play.host.recordAnswerTime(tookMs);
                peerAnswerTimeMs = fleet.medianQuantile(ANSWER_TIME_QUANTILE, MIN_COMPARED_HOSTS);
            }
            recordSuccess(play.host, now);
        }
    }

    /** A leg ended; {@code done}: so has its play. */
    public void legEnded(
            double now, PlayId id, int leg, HostId host, Outcome result, boolean done, double tookMs, LoadReport load) {
        detectStall(now);
        Play play = plays.get(id);
        if (play == null || !play.legPending || leg != play.legCount - 1) {
            return;
        }
        for (int i = stages.size() - 1; i >= 0; i--) {
            stages.get(i).onLegEnded(play, result, now);
        }
        recordLoad(host, load, earliestArrival(now) - TICK_MS);
        if (done || play.answered) {
            plays.remove(id);
            if (play.playing && result == Outcome.SERVED) {
                averageMs += DURATION_LEARNING_RATE * (now - play.admittedAt - averageMs);
            }
        } else if (play.request.trafficClass().paid() && play.mayHaveRun) {
            refuse(play, now);
        } else {
            runStages(play, now);
        }
    }

    /** The viewer cancelled the play or left. */
    public void viewerLeft(double now, PlayId id) {
        Play play = plays.get(id);
        queued.remove(id);
        if (play != null && play.legPending) {
            play.answered = true; // its leg has yet to end
            return;
        }
        plays.remove(id);
    }

    /** The gateway shuts down: every play without its final answer gets it; a leg in progress may have run. */
    public void shutdownStarted(double now) {
        for (Play play : new ArrayList<>(plays.values())) {
            if (!play.answered) {
                play.mayHaveRun |= play.legPending;
                refuse(play, now);
            }
        }
    }

    private void occupyHost(Play play, double now) {
        fleet.addPlay(play);
        play.host.pendingLegs += play.playing ? 0 : 1;
        addLoad(play, play.rateKb(ladder, play.rung), now);
        seatCounts.merge(play.request.seatKey(), 1, Integer::sum);
    }

    private void addLoad(Play play, double kb, double now) {
        play.host.link.add(kb, now);
        play.host.rack.uplink.add(kb, now);
        ownLoad.add(kb, now);
    }

    /** Terms: limits on legs and on seats of title and class, and the tenant's quota, whose excess weighs less. */
    private final class Terms implements Stage {
        @Override
        public Verdict process(Play play, double now) {
            int maxSeats = play.request.trafficClass().seats();
            if (play.legCount >= retryPolicy.maxLegs()
                    || maxSeats > 0 && seatCounts.getOrDefault(play.request.seatKey(), 0) >= maxSeats) {
                return Verdict.END;
            }
            TokenBucket bucket = tenantBuckets.get(play.request.tenant());
            if (bucket != null && play.legCount == 0 && !queued.containsKey(play.request.play())) {
                play.weightFactor = bucket.tryTake(now) ? 1 : excessWeight;
            }
            return Verdict.PASS;
        }

        @Override
        public void onLegEnded(Play play, Outcome outcome, double now) {
            seatCounts.computeIfPresent(play.request.seatKey(), (key, count) -> count <= 1 ? null : count - 1);
        }
    }

    /** Placing: chooses among the title's holders by the design's score; queues the play while none can take it. */
    private final class Placing implements Stage {
        @Override
        public Verdict process(Play play, double now) {
            boolean waitsForProbe = play.probedHost != null
                    && play.probedHost.probePending
                    && now - play.probedHost.probedAt < MAX_PROBE_WAIT_MS;
            play.host = waitsForProbe ? null : bestHolder(play, now, null);
            if (play.host != null && !probeIfStale(play.probedHost = play.host, now)) {
                queued.remove(play.request.play());
                return Verdict.PASS;
            }
            double until = play.admittedAt
                    + MAX_QUEUE_LATENCY_RATIO * play.request.trafficClass().latencyTargetMs();
            if (now >= Math.min(until, play.deadline - 2 * TICK_MS)) {
                return Verdict.END;
            }
            queued.put(play.request.play(), play);
            return Verdict.KEEP;
        }

        @Override
        public void onLegEnded(Play play, Outcome outcome, double now) {
            play.host.pendingLegs -= play.playing ? 0 : 1;
            addLoad(play, -play.rateKb(ladder, play.rung), now);
            fleet.removePlay(play);
            if (outcome != Outcome.SERVED) {
                play.triedHosts.add(play.host);
            }
        }
    }

    /** Exception: where probes are allowed, the best holder is probed if its load report is old, and the choice is
     *  made again after that. Guards against hosts that are little known or unreachable; it does harm where probes are
     *  answered slowly. */
    private boolean probeIfStale(Host host, double now) {
        if (!reporting.probingAllowed()
                || probeTokens < 1
                || host.probePending
                || now - Math.max(host.link.reportedAt, host.probedAt) < MIN_PROBE_REPORT_AGE_MS) {
            return false;
        }
        probeTokens--;
        host.probePending = true;
        host.probedAt = now;
        actions.probeHost(host.id);
        return true;
    }

    /** The holder with the best score; an ejected host only where there is no other. Exception: of the holders
     *  without a recent report only one takes part, drawn at random with odds in proportion to its spare rate. Guards
     *  against gateways that know nothing of many hosts and all choose the largest; it does harm where estimates are
     *  good. */
    private Host bestHolder(Play play, double now, Host excluded) {
        Host bestHost = null;
        double bestScore = Double.NEGATIVE_INFINITY, totalOdds = 0;
        Map<Host, Double> unreported = new LinkedHashMap<>();
        for (Host host : fleet.holders(play.request.firstCell(), play.request.holderCount())) {
            boolean outlier = host.outlier && now < host.retryAt + OUTLIER_EXPIRY_MS;
            String skipReason = host == excluded
                    ? "left"
                    : !host.ready()
                            ? "not ready"
                            : play.triedHosts.contains(host)
                                    ? "tried"
                                    : now < earliestSetUp(host, play, now)
                                            ? "cold"
                                            : now - host.rejectedAt < REJECTION_BACKOFF_MS
                                                    ? "turned away"
                                                    : host.entry.maxStreams() > 0
                                                                    && activeStreams(host, now)
                                                                            >= host.entry.maxStreams()
                                                            ? "no slots"
                                                            : outlier
                                                                            && (play.request
                                                                                            .trafficClass()
                                                                                            .paid()
                                                                                    || host.probePending
                                                                                    || host.pendingLegs > 0)
                                                                    ? "suspect"
                                                                    : null;
            if (skipReason != null) { // an outlier is retried with one play at a time, never with a paid one
                traceCandidate(play, host, skipReason, Double.NaN, now);
                continue;
            }
            double score = score(host, now);
            boolean fallback =
                    outlier && now < host.retryAt || host.probePending && now - host.probedAt >= MAX_PROBE_WAIT_MS;
            traceCandidate(play, host, null, score, now);
            if (!fallback && host.link.weight(REPORT_DECAY_MS, now) < MIN_RELIABLE_WEIGHT && self.gatewayCount() > 1) {
                totalOdds += Math.max(MIN_SPARE_WEIGHT, score);
                unreported.put(host, score);
                continue;
            }
            score -= fallback ? LAST_RESORT_PENALTY : 0;
            if (score > bestScore) {
                bestScore = score;
                bestHost = host;
            }
        }
        double drawn = unreported.isEmpty() ? 0 : totalOdds * random.next();
        for (Map.Entry<Host, Double> candidate : unreported.entrySet()) {
            drawn -= Math.max(MIN_SPARE_WEIGHT, candidate.getValue());
            if (drawn < 0) {
                return candidate.getValue() > bestScore ? candidate.getKey() : bestHost;
            }
        }
        return bestHost;
    }

    private void traceCandidate(Play play, Host host, String skipReason, double score, double now) {
        if (tracer != null) { // the use of a skipped host is not computed, as that would change state
            boolean scored = skipReason == null;
            tracer.candidateScored(
                    play.request.play(),
                    host.id,
                    skipReason,
                    score,
                    scored ? linkUse(host, now) : Double.NaN,
                    scored ? uplinkUse(host.rack, now) : Double.NaN,
                    host.link.weight(REPORT_DECAY_MS, now));
        }
    }

    /** The design's score: spare rate, in plays at the mean rate, plus 1 over the percentage of streams in use.
     *  Exception: spare rate in another place counts less, by the cost of cross-place traffic. Guards against that cost
     *  and against places that are cut off or lost; it does harm where viewers crowd into one place. */
    private double score(Host host, double now) {
        double spareKb = Math.min(
                capacityKb(host, now) * (1 - linkUse(host, now)), host.rack.uplinkKb * (1 - uplinkUse(host.rack, now)));
        double percent = host.entry.maxStreams() > 0 ? 100 * activeStreams(host, now) / host.entry.maxStreams() : 100;
        boolean samePlace = host.entry.place().equals(self.place());
        double distanceFactor = samePlace || spareKb < 0 ? 1 : 1 + CROSS_PLACE_COST_FACTOR * moveCosts.crossPlaceCost();
        return spareKb / meanRateKb / distanceFactor + 1 / Math.max(1, percent);
    }

    /** Earliest time at which a host may be sent a set-up: a host that is unproven or in slow start gets our part
     *  of a safe pace. Where that is less than one play in the time that it withstands overload, plays pass by chance;
     *  the odds sum to the pace over all gateways, however many plays each has, as a play is counted in its own
     *  odds. */
    private double earliestSetUp(Host h, Play p, double now) {
        double unproven = earliestSetUp(h, p, h.unprovenSince, Math.min(self.gatewayCount(), UNPROVEN_SHARERS), now);
        return Math.max(unproven, earliestSetUp(h, p, h.slowStartSince, self.gatewayCount(), now)); // peers see both
    }

    private double earliestSetUp(Host host, Play play, double since, double sharers, double now) {
        if (slowStart.warmMs() <= 0
                || slowStart.overloadMs() <= 0
                || now - since >= slowStart.warmMs()
                || host.entry.maxStreams() <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double pace = host.entry.maxStreams() / slowStart.warmMs() * slowStart.warmth(since, now); // per ms
        double gapMs = sharers / (pace * slowStart.overloadFactor() * SLOW_START_PACE_RATIO);
        if (gapMs > slowStart.overloadMs()) {
            double observedMs = Math.min(
                    SLOW_START_SPAN_MS, Math.max(TICK_MS, now - processStartAt)); // a new process saw few plays
            double expectedPlays =
                    recentPlays.count(now) * (sharers < self.gatewayCount() ? 1 : SLOW_START_SPAN_MS / observedMs);
            double odds = SLOW_START_SPAN_MS / (gapMs * Math.max(1, expectedPlays));
            return play.randomDraw < odds ? host.lastLegSentAt + gapMs : Double.POSITIVE_INFINITY;
        }
        double turnMs = gapMs * (self.index() + 0.5) / self.gatewayCount(); // the gateways take turns
        return Math.max(since + turnMs, host.lastLegSentAt + gapMs);
    }

    /** Quality: the top rung while the chosen host has headroom, and one rung less for each step of use above the
     *  limit. Exception: no play is admitted where even its lowest rung exceeds what link or uplink can carry. Guards
     *  against crowds and weak links, where each further play takes from all others; it does harm where use is
     *  overestimated. */
    private final class Quality implements Stage {
        @Override
        public Verdict process(Play play, double now) {
            double linkKb = capacityKb(play.host, now), uplinkKb = play.host.rack.uplinkKb;
            double use = linkUse(play.host, now), uplink = uplinkUse(play.host.rack, now);
            double margin = MAX_UNCERTAINTY_USE * uncertainty() * (1 - play.host.link.weight(REPORT_DECAY_MS, now));
            int minRung = play.request.trafficClass().minRung();
            play.rung = play.weightFactor < 1 ? minRung : ladder.highestRung(play.request);
            while (play.rung > minRung
                    && Math.max(
                                    use + margin + play.rateKb(ladder, play.rung) / linkKb,
                                    uplink + play.rateKb(ladder, play.rung) / uplinkKb - UPLINK_USE_ALLOWANCE)
                            > maxUse(play, play.rung)) {
                play.rung--;
            }
            double kb = play.rateKb(ladder, minRung);
            return Math.max(use + kb / linkKb, uplink + kb / uplinkKb) > MAX_ADMISSION_USE ? Verdict.END : Verdict.PASS;
        }
    }

    /** Sending: the retry budget and the leg's timeout; the outcome of a leg is first judged here. */
    private final class Sending implements Stage {
        @Override
        public Verdict process(Play play, double now) {
            boolean budgetSpent = retryPolicy.retryRatio() >= 0
                    && retries.count(now) + 1
                            > retryPolicy.baseRetries() + retryPolicy.retryRatio() * viewerPlays.count(now);
            if (play.legCount > 0 && budgetSpent || now > play.deadline - TIME_MARGIN_MS) {
                return Verdict.END;
            }
            if (play.legCount > 0) {
                retries.add(now);
            }
            if (play.rung != play.announcedRung) {
                actions.setRung(play.request.play(), play.rung);
                play.announcedRung = play.rung;
            }
            actions.setUpLeg(play.request.play(), play.host.id, legTimeoutMs(play, now));
            play.legCount++;
            play.legPending = true;
            play.legSentAt = now;
            play.rungChangedAt = Double.NEGATIVE_INFINITY; // a set-up is no rung change: one may follow immediately
            play.host.lastLegSentAt = now;
            occupyHost(play, now);
            return Verdict.KEEP;
        }

        @Override
        public void onLegEnded(Play play, Outcome outcome, double now) {
            play.legPending = false;
            play.mayHaveRun |= !outcome.neverRan;
            if (outcome != Outcome.TIMED_OUT || now > stallEnd) { // otherwise the timeout passed during a process stall
                recordOutcome(play.host, outcome, now);
            }
        }
    }

    /** Timeout of a leg: a multiple of what the host's peers need, and short enough that a retry still fits. A paid
     *  play and the last leg have no retry after a timeout, and get all the time left. */
    private double legTimeoutMs(Play play, double now) {
        double remainingMs = play.deadline - TIME_MARGIN_MS - now;
        if (play.request.trafficClass().paid() || play.legCount + 1 >= retryPolicy.maxLegs()) {
            return remainingMs;
        }
        double untilTargetMs = play.admittedAt + play.request.trafficClass().latencyTargetMs() - now;
        double maxMs = (untilTargetMs > 0 ? untilTargetMs : remainingMs) / 2;
        return Math.min(remainingMs, Math.max(MIN_SLOW_MS, Math.min(maxMs, SLOW_PEER_FACTOR * peerAnswerTimeMs)));
    }

    // ---- Health

    private void recordSuccess(Host host, double now) {
        if (host.unresponsive) { // it may have restarted meanwhile: treat it as just started
            host.slowStartSince = Math.max(host.slowStartSince, now);
            host.unresponsive = false;
        }
        if (host.outlier && ++host.successesInRow >= MIN_SUCCESSES_TO_RESTORE) {
            host.outlier = false;
            actions.log("host " + host.id.value() + " sound again after " + host.successesInRow + " good answers");
        }
    }

    private void recordOutcome(Host host, Outcome outcome, double now) {
        if (outcome == Outcome.REJECTED) {
            host.rejectedAt = now;
        } else if (FAILURE_REASONS.containsKey(outcome)) {
            eject(host, outcome != Outcome.FAILED, FAILURE_REASONS.get(outcome), now);
        }
    }

    /** Ejects a host as an outlier for a while. Guards against hosts that fail fast (they look idle), stall, are
     *  unresponsive, lost or slow, whatever the cause; it does harm where one random failure takes a holder of a title
     *  in demand out of use. */
    private void eject(Host host, boolean unresponsive, String reason, double now) {
        if (!host.outlier) {
            actions.log("host " + host.id.value() + " suspect: " + reason + ", out for " + EJECTION_MS + " ms");
        }
        host.retryAt = now + EJECTION_MS;
        host.outlier = true;
        host.unresponsive |= unresponsive;
        host.successesInRow = 0;
    }

    /** The result of a probe; {@code load} is what the host reported in its answer. */
    public void probeCompleted(double now, HostId hostId, Outcome result, double tookMs, LoadReport load) {
        detectStall(now);
        Host host = fleet.get(hostId);
        if (host == null) {
            return;
        }
        host.probePending = false;
        if (result == Outcome.SERVED) {
            recordLoad(hostId, load, earliestArrival(now) - TICK_MS); // no proof for set-ups: their answers may be lost
        } else if (result != Outcome.TIMED_OUT && result != Outcome.UNREACHABLE && result != Outcome.CONNECTION_LOST) {
            return;
        } else if (now > stallEnd) {
            eject(host, true, "a probe went unanswered", now);
        }
        for (Play play : new ArrayList<>(queued.values())) {
            if (play.probedHost == host) {
                runStages(play, now);
            }
        }
    }

    /** Notes the time of a call and detects a stall of this process. Guards against blaming hosts for it: timeouts
     *  and late answers of that time say nothing about hosts, and plays and reports are as old as the stall. It does
     *  harm where a host failed in just that time. */
    private void detectStall(double now) {
        if (now - lastCallAt > MIN_PROCESS_STALL_MS) {
            stallStart = lastCallAt;
            stallEnd = now;
            actions.log("stood still for " + (now - lastCallAt) + " ms: time-outs of that time are not counted");
        }
        lastCallAt = now;
    }

    /** The earliest time at which what is handled now may have arrived: the start of a stall that just ended. */
    private double earliestArrival(double now) {
        return now > stallEnd ? now : stallStart;
    }

    // ---- State handed to the next process

    /** Facts about hosts and racks that stay valid in the next process. Own load, plays, seats, reports and answer
     *  times do not, and are left out. */
    public LearnedState learnedState(double now) {
        List<LearnedState.UplinkCorrection> uplinks = fleet.racks().entrySet().stream()
                .map(r -> new LearnedState.UplinkCorrection(
                        r.getKey(), r.getValue().correction(LEARNED_DECAY_MS, now)))
                .filter(u -> Math.abs(u.factor() - 1) > MIN_REPORT_WEIGHT)
                .toList();
        List<LearnedState.HostHealth> hosts = fleet.all().stream()
                .filter(h -> h.outlier || now - h.slowStartSince < slowStart.warmMs())
                .map(h -> new LearnedState.HostHealth(
                        h.id, h.entry.startedAt(), h.outlier, h.unresponsive, h.retryAt, Math.max(0, h.slowStartSince)))
                .toList();
        return new LearnedState(now, averageMs, uplinks, hosts);
    }

    /** Takes over the state of an earlier process. It only adds caution: no host becomes healthier, warmer or less
     *  loaded by it. Guards against a start that has to detect each bad host and narrow uplink anew; it does harm where
     *  they have recovered meanwhile, just as within one process. */
    public void learnedStateRestored(double now, LearnedState state) {
        detectStall(now);
        double ageMs = now - state.at();
        if (!(ageMs >= 0 && ageMs <= LEARNED_DECAY_MS)) {
            if (state.at() > 0) {
                actions.log("what was learnt " + ageMs + " ms ago is too old or of another clock: starting afresh");
            }
            return;
        }
        averageMs = state.averagePlayMs() > 0 ? state.averagePlayMs() : averageMs;
        state.uplinks().stream()
                .filter(u -> u.rack() >= 0 && u.rack() < links.rackCount())
                .forEach(u -> fleet.rack(u.rack())
                        .setCorrection(Math.min(MAX_CORRECTION, Math.max(0, u.factor())), state.at()));
        for (LearnedState.HostHealth health : state.hosts()) {
            Host host = fleet.get(health.host());
            if (host != null && host.entry.startedAt() == health.startedAt()) { // else the host has restarted
                host.outlier |= health.outlier();
                host.unresponsive |= health.unresponsive();
                host.retryAt = Math.max(host.retryAt, Math.min(health.retryAt(), now + EJECTION_MS));
                host.slowStartSince = Math.max(host.slowStartSince, Math.min(health.slowStartSince(), now));
            }
        }
    }

    // ---- Periodic work

    /** The housekeeping tick: queued plays, slow hosts, rung changes, moves and the watch of the host list. */
    public void timerFired(double now, String timer) {
        detectStall(now);
        actions.setTimer(now + TICK_MS, "look");
        for (Play play : new ArrayList<>(queued.values())) {
            runStages(play, now);
        }
        ejectSlowHosts(now);
        fleet.hostsWithPlays.values().forEach(h -> downgrade(h.link, h.plays, () -> linkUse(h, now), now));
        fleet.hostsWithPlays.values().stream()
                .map(h -> h.rack)
                .distinct()
                .forEach(r -> downgrade(r.uplink, r.plays(), () -> uplinkUse(r, now), now));
        fleet.hostsWithPlays.values().forEach(h -> upgrade(h, now));
        if (now >= nextMoveCheckAt) {
            nextMoveCheckAt = now + MOVE_CHECK_INTERVAL_MS;
            moveFromShortHosts(now);
        }
        if (now >= watchRetryAt) {
            watchRetryAt = Double.POSITIVE_INFINITY;
            actions.watchHostList();
        }
    }

    /** In-house practice: a host is judged by a high quantile of its answer times against that of its peers. */
    private void ejectSlowHosts(double now) {
        double slowMs = Math.max(MIN_SLOW_MS, SLOW_PEER_FACTOR * peerAnswerTimeMs);
        for (Host host : fleet.hostsWithPlays.values()) {
            double maxMs = host.quantile(ANSWER_TIME_QUANTILE);
            for (Play p : host.plays) { // a pending leg counts before it times out
                maxMs = p.legPending && !p.playing ? Math.max(maxMs, now - Math.max(p.legSentAt, stallEnd)) : maxMs;
            }
            if (!host.outlier && host.ready() && maxMs > slowMs) {
                eject(host, false, "slow, " + maxMs + " ms against " + peerAnswerTimeMs, now);
                host.clearAnswerTimes();
                peerAnswerTimeMs = fleet.medianQuantile(ANSWER_TIME_QUANTILE, MIN_COMPARED_HOSTS);
            }
        }
    }

    /** Downgrades playing plays under overload, least weight per kB first, by our part of the excess. */
    private void downgrade(LoadEstimate estimate, Collection<Play> playing, DoubleSupplier useEstimate, double now) {
        double use = estimate.reportedAt > estimate.downgradedAt ? useEstimate.getAsDouble() : 0;
        if (use <= MIN_DOWNGRADE_USE) {
            return;
        }
        estimate.downgradedAt = now;
        double excessKb = estimate.ownKb * (use - DOWNGRADE_TARGET_USE) / use;
        Map<Play, Integer> rungs = new LinkedHashMap<>();
        playing.stream().filter(p -> p.canChangeRung(now - MIN_RUNG_GAP_MS)).forEach(p -> rungs.put(p, p.rung));
        while (excessKb > 0) {
            Play play = rungs.keySet().stream()
                    .filter(q -> rungs.get(q) > q.request.trafficClass().minRung())
                    .min(Comparator.comparing(q -> q.weightPerKb(ladder, rungs.get(q))))
                    .orElse(null);
            double savedKb =
                    play == null ? 0 : play.rateKb(ladder, rungs.get(play)) - play.rateKb(ladder, rungs.get(play) - 1);
            if (play == null
                    || !takesUnit(
                            excessKb
                                    * (1 + (DOWNGRADE_TARGET_USE - maxUse(play, rungs.get(play))) / (2 * USE_PER_RUNG)),
                            savedKb)) {
                break; // a single play is the likelier downgraded the further its rung is above its use limit
            }
            excessKb -= savedKb;
            rungs.merge(play, -1, Integer::sum);
        }
        rungs.forEach((play, rung) -> changeRung(play, rung, now));
    }

    /** Whether to take a unit to cover a part of it: at random, with the part as odds, and at least one among all
     *  gateways, so that their sum is right. Guards against hundreds of gateways that each take at least one unit, or
     *  none; it does harm where the draws come out badly. */
    private boolean takesUnit(double part, double unit) {
        return part >= unit || random.next() < Math.max(part / unit, 1.0 / self.gatewayCount());
    }

    /** Upgrades playing plays where there is headroom, most weight per kB first, by our part of the headroom. */
    private void upgrade(Host host, double now) {
        if (now - host.upgradedAt < MIN_UPGRADE_GAP_MS || now - host.lastShortageAt < MIN_RUNG_GAP_MS || host.outlier) {
            return;
        }
        List<Play> upgradable = host.plays.stream()
                .filter(p -> p.rung < ladder.highestRung(p.request)
                        && p.weightFactor == 1
                        && p.canChangeRung(now - MIN_RUNG_GAP_MS))
                .sorted(Comparator.comparing(p -> -p.weightPerKb(ladder, p.rung + 1)))
                .toList();
        if (upgradable.isEmpty() || host.probePending || probeIfStale(host, now)) {
            return;
        }
        host.upgradedAt = now;
        double linkKb = capacityKb(host, now), use = linkUse(host, now), uplink = uplinkUse(host.rack, now), sumKb = 0;
        // Only our part of the headroom, as the peers see the same headroom.
        double part = UPGRADE_RATIO * Math.max(1.0 / self.gatewayCount(), host.plays.size() / activeStreams(host, now));
        for (Play play : upgradable) {
            for (int to = ladder.highestRung(play.request), from = play.rung; to > from && play.rung == from; to--) {
                double addedKb = play.rateKb(ladder, to) - play.rateKb(ladder, from);
                double maxUse = Math.min(MAX_UPGRADE_USE, maxUse(play, to) - UPGRADE_USE_MARGIN * uncertainty());
                double headroomKb = Math.min(
                        (maxUse - use) * linkKb, (maxUse + UPLINK_USE_ALLOWANCE - uplink) * host.rack.uplinkKb);
                if (sumKb + addedKb <= headroomKb && takesUnit(headroomKb * part - sumKb, addedKb)) {
                    sumKb += addedKb;
                    changeRung(play, to, now);
                }
            }
        }
    }

    /** Use up to which a play may have a rung: the limit of its top rung, and a step more for each rung below. */
    private double maxUse(Play play, int rung) {
        return MAX_TOP_RUNG_USE + USE_PER_RUNG * (ladder.highestRung(play.request) - rung);
    }

    private void changeRung(Play play, int rung, double now) {
        if (rung != play.rung) {
            addLoad(play, play.rateKb(ladder, rung) - play.rateKb(ladder, play.rung), now);
            play.rung = play.announcedRung = rung;
            play.rungChangedAt = now;
            actions.setRung(play.request.play(), rung);
        }
    }

    /** The design's move check: moves plays off hosts that deliver short, where that saves more than it costs. */
    private void moveFromShortHosts(double now) {
        double movesLeft = MAX_MOVED_RATIO * plays.size();
        for (Host host : fleet.hostsWithPlays.values()) {
            double lostShare = Math.min(1, ladder.stallPenalty() * (MIN_FULL_SHARE - host.deliveredShare));
            if (now - host.deliveredShareAt > SAME_SHORTAGE_MS + reporting.reportDelayMs() || lostShare <= 0) {
                continue;
            }
            for (Play play : host.plays) {
                double remainingMs = play.request.expectedDurationMs() > 0
                        ? play.startedAt + play.request.expectedDurationMs() - now
                        : averageMs / 2;
                double benefit = lostShare
                        * play.request.trafficClass().weight()
                        * ladder.weights().get(play.rung)
                        * Math.min(MOVE_CHECK_INTERVAL_MS, Math.max(0, remainingMs));
                if (movesLeft > 0
                        && play.playing
                        && (!play.request.moved() || now - play.admittedAt > MIN_MOVE_GAP_MS)
                        && benefit > MIN_MOVE_BENEFIT * moveCosts.moveCost() * averageWeight * averageMs) {
                    Host target = bestHolder(play, now, host);
                    double needed = score(host, now) + play.rateKb(ladder, play.rung) / meanRateKb;
                    if (target != null && !target.outlier && score(target, now) > needed && takesUnit(movesLeft--, 1)) {
                        actions.movePlay(play.request.play());
                        actions.log("moved a play off " + host.id.value() + ": share " + host.deliveredShare);
                    }
                }
            }
        }
    }
}
