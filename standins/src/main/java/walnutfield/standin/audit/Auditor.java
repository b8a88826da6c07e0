package walnutfield.standin.audit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import walnutfield.play.HostDescriptor;
import walnutfield.play.TrafficClass;

/**
 * Records what the stand-ins observe on their sockets and checks it against the six rules: rule 4 over all gateways
 * together, the others for each gateway. It keeps every leg of a run in memory, so it is meant for rehearsals and not
 * for production. Thread-safe.
 */
public final class Auditor {
    /** How a leg ended at its host. The constants' names are printed in breaches. */
    public enum LegOutcome {
        /** Not finished yet. */
        OPEN,
        SERVED,
        TURNED_AWAY,
        FAILED,
        /** Closed by the gateway. */
        CLOSED,
        /** The host failed while it held the leg. */
        LOST
    }

    /** A session set-up that reached a host. */
    private static final class Leg {
        String gateway;
        String play;
        int legNumber;
        String host;
        String trafficClass;
        long title;
        int rung;
        double startedAt;
        double arrivedAt; // time at the host's socket; a paused host processes it later
        double networkDelayMs; // network delay allowed for its datagrams in addition to the observation slack
        double closedAt = Double.POSITIVE_INFINITY;
        double sessionEndedAt = Double.POSITIVE_INFINITY; // end of the session that the leg set up
        double sessionLostAt = Double.NEGATIVE_INFINITY;
        LegOutcome outcome = LegOutcome.OPEN;
    }

    /** A viewer's request for a play. */
    private static final class ViewerRequest {
        String gateway;
        TrafficClass trafficClass;
        double sentAt;
        double answeredAt = Double.NaN;
        int answerCount;
        int status;
        String play;
        boolean viewerLeft; // the viewer closed the request before it was answered
    }

    /** An update about a host that a gateway received from the list service. */
    private record HostUpdate(double sentAt, HostDescriptor.LifecycleState state, double hostStartedAt) {}

    /** A time interval, from start to end. */
    private record Interval(double from, double to) {}

    /** A host that was overloaded during slow start and failed. */
    private record HostOverload(String host, double hostStartedAt, double failedAt) {}

    // A stall of the process extends the slack for observations within this time of its start.
    private static final double STALL_WINDOW_MS = 1000;
    // A gateway that saw a host fail within this time before the host's start must expect it to be cold.
    private static final double FAILURE_LOOKBACK_MS = 10_000;
    private final Rules rules;
    private final List<Leg> legs = new ArrayList<>();
    private final Map<String, Leg> currentLegs = new HashMap<>();
    private final Map<Long, ViewerRequest> requests = new LinkedHashMap<>();
    private final Map<String, Map<String, List<HostUpdate>>> hostUpdates = new TreeMap<>(); // by gateway, then host
    private final Map<String, List<Interval>> gatewayLifetimes = new TreeMap<>(); // by gateway
    private final Map<String, List<Interval>> gatewayStalls = new TreeMap<>(); // by gateway
    private final Map<String, Integer> hostSlots = new HashMap<>();
    private final Map<String, List<Double>> coldStarts = new TreeMap<>(); // by host
    private final List<String> rungBreaches = new ArrayList<>(); // changes to a rung under the floor
    private final List<Interval> processStalls = new ArrayList<>(); // from: start time, to: duration in ms
    private double longestStallMs;
    private final List<HostOverload> hostOverloads = new ArrayList<>();
    private long rungChanges;

    public Auditor(Rules rules) {
        this.rules = rules;
    }

    /**
     * Records a stall of the whole process, detected by a watchdog in it. Observations of two sockets around that time
     * may be further apart by its length. The checks allow for it, so that a machine short of CPU breaks no rule, and
     * the longest stall is reported.
     */
    public synchronized void processStalled(double endedAt, double durationMs) {
        processStalls.add(new Interval(endedAt - durationMs, durationMs));
        longestStallMs = Math.max(longestStallMs, durationMs);
    }

    /** The longest stall of the process, in ms. */
    public synchronized double longestStallMs() {
        return longestStallMs;
    }

    /** The time that may lie between the observations of one event at two sockets around the given time. */
    private double slackMs(double at) {
        double allowedMs = rules.observationSlackMs();
        for (Interval stall : processStalls) {
            allowedMs = Math.abs(stall.from() - at) < STALL_WINDOW_MS
                    ? Math.max(allowedMs, rules.observationSlackMs() + stall.to())
                    : allowedMs;
        }
        return allowedMs;
    }

