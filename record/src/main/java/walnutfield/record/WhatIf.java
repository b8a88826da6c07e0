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
 * The same wishes under another condition: a projection. Wishes, lists and figures come as recorded. A leg on the
 * host that it was recorded on ends as recorded; one elsewhere is served in that host's usual time, or fails with the
 * others' there at that time. Plays last as recorded. Probes tell what those did that were nearest in time: what hosts
 * would have told of other loads is not known.
 */
public final class WhatIf implements GatewayActions {
    private static final double SAME_TIME_MS = 1000; // a leg elsewhere fails if the host's nearest so near did
    private static final double PROBE_MS = 2;

    /**
     * What plays came to.
     *
     * @param started  plays that played
     * @param byHost   of these, on each host
     * @param meanRung of those that played, as set up
     */
    public record Sum(
            long plays, long started, long shed, long errored, long legs, double meanRung, Map<String, Long> byHost) {}

    /** As recorded, and as projected. */
    public record Pair(Sum recorded, Sum projected) {}

    /** Something recorded of a host: a leg that ended or was served. */
    private record Seen(double at, Outcome how, double tookMs, LoadReport load) {}

    private record Event(double at, long order, Call call) {}

    private static final class Tally {
        private long plays;
        private long started;
        private long shed;
        private long errored;
        private long legs;
        private double rungs;
        private final Map<String, Long> byHost = new TreeMap<>();
        private final Map<PlayId, Integer> rung = new HashMap<>(); // emptied as plays start or are answered

        void called(Call c) {
            if (c instanceof Call.PlayRequested w) {
                plays += w.request().moved() ? 0 : 1; // a moved one has been counted
                rung.put(w.request().play(), w.request().trafficClass().minRung());
            } else if (c instanceof Call.LegStarted s) {
                started++;
                byHost.merge(s.host().value(), 1L, Long::sum);
                Integer r = rung.remove(s.play());
                rungs += r == null ? 0 : r;
            }
        }

        void resulted(Result r) {
            if (r instanceof Result.SetUpLeg) {
                legs++;
            } else if (r instanceof Result.SetRung s) {
                rung.computeIfPresent(s.play(), (k, v) -> s.rung());
            } else if (r instanceof Result.ShedPlay s) {
                shed++;
                rung.remove(s.play());
            } else if (r instanceof Result.FailPlay e) {
                errored++;
                rung.remove(e.play());
            }
        }

        Sum sum() {
            return new Sum(plays, started, shed, errored, legs, started == 0 ? 0 : rungs / started, byHost);
        }
    }

    private final Map<String, List<Seen>> seen = new HashMap<>(); // by host, in the order of time
    private final Map<String, List<Seen>> probes = new HashMap<>(); // those answered, by host
    private final Map<String, Seen> legs = new HashMap<>(); // by play and host
    private final Map<PlayId, Double> lasted = new HashMap<>(); // a play's time from start to end
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
    private final Map<PlayId, PlayRequest> open = new LinkedHashMap<>(); // emptied as plays end
    private final Map<PlayId, Integer> legsOf = new HashMap<>(); // the same
    private final Map<PlayId, HostId> on = new HashMap<>(); // the same
    private final String without;
    private final Tally projected = new Tally();
    private long order;
    private double now;
    private Desk desk;

    private WhatIf(String without) {
        this.without = without;
    }

    /**
     * @param without  a host that is not there; null for none
     * @param settings puts others in place of the record's
     */
    public static Pair run(Path file, String without, UnaryOperator<Making> settings) throws IOException {
        WhatIf w = new WhatIf(without);
        Tally recorded = new Tally();
        Map<PlayId, Double> started = new HashMap<>();
        Replay.Report[] of = new Replay.Report[1];
        of[0] = Replay.run(file, UnaryOperator.identity(), null, (time, call, results, alike) -> {
            recorded.called(call);
            results.forEach(recorded::resulted);
            w.gather(time, call, started);
        });
        if (of[0].making() == null) {
            throw new Damaged(0, of[0].damaged());
        }
        w.project(settings.apply(of[0].making()));
        return new Pair(recorded.sum(), w.projected.sum());
    }

