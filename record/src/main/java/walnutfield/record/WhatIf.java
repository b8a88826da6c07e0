package walnutfield.record;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Result;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;

/**
 * Projects what a record's play requests would have come to without one of the hosts or under other settings.
 * Requests, host lists and load reports come as recorded. A leg on the host that it was recorded on ends as recorded.
 * A leg on another host is served in that host's median time, or fails if other legs on that host failed at about
 * that time. Plays last as long as recorded. A probe reports what the recorded probe nearest in time reported, since
 * it is not known what hosts would have reported under other loads.
 */
public final class WhatIf implements GatewayActions {
    private static final double MAX_TIME_DIFFERENCE_MS = 1000; // outcomes recorded further away in time are ignored
    private static final double PROBE_DURATION_MS = 2; // assumed duration of a projected probe

    /**
     * Totals of a record or of its projection.
     *
     * @param plays    plays requested; a moved play counts once
     * @param started  plays that started; a moved play counts again on its new host
     * @param shed     plays that were shed
     * @param failed   plays that failed
     * @param legs     legs set up
     * @param meanRung mean rung of the started plays, as set up
     * @param byHost   started plays on each host
     */
    public record Totals(
            long plays, long started, long shed, long failed, long legs, double meanRung, Map<String, Long> byHost) {}

    /** The totals as recorded and as projected. */
    public record Comparison(Totals recorded, Totals projected) {}

    /** What was recorded of a host at one time: a leg that was served, a leg that was not, or an answered probe. */
    private record Observation(double atMs, Outcome outcome, double elapsedMs, LoadReport load) {}

    /**
     * A call to be made to the projected desk; calls of the same time are made in the order in which they were added.
     */
    private record Event(double atMs, long order, Call call) {}

    /** Counts calls and results into totals. */
    private static final class TotalsCounter {
        private long plays;
        private long started;
        private long shed;
        private long errored;
        private long legs;
        private double rungSum;
        private final Map<String, Long> byHost = new TreeMap<>();
        private final Map<PlayId, Integer> startRungs = new HashMap<>(); // until plays start or fail

        void called(Call call) {
            if (call instanceof Call.PlayRequested requested) {
                plays += requested.request().moved() ? 0 : 1; // a moved play has been counted before
                startRungs.put(
                        requested.request().play(),
                        requested.request().trafficClass().minRung());
            } else if (call instanceof Call.LegStarted legStarted) {
                started++;
                byHost.merge(legStarted.host().value(), 1L, Long::sum);
                Integer rung = startRungs.remove(legStarted.play());
                rungSum += rung == null ? 0 : rung;
            }
        }

        void resulted(Result result) {
            if (result instanceof Result.SetUpLeg) {
                legs++;
            } else if (result instanceof Result.SetRung setRung) {
                startRungs.computeIfPresent(setRung.play(), (play, previous) -> setRung.rung());
            } else if (result instanceof Result.ShedPlay shedPlay) {
                shed++;
                startRungs.remove(shedPlay.play());
            } else if (result instanceof Result.FailPlay failPlay) {
                errored++;
                startRungs.remove(failPlay.play());
            }
        }

        Totals totals() {
            return new Totals(plays, started, shed, errored, legs, started == 0 ? 0 : rungSum / started, byHost);
        }
    }