    // ---- Observations

    public synchronized void hostAdded(String host, int maxStreams) {
        hostSlots.put(host, maxStreams);
    }

    /** A host started and is in slow start. */
    public synchronized void hostStarted(String host, double at) {
        coldStarts.computeIfAbsent(host, k -> new ArrayList<>()).add(at);
    }

    /** A host that started at {@code startedAt} failed because too many set-ups were sent to it during slow start. */
    public synchronized void hostOverloaded(String host, double startedAt, double failedAt) {
        hostOverloads.add(new HostOverload(host, startedAt, failedAt));
    }

    public synchronized void gatewayStarted(String gateway, double at) {
        gatewayLifetimes
                .computeIfAbsent(gateway, k -> new ArrayList<>())
                .add(new Interval(at, Double.POSITIVE_INFINITY));
    }

    /** A gateway was killed or has been drained. */
    public synchronized void gatewayStopped(String gateway, double at) {
        List<Interval> lifetimes = gatewayLifetimes.get(gateway);
        if (lifetimes != null && !lifetimes.isEmpty()) {
            lifetimes.set(
                    lifetimes.size() - 1,
                    new Interval(lifetimes.get(lifetimes.size() - 1).from(), at));
        }
    }

    /** A gateway is stalled: requests that it held before and that were due meanwhile could not be answered. */
    public synchronized void gatewayStalled(String gateway, double from, double to) {
        gatewayStalls.computeIfAbsent(gateway, k -> new ArrayList<>()).add(new Interval(from, to));
    }

    /** The list service sent a gateway the state of a host. */
    public synchronized void hostUpdateSent(
            String gateway, String host, HostDescriptor.LifecycleState state, double hostStartedAt, double sentAt) {
        hostUpdates
                .computeIfAbsent(gateway, k -> new TreeMap<>())
                .computeIfAbsent(host, k -> new ArrayList<>())
                .add(new HostUpdate(sentAt, state, hostStartedAt));
    }

    /**
     * A session set-up reached a host.
     *
     * @param play the play's id, as the gateway gives it to its hosts
     */
    public void legArrived(
            String gateway,
            String play,
            int legNumber,
            String host,
            String trafficClass,
            long title,
            int rung,
            double at) {
        legArrived(gateway, play, legNumber, host, trafficClass, title, rung, at, at, 0);
    }

    /**
     * A session set-up reached a host over datagrams.
     *
     * @param arrivedAt      when it arrived at the host's socket
     * @param startedAt      when the host began to process it; its sender cannot cancel it before (RFC 3261, section
     *                       9.1)
     * @param networkDelayMs how much later than that the network may deliver the cancellation
     */
    public synchronized void legArrived(
            String gateway,
            String play,
            int legNumber,
            String host,
            String trafficClass,
            long title,
            int rung,
            double arrivedAt,
            double startedAt,
            double networkDelayMs) {
        Leg leg = new Leg();
        leg.arrivedAt = arrivedAt;
        leg.networkDelayMs = networkDelayMs;
        leg.gateway = gateway;
        leg.play = play;
        leg.legNumber = legNumber;
        leg.host = host;
        leg.trafficClass = trafficClass;
        leg.title = title;
        leg.rung = rung;
        leg.startedAt = startedAt;
        legs.add(leg);
        currentLegs.put(play + " " + host, leg);
    }

    public synchronized void legEnded(String play, String host, LegOutcome outcome, double at) {
        Leg leg = currentLegs.get(play + " " + host);
        if (leg != null && leg.outcome == LegOutcome.OPEN) {
            leg.outcome = outcome;
            leg.closedAt = at;
        }
    }

    /** A session was lost because its host failed; its gateway notices that. */
    public synchronized void sessionLost(String play, String host, double at) {
        Leg leg = currentLegs.get(play + " " + host);
        if (leg != null) {
            leg.sessionLostAt = at;
        }
        sessionEnded(play, host, at);
    }

    public synchronized void sessionEnded(String play, String host, double at) {
        Leg leg = currentLegs.remove(play + " " + host);
        if (leg != null) {
            leg.sessionEndedAt = Math.min(leg.sessionEndedAt, at);
            if (leg.outcome == LegOutcome.OPEN) {
                leg.outcome = LegOutcome.LOST;
                leg.closedAt = at;
            }
        }
    }