    private void gather(double time, Call call, Map<PlayId, Double> started) {
        if (call instanceof Call.LegStarted s) {
            note(s.play(), s.host(), new Seen(time, Outcome.SERVED, s.elapsedMs(), LoadReport.NONE));
            started.put(s.play(), time);
        } else if (call instanceof Call.LegEnded e) {
            Double since = started.remove(e.play());
            if (since != null) {
                lasted.put(e.play(), time - since);
            } else {
                note(e.play(), e.host(), new Seen(time, e.outcome(), e.elapsedMs(), e.load()));
            }
        } else if (call instanceof Call.ProbeCompleted p && p.outcome() == Outcome.SERVED) {
            probes.computeIfAbsent(p.host().value(), k -> new ArrayList<>())
                    .add(new Seen(time, Outcome.SERVED, p.elapsedMs(), p.load()));
        } else if (call instanceof Call.PersistedHostListLoaded l) {
            add(time, new Call.PersistedHostListLoaded(kept(l.lines())));
        } else if (call instanceof Call.HostListReplaced l) {
            add(time, new Call.HostListReplaced(kept(l.lines())));
        } else if (call instanceof Call.HostListUpdated l) {
            add(time, new Call.HostListUpdated(kept(l.lines())));
        } else if (call instanceof Call.DeliveredShareReported
                || call instanceof Call.LoadReported
                || call instanceof Call.LearnedStateRestored
                || call instanceof Call.PlayRequested w && !w.request().moved()
                || call instanceof Call.PlayInProgress
                || call instanceof Call.HostListUnavailable) {
            add(time, call);
        }
    }

    private void note(PlayId play, HostId host, Seen s) {
        seen.computeIfAbsent(host.value(), k -> new ArrayList<>()).add(s);
        legs.putIfAbsent(play.value() + " " + host.value(), s);
    }

    private List<HostDescriptor> kept(List<HostDescriptor> lines) {
        return lines.stream().filter(l -> !l.host().value().equals(without)).toList();
    }

    private void add(double at, Call call) {
        events.add(new Event(at, order++, call));
    }

    private void project(Making making) {
        desk = making.desk(this, null);
        double last = events.stream()
                .filter(e -> !(e.call() instanceof Call.TimerFired))
                .mapToDouble(Event::at)
                .max()
                .orElse(0);
        while (!events.isEmpty() && events.peek().at() <= last + 10_000) {
            Event e = events.poll();
            if (!still(e.call())) {
                continue;
            }
            now = e.at();
            projected.called(e.call());
            if (e.call() instanceof Call.PlayRequested w) {
                open.put(w.request().play(), w.request());
            } else if (e.call() instanceof Call.LegStarted s) {
                double length = lasted.getOrDefault(s.play(), usual(lasted.values()));
                add(
                        now + length,
                        new Call.LegEnded(s.play(), s.leg(), s.host(), Outcome.SERVED, true, length, LoadReport.NONE));
            } else if (e.call() instanceof Call.LegEnded d && d.over()) {
                forget(d.play());
            }
            desk.handle(now, e.call());
        }
    }

    /** Whether a leg's call still means something: the play may have been moved or answered meanwhile. */
    private boolean still(Call c) {
        if (c instanceof Call.LegStarted s) {
            return s.host().equals(on.get(s.play())) && legsOf.getOrDefault(s.play(), 0) == s.leg() + 1;
        }
        if (c instanceof Call.LegEnded e) {
            return e.host().equals(on.get(e.play())) && legsOf.getOrDefault(e.play(), 0) == e.leg() + 1;
        }
        return true;
    }

    private void forget(PlayId play) {
        open.remove(play);
        legsOf.remove(play);
        on.remove(play);
    }