    private final Map<String, List<Observation>> legObservations = new HashMap<>(); // by host, in order of time
    private final Map<String, List<Observation>> probeObservations = new HashMap<>(); // answered probes by host
    private final Map<String, Observation> legOutcomes = new HashMap<>(); // the first leg of each play on each host
    private final Map<PlayId, Double> playDurations = new HashMap<>(); // ms from a play's start to its end
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::atMs).thenComparingLong(Event::order));
    private final Map<PlayId, PlayRequest> openPlays = new LinkedHashMap<>(); // entries removed as plays end
    private final Map<PlayId, Integer> legCounts = new HashMap<>(); // number of legs set up for each open play
    private final Map<PlayId, HostId> currentHosts = new HashMap<>(); // host of the latest leg of each open play
    private final String removedHost; // null for none
    private final TotalsCounter projectedTotals = new TotalsCounter();
    private long order;
    private double now;
    private Desk desk;

    private WhatIf(String removedHost) {
        this.removedHost = removedHost;
    }

    /**
     * @param removedHost   a host that is left out; null for none
     * @param setupOverride gives the settings of the projected desk from the recorded ones; the identity for these
     */
    public static Comparison run(Path file, String removedHost, UnaryOperator<DeskSetup> setupOverride)
            throws IOException {
        WhatIf projection = new WhatIf(removedHost);
        TotalsCounter recordedTotals = new TotalsCounter();
        Map<PlayId, Double> startTimes = new HashMap<>();
        Replay.Report[] report = new Replay.Report[1];
        report[0] = Replay.run(file, UnaryOperator.identity(), null, (timeMs, call, results, same) -> {
            recordedTotals.called(call);
            results.forEach(recordedTotals::resulted);
            projection.collect(timeMs, call, startTimes);
        });
        if (report[0].setup() == null) {
            throw new CorruptRecordException(0, report[0].damage());
        }
        projection.project(setupOverride.apply(report[0].setup()));
        return new Comparison(recordedTotals.totals(), projection.projectedTotals.totals());
    }

    /** Collects what the projection needs from one recorded call. */
    private void collect(double timeMs, Call call, Map<PlayId, Double> startTimes) {
        if (call instanceof Call.LegStarted started) {
            observeLeg(
                    started.play(),
                    started.host(),
                    new Observation(timeMs, Outcome.SERVED, started.elapsedMs(), LoadReport.NONE));
            startTimes.put(started.play(), timeMs);
        } else if (call instanceof Call.LegEnded ended) {
            Double startMs = startTimes.remove(ended.play());
            if (startMs != null) {
                playDurations.put(ended.play(), timeMs - startMs);
            } else {
                observeLeg(
                        ended.play(),
                        ended.host(),
                        new Observation(timeMs, ended.outcome(), ended.elapsedMs(), ended.load()));
            }
        } else if (call instanceof Call.ProbeCompleted probe && probe.outcome() == Outcome.SERVED) {
            probeObservations
                    .computeIfAbsent(probe.host().value(), k -> new ArrayList<>())
                    .add(new Observation(timeMs, Outcome.SERVED, probe.elapsedMs(), probe.load()));
        } else if (call instanceof Call.PersistedHostListLoaded loaded) {
            schedule(timeMs, new Call.PersistedHostListLoaded(withoutRemovedHost(loaded.hosts())));
        } else if (call instanceof Call.HostListReplaced replaced) {
            schedule(timeMs, new Call.HostListReplaced(withoutRemovedHost(replaced.hosts())));
        } else if (call instanceof Call.HostListUpdated updated) {
            schedule(timeMs, new Call.HostListUpdated(withoutRemovedHost(updated.hosts())));
        } else if (call instanceof Call.DeliveredShareReported
                || call instanceof Call.LoadReported
                || call instanceof Call.LearnedStateRestored
                || call instanceof Call.PlayRequested requested
                        && !requested.request().moved()
                || call instanceof Call.PlayInProgress
                || call instanceof Call.HostListUnavailable) {
            schedule(timeMs, call);
        }
    }

    private void observeLeg(PlayId play, HostId host, Observation observation) {
        legObservations.computeIfAbsent(host.value(), k -> new ArrayList<>()).add(observation);
        legOutcomes.putIfAbsent(play.value() + " " + host.value(), observation);
    }

    private List<HostDescriptor> withoutRemovedHost(List<HostDescriptor> hosts) {
        return hosts.stream().filter(h -> !h.host().value().equals(removedHost)).toList();
    }

    private void schedule(double atMs, Call call) {
        events.add(new Event(atMs, order++, call));
    }

    /** Runs the collected calls through a new desk, until 10 s after the last recorded one. */
    private void project(DeskSetup setup) {
        desk = setup.createDesk(this, null);
        double lastRecordedMs = events.stream()
                .filter(event -> !(event.call() instanceof Call.TimerFired))
                .mapToDouble(Event::atMs)
                .max()
                .orElse(0);
        while (!events.isEmpty() && events.peek().atMs() <= lastRecordedMs + 10_000) {
            Event event = events.poll();
            if (!isCurrent(event.call())) {
                continue;
            }
            now = event.atMs();
            projectedTotals.called(event.call());
            if (event.call() instanceof Call.PlayRequested requested) {
                openPlays.put(requested.request().play(), requested.request());
            } else if (event.call() instanceof Call.LegStarted started) {
                double durationMs =
                        playDurations.getOrDefault(started.play(), medianDurationMs(playDurations.values()));
                schedule(
                        now + durationMs,
                        new Call.LegEnded(
                                started.play(),
                                started.leg(),
                                started.host(),
                                Outcome.SERVED,
                                true,
                                durationMs,
                                LoadReport.NONE));
            } else if (event.call() instanceof Call.LegEnded ended && ended.playFinished()) {
                forgetPlay(ended.play());
            }
            desk.handle(now, event.call());
        }
    }

    /**
     * Returns whether a call about a leg still applies. It does not if the leg is no longer the play's latest one,
     * since the play may have been moved or answered in the meantime.
     */
    private boolean isCurrent(Call call) {
        if (call instanceof Call.LegStarted started) {
            return started.host().equals(currentHosts.get(started.play()))
                    && legCounts.getOrDefault(started.play(), 0) == started.leg() + 1;
        }
        if (call instanceof Call.LegEnded ended) {
            return ended.host().equals(currentHosts.get(ended.play()))
                    && legCounts.getOrDefault(ended.play(), 0) == ended.leg() + 1;
        }
        return true;
    }

    private void forgetPlay(PlayId play) {
        openPlays.remove(play);
        legCounts.remove(play);
        currentHosts.remove(play);
    }

    /** The median of the durations, or 30 s if there is none. */
    private static double medianDurationMs(java.util.Collection<Double> durations) {
        double[] sorted = durations.stream().mapToDouble(d -> d).sorted().toArray();
        return sorted.length == 0 ? 30_000 : sorted[sorted.length / 2];
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        int leg = legCounts.merge(play, 1, Integer::sum) - 1;
        currentHosts.put(play, host);
        projectedTotals.resulted(new Result.SetUpLeg(play, host, timeoutMs));
        Observation expected = legOutcomes.getOrDefault(play.value() + " " + host.value(), expectedOutcome(host));
        double elapsedMs = Math.min(expected.elapsedMs(), timeoutMs);
        Outcome outcome = expected.elapsedMs() > timeoutMs ? Outcome.TIMED_OUT : expected.outcome();
        if (outcome == Outcome.SERVED) {
            schedule(now + elapsedMs, new Call.LegStarted(play, leg, host, elapsedMs));
        } else {
            schedule(now + elapsedMs, new Call.LegEnded(play, leg, host, outcome, false, elapsedMs, expected.load()));
        }
    }

    /**
     * Returns the expected outcome of a leg that is set up on this host now: the outcome of the host's leg recorded
     * nearest in time if that failed within {@link #MAX_TIME_DIFFERENCE_MS}; otherwise it is served in the
     * host's median time, or in 20 ms if the host served no leg.
     */
    private Observation expectedOutcome(HostId host) {
        List<Observation> observations = legObservations.getOrDefault(host.value(), List.of());
        Observation nearest = observations.stream()
                .min(Comparator.comparingDouble(s -> Math.abs(s.atMs() - now)))
                .orElse(null);
        if (nearest != null
                && nearest.outcome() != Outcome.SERVED
                && Math.abs(nearest.atMs() - now) < MAX_TIME_DIFFERENCE_MS) {
            return nearest;
        }
        double[] servedMs = observations.stream()
                .filter(s -> s.outcome() == Outcome.SERVED)
                .mapToDouble(Observation::elapsedMs)
                .toArray();
        Arrays.sort(servedMs);
        return new Observation(
                now, Outcome.SERVED, servedMs.length == 0 ? 20 : servedMs[servedMs.length / 2], LoadReport.NONE);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        projectedTotals.resulted(new Result.SetRung(play, rung));
    }

    @Override
    public void movePlay(PlayId play) {
        PlayRequest request = openPlays.get(play);
        HostId from = currentHosts.get(play);
        if (request == null || from == null) {
            return;
        }
        int leg = legCounts.get(play) - 1;
        schedule(now, new Call.LegEnded(play, leg, from, Outcome.CANCELLED, true, 0, LoadReport.NONE));
        PlayId movedPlay = new PlayId(-1 - order); // negative, as recorded ids are above 0
        schedule(
                now,
                new Call.PlayRequested(new PlayRequest(
                        movedPlay,
                        request.viewer(),
                        request.title(),
                        request.tenant(),
                        request.trafficClass(),
                        request.firstCell(),
                        request.holderCount(),
                        request.highestRung(),
                        true,
                        request.expectedDurationMs(),
                        request.trafficClass().deadlineMs())));
    }

    @Override
    public void shedPlay(PlayId play, double retryAfterMs) {
        projectedTotals.resulted(new Result.ShedPlay(play, retryAfterMs));
        forgetPlay(play);
    }

    @Override
    public void failPlay(PlayId play) {
        projectedTotals.resulted(new Result.FailPlay(play));
        forgetPlay(play);
    }

    /**
     * Schedules the probe's completion with the load of the recorded probe nearest in time. The probe succeeds if a
     * leg would be served, or if that recorded probe is within {@link #MAX_TIME_DIFFERENCE_MS}.
     */
    @Override
    public void probeHost(HostId host) {
        Observation expectedLeg = expectedOutcome(host);
        Observation nearestProbe = probeObservations.getOrDefault(host.value(), List.of()).stream()
                .min(Comparator.comparingDouble(s -> Math.abs(s.atMs() - now)))
                .orElse(null);
        boolean succeeds = expectedLeg.outcome() == Outcome.SERVED
                || nearestProbe != null && Math.abs(nearestProbe.atMs() - now) < MAX_TIME_DIFFERENCE_MS;
        schedule(
                now + PROBE_DURATION_MS,
                new Call.ProbeCompleted(
                        host,
                        succeeds ? Outcome.SERVED : expectedLeg.outcome(),
                        PROBE_DURATION_MS,
                        nearestProbe == null ? LoadReport.NONE : nearestProbe.load()));
    }

    @Override
    public void watchHostList() {}

    @Override
    public void setTimer(double timeMs, String timer) {
        schedule(timeMs, new Call.TimerFired(timer));
    }

    @Override
    public void log(String line) {}
}