    public synchronized void rungChanged(String play, String host, String trafficClassName, int rung, double at) {
        rungChanges++;
        TrafficClass trafficClass = rules.trafficClasses().get(trafficClassName);
        if (trafficClass != null && rung < trafficClass.minRung()) {
            rungBreaches.add(
                    play + " on " + host + " changed to rung " + rung + ", its floor is " + trafficClass.minRung());
        }
    }

    public synchronized void requestSent(long requestId, String gateway, String trafficClassName, double sentAt) {
        ViewerRequest request = new ViewerRequest();
        request.gateway = gateway;
        request.trafficClass = rules.trafficClasses().get(trafficClassName);
        request.sentAt = sentAt;
        requests.put(requestId, request);
    }

    public synchronized void requestAnswered(long requestId, int status, String play, double at) {
        ViewerRequest request = requests.get(requestId);
        if (request != null) {
            request.answerCount++;
            request.status = status;
            request.play = play;
            request.answeredAt = Double.isNaN(request.answeredAt) ? at : request.answeredAt;
        }
    }

    /** The connection ended without an answer, or the viewer's deadline passed first. */
    public synchronized void requestUnanswered(long requestId, double at) {
        ViewerRequest request = requests.get(requestId);
        if (request != null && request.answerCount == 0) {
            request.answeredAt = at;
        }
    }

    public synchronized void viewerLeft(long requestId) {
        ViewerRequest request = requests.get(requestId);
        if (request != null) {
            request.viewerLeft = true;
        }
    }

    // ---- Results

    /** Number of requests by result: "served", "shed", "errored", "left" (the viewer gave up), "unanswered". */
    public synchronized Map<String, Long> requestCounts() {
        Map<String, Long> counts = new LinkedHashMap<>(Map.of("served", 0L));
        for (String result : List.of("shed", "errored", "left", "unanswered")) {
            counts.put(result, 0L);
        }
        for (ViewerRequest request : requests.values()) {
            String result = request.viewerLeft && request.status != 200 && request.status != 503
                    ? "left"
                    : request.answerCount > 0
                            ? request.status == 200 ? "served" : request.status == 503 ? "shed" : "errored"
                            : request.viewerLeft ? "left" : "unanswered";
            counts.merge(result, 1L, Long::sum);
        }
        return counts;
    }

    /** How long each viewer that was served waited for its answer, in ms. */
    public synchronized List<Double> servedWaitsMs() {
        return requests.values().stream()
                .filter(request -> request.answerCount > 0 && request.status == 200)
                .map(request -> request.answeredAt - request.sentAt)
                .toList();
    }

    public synchronized int legCount() {
        return legs.size();
    }

    /** One verdict for each of the six rules, in their order, for a run that ended at the given time. */
    public synchronized List<Verdict> verdicts(double end) {
        return List.of(
                checkAnsweredOnce(end),
                checkSetUpOnce(),
                checkDrains(),
                checkColdHosts(),
                checkFloorsAndSeats(),
                checkRetryBudget());
    }

    private static String ms(double millis) {
        return String.format(Locale.ROOT, "%.0f ms", millis);
    }

    /** Whether no single lifetime of the gateway covers the whole interval. */
    private boolean wasDownDuring(String gateway, double from, double to) {
        return gatewayLifetimes.getOrDefault(gateway, List.of()).stream()
                .noneMatch(lifetime -> lifetime.from() <= from && lifetime.to() >= to);
    }