    private static double usual(java.util.Collection<Double> all) {
        double[] v = all.stream().mapToDouble(d -> d).sorted().toArray();
        return v.length == 0 ? 30_000 : v[v.length / 2];
    }

    @Override
    public void setUpLeg(PlayId play, HostId host, double patienceMs) {
        int leg = legsOf.merge(play, 1, Integer::sum) - 1;
        on.put(play, host);
        projected.resulted(new Result.SetUpLeg(play, host, patienceMs));
        Seen s = legs.getOrDefault(play.value() + " " + host.value(), likely(host));
        double took = Math.min(s.tookMs(), patienceMs);
        Outcome how = s.tookMs() > patienceMs ? Outcome.TIMED_OUT : s.how();
        if (how == Outcome.SERVED) {
            add(now + took, new Call.LegStarted(play, leg, host, took));
        } else {
            add(now + took, new Call.LegEnded(play, leg, host, how, false, took, s.load()));
        }
    }

    /** What a leg there at this time would come to: the nearest one's end, or being served in the usual time. */
    private Seen likely(HostId host) {
        List<Seen> all = seen.getOrDefault(host.value(), List.of());
        Seen nearest = all.stream()
                .min(Comparator.comparingDouble(s -> Math.abs(s.at() - now)))
                .orElse(null);
        if (nearest != null && nearest.how() != Outcome.SERVED && Math.abs(nearest.at() - now) < SAME_TIME_MS) {
            return nearest;
        }
        double[] took = all.stream()
                .filter(s -> s.how() == Outcome.SERVED)
                .mapToDouble(Seen::tookMs)
                .toArray();
        Arrays.sort(took);
        return new Seen(now, Outcome.SERVED, took.length == 0 ? 20 : took[took.length / 2], LoadReport.NONE);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        projected.resulted(new Result.SetRung(play, rung));
    }

    @Override
    public void movePlay(PlayId play) {
        PlayRequest w = open.get(play);
        HostId from = on.get(play);
        if (w == null || from == null) {
            return;
        }
        int leg = legsOf.get(play) - 1;
        add(now, new Call.LegEnded(play, leg, from, Outcome.CANCELLED, true, 0, LoadReport.NONE));
        PlayId next = new PlayId(-1 - order); // of our own: recorded ids are above 0
        add(
                now,
                new Call.PlayRequested(new PlayRequest(
                        next,
                        w.viewer(),
                        w.title(),
                        w.tenant(),
                        w.trafficClass(),
                        w.firstCell(),
                        w.holderCount(),
                        w.highestRung(),
                        true,
                        w.expectedDurationMs(),
                        w.trafficClass().deadlineMs())));
    }

    @Override
    public void shedPlay(PlayId play, double holdOffMs) {
        projected.resulted(new Result.ShedPlay(play, holdOffMs));
        forget(play);
    }

    @Override
    public void failPlay(PlayId play) {
        projected.resulted(new Result.FailPlay(play));
        forget(play);
    }

    /** A probe tells what the recorded one nearest in time told. */
    @Override
    public void probeHost(HostId host) {
        Seen leg = likely(host);
        Seen told = probes.getOrDefault(host.value(), List.of()).stream()
                .min(Comparator.comparingDouble(s -> Math.abs(s.at() - now)))
                .orElse(null);
        boolean good = leg.how() == Outcome.SERVED || told != null && Math.abs(told.at() - now) < SAME_TIME_MS;
        add(
                now + PROBE_MS,
                new Call.ProbeCompleted(
                        host,
                        good ? Outcome.SERVED : leg.how(),
                        PROBE_MS,
                        told == null ? LoadReport.NONE : told.load()));
    }

    @Override
    public void watchHostList() {}

    @Override
    public void setTimer(double time, String mark) {
        add(time, new Call.TimerFired(mark));
    }

    @Override
    public void log(String line) {}
}
