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
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Load;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.Wanted;

/**
 * The same wishes under another condition: a projection. Wishes, lists and figures come as recorded. A leg on the
 * host that it was recorded on ends as recorded; one elsewhere is served in that host's usual time, or fails with the
 * others' there at that time. Plays last as recorded. Probes tell what those did that were nearest in time: what hosts
 * would have told of other loads is not known.
 */
public final class WhatIf implements Gateway {
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
    private record Seen(double at, Outcome how, double tookMs, Load load) {}

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
            if (c instanceof Call.WishTaken w) {
                plays += w.wish().moved() ? 0 : 1; // a moved one has been counted
                rung.put(w.wish().play(), w.wish().band().floor());
            } else if (c instanceof Call.Started s) {
                started++;
                byHost.merge(s.on().value(), 1L, Long::sum);
                Integer r = rung.remove(s.play());
                rungs += r == null ? 0 : r;
            }
        }

        void resulted(Result r) {
            if (r instanceof Result.SetUp) {
                legs++;
            } else if (r instanceof Result.SetRung s) {
                rung.computeIfPresent(s.play(), (k, v) -> s.rung());
            } else if (r instanceof Result.Shed s) {
                shed++;
                rung.remove(s.play());
            } else if (r instanceof Result.Errored e) {
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
    private final Map<PlayId, Wanted> open = new LinkedHashMap<>(); // emptied as plays end
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
        if (call instanceof Call.Started s) {
            note(s.play(), s.on(), new Seen(time, Outcome.SERVED, s.tookMs(), Load.NONE));
            started.put(s.play(), time);
        } else if (call instanceof Call.Ended e) {
            Double since = started.remove(e.play());
            if (since != null) {
                lasted.put(e.play(), time - since);
            } else {
                note(e.play(), e.on(), new Seen(time, e.how(), e.tookMs(), e.load()));
            }
        } else if (call instanceof Call.Probed p && p.how() == Outcome.SERVED) {
            probes.computeIfAbsent(p.host().value(), k -> new ArrayList<>())
                    .add(new Seen(time, Outcome.SERVED, p.tookMs(), p.load()));
        } else if (call instanceof Call.ListRemembered l) {
            add(time, new Call.ListRemembered(kept(l.lines())));
        } else if (call instanceof Call.ListWhole l) {
            add(time, new Call.ListWhole(kept(l.lines())));
        } else if (call instanceof Call.ListChanged l) {
            add(time, new Call.ListChanged(kept(l.lines())));
        } else if (call instanceof Call.ShareTold
                || call instanceof Call.LoadTold
                || call instanceof Call.LearntTaken
                || call instanceof Call.WishTaken w && !w.wish().moved()
                || call instanceof Call.UnderWay
                || call instanceof Call.ListLost) {
            add(time, call);
        }
    }

    private void note(PlayId play, HostId host, Seen s) {
        seen.computeIfAbsent(host.value(), k -> new ArrayList<>()).add(s);
        legs.putIfAbsent(play.value() + " " + host.value(), s);
    }

    private List<HostLine> kept(List<HostLine> lines) {
        return lines.stream().filter(l -> !l.host().value().equals(without)).toList();
    }

    private void add(double at, Call call) {
        events.add(new Event(at, order++, call));
    }

    private void project(Making making) {
        desk = making.desk(this, null);
        double last = events.stream()
                .filter(e -> !(e.call() instanceof Call.Woke))
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
            if (e.call() instanceof Call.WishTaken w) {
                open.put(w.wish().play(), w.wish());
            } else if (e.call() instanceof Call.Started s) {
                double length = lasted.getOrDefault(s.play(), usual(lasted.values()));
                add(now + length, new Call.Ended(s.play(), s.leg(), s.on(), Outcome.SERVED, true, length, Load.NONE));
            } else if (e.call() instanceof Call.Ended d && d.over()) {
                forget(d.play());
            }
            desk.take(now, e.call());
        }
    }

    /** Whether a leg's call still means something: the play may have been moved or answered meanwhile. */
    private boolean still(Call c) {
        if (c instanceof Call.Started s) {
            return s.on().equals(on.get(s.play())) && legsOf.getOrDefault(s.play(), 0) == s.leg() + 1;
        }
        if (c instanceof Call.Ended e) {
            return e.on().equals(on.get(e.play())) && legsOf.getOrDefault(e.play(), 0) == e.leg() + 1;
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
    public void setUp(PlayId play, HostId host, double patienceMs) {
        int leg = legsOf.merge(play, 1, Integer::sum) - 1;
        on.put(play, host);
        projected.resulted(new Result.SetUp(play, host, patienceMs));
        Seen s = legs.getOrDefault(play.value() + " " + host.value(), likely(host));
        double took = Math.min(s.tookMs(), patienceMs);
        Outcome how = s.tookMs() > patienceMs ? Outcome.TIMED_OUT : s.how();
        if (how == Outcome.SERVED) {
            add(now + took, new Call.Started(play, leg, host, took));
        } else {
            add(now + took, new Call.Ended(play, leg, host, how, false, took, s.load()));
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
        return new Seen(now, Outcome.SERVED, took.length == 0 ? 20 : took[took.length / 2], Load.NONE);
    }

    @Override
    public void setRung(PlayId play, int rung) {
        projected.resulted(new Result.SetRung(play, rung));
    }

    @Override
    public void move(PlayId play) {
        Wanted w = open.get(play);
        HostId from = on.get(play);
        if (w == null || from == null) {
            return;
        }
        int leg = legsOf.get(play) - 1;
        add(now, new Call.Ended(play, leg, from, Outcome.CALLED_OFF, true, 0, Load.NONE));
        PlayId next = new PlayId(-1 - order); // of our own: recorded ids are above 0
        add(
                now,
                new Call.WishTaken(new Wanted(
                        next,
                        w.viewer(),
                        w.title(),
                        w.customer(),
                        w.band(),
                        w.firstCell(),
                        w.holders(),
                        w.bestRung(),
                        true,
                        w.lengthMs(),
                        w.band().hardStopMs())));
    }

    @Override
    public void shed(PlayId play, double holdOffMs) {
        projected.resulted(new Result.Shed(play, holdOffMs));
        forget(play);
    }

    @Override
    public void error(PlayId play) {
        projected.resulted(new Result.Errored(play));
        forget(play);
    }

    /** A probe tells what the recorded one nearest in time told. */
    @Override
    public void probe(HostId host) {
        Seen leg = likely(host);
        Seen told = probes.getOrDefault(host.value(), List.of()).stream()
                .min(Comparator.comparingDouble(s -> Math.abs(s.at() - now)))
                .orElse(null);
        boolean good = leg.how() == Outcome.SERVED || told != null && Math.abs(told.at() - now) < SAME_TIME_MS;
        add(
                now + PROBE_MS,
                new Call.Probed(
                        host, good ? Outcome.SERVED : leg.how(), PROBE_MS, told == null ? Load.NONE : told.load()));
    }

    @Override
    public void followList() {}

    @Override
    public void wake(double time, String mark) {
        add(time, new Call.Woke(mark));
    }

    @Override
    public void log(String line) {}
}