    /** Rule 1: each request gets exactly one answer before its deadline. */
    private Verdict checkAnsweredOnce(double end) {
        List<String> breaches = new ArrayList<>();
        long checked = 0;
        for (Map.Entry<Long, ViewerRequest> entry : requests.entrySet()) {
            ViewerRequest request = entry.getValue();
            double deadline = request.sentAt + request.trafficClass.deadlineMs();
            double settledAt = Double.isNaN(request.answeredAt) ? Math.min(deadline, end) : request.answeredAt;
            boolean stalled = gatewayStalls.getOrDefault(request.gateway, List.of()).stream()
                    .anyMatch(stall -> request.sentAt <= stall.from() + rules.observationSlackMs()
                            && deadline <= stall.to() + rules.observationSlackMs()
                            && deadline >= stall.from());
            if (stalled
                    || request.viewerLeft
                    || wasDownDuring(
                            request.gateway,
                            request.sentAt - rules.observationSlackMs(),
                            settledAt + rules.observationSlackMs())) {
                continue; // requests that a stopped gateway held are not checked
            }
            checked++;
            if (request.answerCount > 1) {
                breaches.add("request " + entry.getKey() + " to " + request.gateway + " was answered "
                        + request.answerCount + " times");
            } else if (request.answerCount == 0 && deadline < end) {
                breaches.add("request " + entry.getKey() + " to " + request.gateway + " was not answered in "
                        + ms(request.trafficClass.deadlineMs()));
            } else if (request.answerCount == 1 && request.answeredAt > deadline + slackMs(deadline)) {
                breaches.add("request " + entry.getKey() + " to " + request.gateway + " was answered "
                        + ms(request.answeredAt - deadline) + " after its hard stop");
            }
        }
        return new Verdict("1 one answer in time", checked, breaches);
    }

    /** Rule 2: a play has one leg open at a time, and a paid play that may have run is never set up again or shed. */
    private Verdict checkSetUpOnce() {
        List<String> breaches = new ArrayList<>();
        Map<String, List<Leg>> byPlay = new LinkedHashMap<>();
        legs.forEach(l -> byPlay.computeIfAbsent(l.gateway + " " + l.play, k -> new ArrayList<>())
                .add(l));
        byPlay.forEach((play, playLegs) -> {
            playLegs.sort(Comparator.comparingDouble(l -> l.startedAt));
            boolean paid =
                    rules.trafficClasses().get(playLegs.get(0).trafficClass).paid();
            for (int i = 1; i < playLegs.size(); i++) {
                Leg previous = playLegs.get(i - 1);
                Leg next = playLegs.get(i);
                if (previous.closedAt > next.startedAt + slackMs(next.startedAt) + previous.networkDelayMs) {
                    breaches.add(play + " had two legs out, on " + previous.host + " and " + next.host);
                }
                if (paid && previous.outcome != LegOutcome.TURNED_AWAY) {
                    breaches.add("paid " + play + " was set up again on " + next.host + " after its leg on "
                            + previous.host + " was " + previous.outcome);
                }
            }
        });
        for (ViewerRequest request : requests.values()) {
            List<Leg> playLegs = request.play == null ? null : byPlay.get(request.gateway + " " + request.play);
            if (request.status == 503
                    && request.trafficClass.paid()
                    && playLegs != null
                    && playLegs.stream().anyMatch(l -> l.outcome != LegOutcome.TURNED_AWAY)) {
                breaches.add("paid " + request.play + " was shed although a leg of it may have run");
            }
        }
        return new Verdict("2 nothing paid twice, one leg out", byPlay.size(), breaches);
    }

    /** Rule 3: no set-up goes to a host that the gateway knows to be draining or gone, after the grace period. */
    private Verdict checkDrains() {
        List<String> breaches = new ArrayList<>();
        for (Leg leg : legs) {
            double unavailableSince = Double.NaN;
            for (HostUpdate update :
                    hostUpdates.getOrDefault(leg.gateway, Map.of()).getOrDefault(leg.host, List.of())) {
                if (update.sentAt() > leg.arrivedAt) {
                    break;
                }
                boolean unavailable = update.state() != HostDescriptor.LifecycleState.READY;
                unavailableSince =
                        !unavailable ? Double.NaN : Double.isNaN(unavailableSince) ? update.sentAt() : unavailableSince;
            }
            for (Interval lifetime :
                    gatewayLifetimes.getOrDefault(leg.gateway, List.of())) { // a restarted gateway receives a new list
                if (lifetime.from() > unavailableSince && lifetime.from() <= leg.arrivedAt) {
                    unavailableSince = Double.NaN;
                }
            }
            if (leg.arrivedAt > unavailableSince + rules.drainGraceMs() + slackMs(leg.arrivedAt)) {
                breaches.add(leg.gateway + " sent " + leg.play + " to " + leg.host + " "
                        + ms(leg.arrivedAt - unavailableSince) + " after being told that it drains or is gone");
            }
        }
        return new Verdict("3 drains kept", legs.size(), breaches);
    }

    /**
     * Rule 4: no host is overloaded during slow start. Too many set-ups in a window are a breach if most of them came
     * from gateways that knew of the host's start; other windows prove nothing.
     */
    private Verdict checkColdHosts() {
        List<String> breaches = new ArrayList<>();
        long checked = 0;
        double windowMs = rules.slowStart().overloadMs();
        for (Map.Entry<String, List<Double>> hostStarts : coldStarts.entrySet()) {
            for (double start : hostStarts.getValue()) {
                List<Leg> coldLegs = legs.stream()
                        .filter(l -> l.host.equals(hostStarts.getKey())
                                && l.startedAt >= start
                                && l.startedAt < start + rules.slowStart().warmMs())
                        .sorted(Comparator.comparingDouble(l -> l.startedAt))
                        .toList();
                checked += coldLegs.size();
                for (int i = 0; i < coldLegs.size(); i++) {
                    double windowStart = coldLegs.get(i).startedAt;
                    List<Leg> window = coldLegs.subList(i, coldLegs.size()).stream()
                            .filter(l -> l.startedAt <= windowStart + windowMs)
                            .toList();
                    double maxSetUps = Rules.maxColdSetUps(
                            rules.slowStart(),
                            hostSlots.getOrDefault(hostStarts.getKey(), 1),
                            start,
                            windowStart + windowMs);
                    long informed =
                            window.stream().filter(l -> knewOfStart(l, start)).count();
                    if (window.size() > maxSetUps && 2 * informed > window.size()) {
                        breaches.add(hostStarts.getKey() + " was sent " + window.size() + " set-ups in " + ms(windowMs)
                                + " when cold, " + informed + " by gateways that knew, "
                                + String.format(Locale.ROOT, "%.1f", maxSetUps) + " at most");
                        break;
                    }
                }
            }
        }
        for (HostOverload overload : hostOverloads) {
            List<Leg> window = legs.stream()
                    .filter(l -> l.host.equals(overload.host())
                            && l.startedAt >= overload.hostStartedAt()
                            && l.startedAt > overload.failedAt() - windowMs
                            && l.startedAt <= overload.failedAt())
                    .toList();
            if (2
                            * window.stream()
                                    .filter(l -> knewOfStart(l, overload.hostStartedAt()))
                                    .count()
                    > window.size()) {
                breaches.add(overload.host() + " fell over under " + window.size() + " set-ups in " + ms(windowMs));
            }
        }
        return new Verdict("4 no cold host pushed over", checked, breaches);
    }

    /**
     * Whether a leg's gateway had received an update with the host's start, had seen the host fail recently, or had
     * itself started after the host.
     */
    private boolean knewOfStart(Leg leg, double start) {
        boolean informedByList =
                hostUpdates.getOrDefault(leg.gateway, Map.of()).getOrDefault(leg.host, List.of()).stream()
                        .anyMatch(t ->
                                t.sentAt() <= leg.startedAt && t.hostStartedAt() >= start - rules.observationSlackMs());
        boolean startedLater = gatewayLifetimes.getOrDefault(leg.gateway, List.of()).stream()
                .anyMatch(l -> l.from() >= start && l.from() <= leg.startedAt);
        return informedByList
                || startedLater
                || legs.stream()
                        .anyMatch(l -> l.host.equals(leg.host)
                                && l.gateway.equals(leg.gateway)
                                && (isRecentFailure(l.sessionLostAt, leg, start)
                                        || (l.outcome == LegOutcome.LOST || l.outcome == LegOutcome.CLOSED)
                                                && isRecentFailure(l.closedAt, leg, start)));
    }

    private static boolean isRecentFailure(double failedAt, Leg leg, double hostStart) {
        return failedAt <= leg.startedAt && failedAt > hostStart - FAILURE_LOOKBACK_MS;
    }

    /** Rule 5: each play's rung is at least its class's floor, and gateways respect the seats per title and class. */
    private Verdict checkFloorsAndSeats() {
        List<String> breaches = new ArrayList<>(rungBreaches);
        Map<String, List<Leg>> seatedLegs = new LinkedHashMap<>();
        for (Leg leg : legs) {
            TrafficClass trafficClass = rules.trafficClasses().get(leg.trafficClass);
            if (leg.rung < trafficClass.minRung()) {
                breaches.add(leg.play + " was set up at rung " + leg.rung + ", its floor is " + trafficClass.minRung());
            }
            if (trafficClass.seats() > 0) {
                seatedLegs
                        .computeIfAbsent(leg.gateway + " " + leg.title + " " + leg.trafficClass, k -> new ArrayList<>())
                        .add(leg);
            }
        }
        seatedLegs.forEach((seatGroup, groupLegs) -> {
            int maxSeats =
                    rules.trafficClasses().get(groupLegs.get(0).trafficClass).seats();
            // A seat is taken while the leg is open or plays. The end may be observed here a little late.
            for (Leg leg : groupLegs) {
                long held = groupLegs.stream()
                        .filter(other -> other.startedAt <= leg.startedAt
                                && seatHeldUntil(other) > leg.startedAt + slackMs(leg.startedAt) + other.networkDelayMs)
                        .count();
                if (held > maxSeats) {
                    breaches.add(seatGroup + ": " + held + " plays held, " + maxSeats + " seats");
                }
            }
        });
        return new Verdict("5 floors and seats kept", legs.size() + rungChanges, breaches);
    }

    /** When a leg gave its seat back: its end, or the end of its gateway if that is earlier. */
    private double seatHeldUntil(Leg leg) {
        double gatewayStoppedAt = gatewayLifetimes.getOrDefault(leg.gateway, List.of()).stream()
                .filter(lifetime -> lifetime.from() <= leg.startedAt && lifetime.to() >= leg.startedAt)
                .mapToDouble(Interval::to)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
        return Math.min(gatewayStoppedAt, leg.outcome == LegOutcome.SERVED ? leg.sessionEndedAt : leg.closedAt);
    }

    /**
     * The gateway incarnation that a play belongs to. Play ids consist of the incarnation and a number; a restarted
     * gateway has a new incarnation and with it a new retry budget.
     */
    private static String incarnation(String play) {
        int dash = play.lastIndexOf('-');
        return dash < 0 ? play : play.substring(0, dash);
    }

    /** Rule 6: the retries of each gateway incarnation stay within the retry budget in every sliding window. */
    private Verdict checkRetryBudget() {
        List<String> breaches = new ArrayList<>();
        if (rules.retryPolicy().retryRatio() < 0) {
            return new Verdict("6 further legs within budget", 0, breaches);
        }
        Map<String, List<Double>> admissions = new TreeMap<>();
        Map<String, List<Double>> retries = new TreeMap<>();
        Map<String, Double> firstSeen = new HashMap<>();
        for (ViewerRequest request : requests.values()) {
            if (request.play != null) {
                firstSeen.merge(request.play, request.sentAt, Math::min);
            }
        }
        for (Leg leg : legs) {
            firstSeen.merge(leg.play, leg.startedAt, Math::min);
            if (leg.legNumber > 0) {
                retries.computeIfAbsent(incarnation(leg.play), k -> new ArrayList<>())
                        .add(leg.arrivedAt);
            }
        }
        firstSeen.forEach((play, seenAt) -> admissions
                .computeIfAbsent(incarnation(play), k -> new ArrayList<>())
                .add(seenAt));
        Set<String> reported = new HashSet<>();
        retries.forEach((incarnation, times) -> {
            times.sort(null);
            for (double windowEnd : times) {
                double windowStart = windowEnd - rules.retryPolicy().windowMs();
                long retriesInWindow = times.stream()
                        .filter(time -> time > windowStart && time <= windowEnd)
                        .count();
                long admissionsInWindow = admissions.getOrDefault(incarnation, List.of()).stream()
                        .filter(time -> time > windowStart - rules.observationSlackMs()
                                && time <= windowEnd + rules.observationSlackMs())
                        .count();
                double maxRetries =
                        rules.retryPolicy().baseRetries() + rules.retryPolicy().retryRatio() * admissionsInWindow;
                if (retriesInWindow > maxRetries && reported.add(incarnation + Math.floor(windowEnd / 1000))) {
                    breaches.add(incarnation + " sent " + retriesInWindow + " further legs in "
                            + ms(rules.retryPolicy().windowMs()) + ", " + String.format(Locale.ROOT, "%.1f", maxRetries)
                            + " allowed");
                }
            }
        });
        return new Verdict(
                "6 further legs within budget",
                retries.values().stream().mapToLong(List::size).sum(),
                breaches);
    }
}
