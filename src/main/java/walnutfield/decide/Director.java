package walnutfield.decide;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32;
import walnutfield.play.*;

/**
 * Decides who plays, where and at what quality, for one gateway that sees only its own traffic.
 * Called with the time of each thing that happens: lists of hosts (listRemembered, listWhole, listChanged,
 * listLost), wishes (wanted), plays already under way (playing), what becomes of legs (started, ended, gaveUp),
 * figures (shareTold, linkTold, uplinkTold, rungTold, probed) and the wake-ups it asked for (woke). All that it
 * decides leaves through {@link walnutfield.play.Gateway}. It holds no clock, wire, I/O or thread.
 */
public final class Director {
    // Times in ms. Each value stands once; docs/design.md says what was measured.
    private static final double LOOK_MS = 100;      // held plays, pressure and probes are looked at so often
    private static final double RECHECK_MS = 10_000; // design: moves are weighed so often
    private static final double MOVE_GAP_MS = 30_000; // design: a viewer is moved once in this time
    private static final double RUNG_GAP_MS = 10_000; // design: a playing play changes rung once in this time
    private static final double MOVE_PACE = 0.1;    // part of own plays moved at one re-check, one at least
    private static final double MOVE_WORTH = 1.5;   // a move must save so many times its price
    private static final double MOVE_SEES_MS = 10_000; // a shortage is reckoned to last so much longer
    private static final double MARK = 0.70;        // use up to which a new play gets its top rung
    private static final double STEP = 0.06;        // and one rung less for each such step above
    private static final double HIGH = 0.90;        // use from which playing plays are stepped down
    private static final double CUT_TO = 0.80;      // and to which
    private static final double RAISE_TO = 0.72;    // playing plays are stepped up while use stays under this
    private static final double RAISE_MS = 2_000;   // a host's plays are stepped up so often at most
    private static final double CUT_WAIT_MS = 3_000; // wait for a newer figure before cutting again, so long
    private static final double FADE_MS = 8_000;    // a figure's weight falls by e in this time
    private static final double TOGETHER_MS = 2_500; // hosts short within this are short together
    private static final double FULL_SHARE = 0.98;  // a delivered share above this is no shortage
    private static final double PROBES_A_PLAY = 1.0; // at a price of PROBE_PRICE; fewer where they cost more
    private static final double PROBE_PRICE = 0.01;
    private static final double PROBE_STALE_MS = 1_500; // no host is probed whose figure is younger
    private static final double QUANTILE = 0.9;     // house way: the quantile of answer times that judges a host
    private static final double SLOW_TIMES = 4;     // slow: so many times its fellows' quantile
    private static final double SLOW_LEAST_MS = 250; // and no less than this
    private static final double SUSPECT_MS = 2_000; // first time out of favour; doubles up to the next
    private static final double SUSPECT_MOST_MS = 8_000;
    private static final int GOOD_TO_CLEAR = 2;     // answers in a row that clear a suspect
    private static final double JUDGED_MOST = 0.4;  // beyond this part of the fleet, slowness alone judges none
    private static final double COLD_MARGIN = 0.6;  // part of the pace that fells a cold host that we may use
    private static final double HOLD_SHARE = 0.6;   // a play is held for this part of its expected time at most
    private static final double HOLD_OFF_MS = 1_000; // a viewer who is shed is told to come back after this
    private static final double EDGE_MS = 30;       // a final leg's time-out falls so long before the hard stop
    private static final double SPAN_EDGE_MS = 50;  // the span of the legs' ration is taken longer by this
    private static final double LIFE_MS = 30_000;   // a play's length, until some have been seen to end

    private enum Verdict { PASS, KEEP, END }

    /** A step on a play's way out; what comes back runs the steps the other way. */
    private interface Stage {
        Verdict pass(Play p, double now);

        default void back(Play p, Outcome how, double now) { }
    }

    /** A play, from being taken until it is over and its leg is in. */
    private static final class Play {
        final Wanted wish;
        final double takenAt;
        final double hardStop;
        final List<Host> tried = new ArrayList<>();
        Host host;
        int rung;
        int rungTold;
        double rungAt;
        double sentAt;
        int legs;
        boolean legOut;
        boolean mayHaveRun;
        boolean plays;
        boolean answered;
        boolean beyondShare;
        double startedAt;

        Play(Wanted wish, double now) {
            this.wish = wish;
            takenAt = now;
            hardStop = now + wish.leftMs();
            rung = rungTold = wish.band().floor();
        }
    }

    /** Use of a link or uplink: the latest report, own load since, and a guess as the report fades. */
    private static final class Gauge {
        private final double[] at = new double[32]; // own load at past times; the oldest is overwritten
        private final double[] was = new double[32];
        private int next;
        double own;
        double told = Double.NaN;
        double toldOf = Double.NEGATIVE_INFINITY;
        double ownThen;
        double cutAt = Double.NEGATIVE_INFINITY;

        void add(double kb, double now) {
            at[next % at.length] = now;
            was[next % at.length] = own;
            next++;
            own = Math.max(0, own + kb);
        }

        private double ownAt(double time) {
            double kb = own;
            for (int i = next - 1; i >= 0 && i >= next - at.length && at[i % at.length] > time; i--) {
                kb = was[i % at.length];
            }
            return kb;
        }

        /** Newer beats older by the time that a figure speaks of. */
        void tell(double use, double of) {
            if (of >= toldOf) {
                told = use;
                toldOf = of;
                ownThen = ownAt(of);
            }
        }

        double weight(double now) {
            return Double.isNaN(told) ? 0 : Math.exp(-Math.max(0, now - toldOf) / FADE_MS);
        }

        double use(double now, double size, double guess) {
            double w = weight(now);
            return w == 0 ? guess : w * Math.max(own / size, told + (own - ownThen) / size) + (1 - w) * guess;
        }
    }

    /** A rack and its uplink. */
    private static final class Rack {
        final Gauge uplink = new Gauge();
        final List<Host> hosts = new ArrayList<>();
    }

    /** A media host as this gateway knows it; kept while listed or while own plays are there. */
    private static final class Host {
        final HostId id;
        final Rack rack;
        HostLine line;
        final Gauge link = new Gauge();
        final Map<PlayId, Play> plays = new LinkedHashMap<>(); // emptied as legs and plays end
        double streamsTold = Double.NaN;
        double streamsOf;
        int streamsThen;
        double share = 1;
        double shareOf = Double.NEGATIVE_INFINITY;
        double raisedAt = Double.NEGATIVE_INFINITY;
        final double[] took = new double[16]; // latest answer times
        int answers;
        boolean suspect;
        boolean silent;
        double retryAt;
        double outFor = SUSPECT_MS;
        int goodInRow;
        double coldSince = Double.NEGATIVE_INFINITY;
        double unprovenSince = Double.NEGATIVE_INFINITY;
        double lastSent = Double.NEGATIVE_INFINITY;
        boolean probeOut;
        double probedAt = Double.NEGATIVE_INFINITY;

        Host(HostLine line, Rack rack) {
            id = line.host();
            this.line = line;
            this.rack = rack;
        }

        boolean ready() {
            return line.standing() == HostLine.Standing.READY;
        }

        /** The house's measure: a high quantile of the latest answer times; NaN while too few are known. */
        double quantile() {
            int n = Math.min(answers, took.length);
            if (n < 3) {
                return Double.NaN;
            }
            double[] sorted = Arrays.copyOf(took, n);
            Arrays.sort(sorted);
            return sorted[(int) Math.min(n - 1, Math.floor(QUANTILE * n))];
        }
    }

    private final Post post;
    private final Ladder ladder;
    private final LinkTerms links;
    private final LegTerms legs;
    private final ColdTerms cold;
    private final ShedTerms sheds;
    private final ReportTerms reports;
    private final MoveTerms moves;
    private final Gateway out;
    private final double middleKb;
    private final Map<String, Host> hosts = new TreeMap<>(); // emptied as hosts leave the list and plays end
    private final Map<Integer, Rack> racks = new TreeMap<>(); // one for each rack
    private final Map<PlayId, Play> plays = new LinkedHashMap<>(); // emptied as plays end
    private final Map<PlayId, Play> held = new LinkedHashMap<>(); // emptied as they go out or are given up
    private final Map<List<Object>, Integer> seats = new HashMap<>(); // emptied as plays end
    private final Map<CustomerId, double[]> shares = new HashMap<>(); // one for each customer
    private final ArrayDeque<Double> takes = new ArrayDeque<>(); // emptied as the span passes
    private final ArrayDeque<Double> further = new ArrayDeque<>(); // emptied as the span passes
    private final List<Stage> chain = List.of(new Terms(), new Placing(), new Quality(), new Sending());
    private long drawn;
    private boolean begun;
    private double kbAUnit;
    private double sumSize = 1;
    private double averageUse;
    private double averageAt = Double.NEGATIVE_INFINITY;
    private double fellows = Double.NaN;
    private double nextRecheck;
    private double probeTokens;
    private double askAgainAt = Double.POSITIVE_INFINITY;
    private double life = LIFE_MS;
    private double credit = 1;

    public Director(Post post, Ladder ladder, LinkTerms links, LegTerms legs, ColdTerms cold, ShedTerms sheds,
                    ReportTerms reports, MoveTerms moves, List<Share> shares, Gateway out) {
        this.post = post;
        this.ladder = ladder;
        this.links = links;
        this.legs = legs;
        this.cold = cold;
        this.sheds = sheds;
        this.reports = reports;
        this.moves = moves;
        this.out = out;
        for (Share s : shares) { // plays a ms of this gateway's part, tokens left, time
            this.shares.put(s.customer(), new double[] {s.playsPerS() / 1000 / post.gateways(), 0, 0});
        }
        int n = ladder.kb().size();
        middleKb = n == 0 ? 1 : Math.sqrt(ladder.kb().get(0) * ladder.kb().get(n - 1));
    }

    // ---- The list of hosts

    public void listRemembered(double now, List<HostLine> lines) {
        listWhole(now, lines);
        for (Host h : hosts.values()) { // an old list: who runs now, and since when, is not proven
            h.unprovenSince = now;
        }
        if (reports.askForList()) {
            out.followList();
            askAgainAt = Double.POSITIVE_INFINITY;
        }
        if (!begun) {
            begun = true;
            nextRecheck = now + RECHECK_MS;
            out.wake(now + LOOK_MS, "look");
        }
    }

    public void listWhole(double now, List<HostLine> lines) {
        Map<String, HostLine> named = new HashMap<>();
        lines.forEach(l -> named.put(l.host().value(), l));
        for (Host h : new ArrayList<>(hosts.values())) {
            if (!named.containsKey(h.id.value())) {
                HostLine l = h.line;
                take(new HostLine(l.host(), l.place(), l.slots(), l.cell(), HostLine.Standing.GONE,
                    l.units(), l.launched()), now);
            }
        }
        listChanged(now, lines);
    }

    public void listChanged(double now, List<HostLine> lines) {
        lines.forEach(l -> take(l, now));
        sumSize = 0;
        Map<Integer, Double> cells = new TreeMap<>();
        for (Host h : hosts.values()) {
            if (h.ready()) {
                sumSize += units(h.line);
                cells.put(h.line.cell(), units(h.line));
            }
        }
        if (kbAUnit == 0 && !cells.isEmpty()) { // told as of the start, when each cell has one host
            double all = cells.values().stream().mapToDouble(d -> d).sum();
            kbAUnit = links.allKb() > 0 ? links.allKb() / all : links.unitKb() > 0 ? links.unitKb() : middleKb;
        }
        sumSize = Math.max(1, sumSize * kbAUnit);
        averageAt = Double.NEGATIVE_INFINITY;
    }

    public void listLost(double now) {
        out.log("list lost: going by the last one, " + hosts.size() + " hosts");
        askAgainAt = now + SUSPECT_MS;
    }

    private void take(HostLine l, double now) {
        Host h = hosts.get(l.host().value());
        if (h == null) {
            if (l.standing() == HostLine.Standing.GONE) {
                return;
            }
            Rack rack = racks.computeIfAbsent(l.cell() % Math.max(1, links.racks()), k -> new Rack());
            h = new Host(l, rack);
            rack.hosts.add(h);
            hosts.put(l.host().value(), h);
        } else if (l.launched() > h.line.launched()) { // it came back: what was known of it is void
            h.answers = 0;
            h.suspect = h.silent = false;
            h.outFor = SUSPECT_MS;
        }
        h.line = l;
        if (l.launched() > 0 && now - l.launched() < cold.warmMs()) {
            h.coldSince = l.launched();
        }
        drop(h);
    }

    private void drop(Host h) {
        if (h.line.standing() == HostLine.Standing.GONE && h.plays.isEmpty()) {
            hosts.remove(h.id.value());
            h.rack.hosts.remove(h);
        }
    }

    private double units(HostLine l) {
        double u = links.sizeListed() ? l.units() : l.slots();
        return u > 0 ? u : 1;
    }

    /** Told link of a host; a cold one's is smaller by the share that it has warmed. */
    private double size(Host h, double now) {
        return Math.max(1, units(h.line) * kbAUnit * warmth(h.coldSince, now));
    }

    private double warmth(double since, double now) {
        double t = (now - since) / Math.max(1, cold.warmMs());
        return t >= 1 ? 1 : cold.from() + (1 - cold.from()) * Math.max(0, t);
    }

    // ---- What is known of use

    private double linkUse(Host h, double now) {
        return h.link.use(now, size(h, now), guess(h, now));
    }

    /** Unheard hosts count as average, with more or less by what this gateway itself has there. */
    private double guess(Host h, double now) {
        average(now);
        double size = size(h, now);
        double mean = totalOwn / sumSize;
        return Math.max(h.link.own / size, averageUse + h.link.own / size - mean);
    }

    private double totalOwn;

    private void average(double now) {
        if (now - averageAt < LOOK_MS) {
            return;
        }
        averageAt = now;
        totalOwn = 0;
        double sum = 0;
        double weight = 1;
        for (Host h : hosts.values()) {
            totalOwn += h.link.own;
        }
        sum = post.gateways() * totalOwn / sumSize; // exception: own plays stand for the fellows' as well
        for (Host h : hosts.values()) {
            if (h.ready() && !h.silent) {
                double w = h.link.weight(now);
                sum += w * h.link.use(now, size(h, now), 0);
                weight += w;
            }
        }
        averageUse = sum / weight;
    }

    private double uplinkUse(Rack r, double now) {
        if (links.rackKb() <= 0) {
            return 0;
        }
        double sum = 0;
        for (Host h : r.hosts) {
            sum += h.silent ? 0 : linkUse(h, now) * size(h, now);
        }
        return r.uplink.use(now, links.rackKb(), sum / links.rackKb());
    }

    private double streams(Host h) {
        return Double.isNaN(h.streamsTold) ? (double) h.plays.size() * post.gateways()
            : Math.max(h.plays.size(), h.streamsTold + h.plays.size() - h.streamsThen);
    }

    private void heard(Host h, Load load, double now) {
        if (!Double.isNaN(load.link())) {
            h.link.tell(load.link(), now - LOOK_MS);
        }
        if (!Double.isNaN(load.uplink())) {
            h.rack.uplink.tell(load.uplink(), now - LOOK_MS);
        }
        if (!Double.isNaN(load.streams())) {
            h.streamsTold = load.streams();
            h.streamsOf = now;
            h.streamsThen = h.plays.size();
        }
    }

    public void linkTold(double now, HostId id, double use) {
        Host h = hosts.get(id.value());
        if (h != null) {
            h.link.tell(use, now - reports.toldLateMs());
        }
    }

    public void uplinkTold(double now, HostId id, double use) {
        Host h = hosts.get(id.value());
        if (h != null) {
            h.rack.uplink.tell(use, now - reports.toldLateMs());
        }
    }

    /** A share under 1 says that link or uplink is over by its inverse; fellows of the rack tell which. */
    public void shareTold(double now, HostId id, double share) {
        Host h = hosts.get(id.value());
        if (h == null) {
            return;
        }
        double of = now - reports.toldLateMs();
        h.share = share;
        h.shareOf = of;
        if (share >= FULL_SHARE) {
            if (h.link.told > 1) {
                h.link.tell(FULL_SHARE, of);
            }
            if (h.rack.uplink.told > 1) {
                h.rack.uplink.tell(FULL_SHARE, of);
            }
            return;
        }
        int mine = 0;
        int shortOnes = 0;
        double sum = 0;
        for (Host f : h.rack.hosts) {
            boolean isShort = f.share < FULL_SHARE && of - f.shareOf < TOGETHER_MS;
            mine += f.plays.isEmpty() ? 0 : 1;
            shortOnes += isShort ? 1 : 0;
            sum += isShort ? f.share : 0;
        }
        boolean denied = h.link.weight(now) > 0.5 && h.link.told < 0.95; // its own link report says otherwise
        if (links.rackKb() > 0 && (denied || shortOnes >= 2 && shortOnes * 2 >= mine)) {
            h.rack.uplink.tell(Math.min(3, shortOnes / Math.max(0.1, sum)), of);
        } else {
            h.link.tell(Math.min(3, 1 / Math.max(0.1, share)), of);
        }
    }

    // ---- Plays

    public void wanted(double now, Wanted wish) {
        Play p = new Play(wish, now);
        plays.put(wish.play(), p);
        takes.add(now);
        credit += 0.02 * (wish.band().credit() - credit);
        probeTokens = Math.min(4, probeTokens + PROBES_A_PLAY
            * (reports.probePrice() > 0 ? Math.min(2, PROBE_PRICE / reports.probePrice()) : 2));
        run(p, now);
    }

    /** A play that was under way at the start. */
    public void playing(double now, Wanted wish, HostId id) {
        Host h = hosts.get(id.value());
        if (h == null) {
            return;
        }
        Play p = new Play(wish, now);
        p.plays = p.answered = p.legOut = true;
        p.startedAt = now;
        p.host = h;
        p.legs = 1;
        h.unprovenSince = Double.NEGATIVE_INFINITY;
        plays.put(wish.play(), p);
        load(p, now);
    }

    public void rungTold(double now, PlayId id, int rung) {
        Play p = plays.get(id);
        if (p != null && p.host != null) {
            weigh(p, rate(p, rung) - rate(p, p.rung), now);
            p.rung = p.rungTold = rung;
        }
    }

    private void run(Play p, double now) {
        for (Stage s : chain) {
            Verdict v = s.pass(p, now);
            if (v == Verdict.KEEP) {
                return;
            }
            if (v == Verdict.END) {
                giveUp(p, now);
                return;
            }
        }
    }

    /** The final answer to a play that has none: at once, and a shed only where that is allowed. */
    private void giveUp(Play p, double now) {
        held.remove(p.wish.play());
        plays.remove(p.wish.play());
        if (p.wish.band().paid() && p.mayHaveRun) {
            out.error(p.wish.play());
        } else {
            out.shed(p.wish.play(), Math.min(HOLD_OFF_MS, sheds.mostHoldOffMs()));
        }
    }

    public void started(double now, PlayId id, int leg, HostId on, double took) {
        Play p = plays.get(id);
        if (p != null && p.host != null) {
            p.plays = p.answered = true;
            p.startedAt = now;
            good(p.host, took, now);
        }
    }

    public void ended(double now, PlayId id, int leg, HostId on, Outcome how, boolean over, double took, Load load) {
        Host h = hosts.get(on.value());
        Play p = plays.get(id);
        if (p == null || !p.legOut || leg != p.legs - 1) {
            return;
        }
        for (int i = chain.size() - 1; i >= 0; i--) {
            chain.get(i).back(p, how, now);
        }
        if (h != null) {
            heard(h, load, now);
        }
        if (over || p.answered) {
            plays.remove(id);
            if (p.plays && how == Outcome.SERVED) {
                life += 0.05 * (now - p.takenAt - life);
            }
        } else if (p.wish.band().paid() && p.mayHaveRun) {
            giveUp(p, now);
        } else {
            run(p, now);
        }
    }

    public void gaveUp(double now, PlayId id) {
        Play p = plays.get(id);
        if (p != null) {
            p.answered = true;
            held.remove(id);
            if (!p.legOut) {
                plays.remove(id);
            }
        }
    }

    private void load(Play p, double now) {
        p.host.plays.put(p.wish.play(), p);
        weigh(p, rate(p, p.rung), now);
        seats.merge(seat(p), 1, Integer::sum);
    }

    private void weigh(Play p, double kb, double now) {
        p.host.link.add(kb, now);
        p.host.rack.uplink.add(kb, now);
    }

    private static List<Object> seat(Play p) {
        return List.of(p.wish.title(), p.wish.band().name());
    }

    private double rate(Play p, int rung) {
        return ladder.kb().isEmpty() ? 0
            : ladder.kb().get(Math.min(rung, ladder.kb().size() - 1)) * p.wish.band().rates();
    }

    private int top(Play p) {
        return Math.max(p.wish.band().floor(),
            Math.min(Math.min(p.wish.bestRung(), p.wish.band().top()), ladder.kb().size() - 1));
    }

    /** Terms: seats of title and band, and the customer's share, beyond which a play gives way first. */
    private final class Terms implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            int most = p.wish.band().seats();
            if (most > 0 && seats.getOrDefault(seat(p), 0) >= most) {
                return Verdict.END;
            }
            double[] share = shares.get(p.wish.customer());
            if (share != null && p.legs == 0 && !held.containsKey(p.wish.play())) {
                double burst = share[0] * 10_000;
                share[1] = share[2] == 0 ? burst : Math.min(burst, share[1] + (now - share[2]) * share[0]);
                share[2] = now;
                p.beyondShare = share[1] < 1;
                share[1] -= p.beyondShare ? 0 : 1;
            }
            return Verdict.PASS;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            seats.computeIfPresent(seat(p), (k, n) -> n <= 1 ? null : n - 1);
        }
    }

    /** Placing: the design's score over the title's holders; keeps the play while none can take it. */
    private final class Placing implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            p.host = best(p, now, null);
            if (p.host != null) {
                held.remove(p.wish.play());
                return Verdict.PASS;
            }
            double until = Math.min(p.takenAt + HOLD_SHARE * p.wish.band().expectedMs(), p.hardStop - 2 * LOOK_MS);
            if (now >= until || p.legs >= legs.most()) {
                return Verdict.END;
            }
            held.put(p.wish.play(), p);
            return Verdict.KEEP;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            p.host.plays.remove(p.wish.play());
            weigh(p, -rate(p, p.rung), now);
            drop(p.host);
            if (how != Outcome.SERVED) {
                p.tried.add(p.host);
            }
        }
    }

    private Host best(Play p, double now, Host not) {
        Host best = null;
        Host spareOne = null;
        double bestScore = Double.NEGATIVE_INFINITY;
        double spareScore = Double.NEGATIVE_INFINITY;
        for (Host h : hosts.values()) {
            if (h == not || !h.ready() || !holds(h, p) || p.tried.contains(h) || now < mayTake(h, now)
                || h.line.slots() > 0 && streams(h) >= h.line.slots()) {
                continue;
            }
            double score = score(h, now);
            if (h.suspect && (p.wish.band().paid() || h.probeOut || hasLegOut(h))) {
                continue; // a suspect is tried with one play at a time, never with a paid one
            }
            if (h.suspect && now < h.retryAt) {
                if (score > spareScore) {
                    spareScore = score;
                    spareOne = h;
                }
            } else if (score > bestScore) {
                bestScore = score;
                best = h;
            }
        }
        return best != null ? best : spareOne;
    }

    private boolean hasLegOut(Host h) {
        for (Play p : h.plays.values()) {
            if (!p.plays) {
                return true;
            }
        }
        return false;
    }

    private boolean holds(Host h, Play p) {
        int cells = Math.max(1, links.cells());
        return links.cells() <= 0 || p.wish.holders() <= 0
            || Math.floorMod(h.line.cell() - p.wish.firstCell(), cells) < p.wish.holders();
    }

    /** The design's score: spare rate, in plays at the middle rate, plus 1 over the percentage of streams. */
    private double score(Host h, double now) {
        double spare = size(h, now) * (1 - linkUse(h, now));
        if (links.rackKb() > 0) {
            spare = Math.min(spare, links.rackKb() * (1 - uplinkUse(h.rack, now)));
        }
        double percent = h.line.slots() > 0 ? 100 * streams(h) / h.line.slots() : 100;
        return spare / middleKb + 1 / Math.max(1, percent);
    }

    /** When a host may next be sent a set-up: a cold or unproven one at our part of a safe pace only. */
    private double mayTake(Host h, double now) {
        double since = Math.max(h.coldSince, h.unprovenSince);
        if (cold.warmMs() <= 0 || cold.fallMs() <= 0 || now - since >= cold.warmMs() || h.line.slots() <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double pace = h.line.slots() / cold.warmMs() * warmth(since, now); // set-ups a ms
        double gap = post.gateways() / (pace * cold.multiple() * COLD_MARGIN);
        double turn = since + gap * (post.me() + 0.5) / post.gateways(); // fellows begin in turn
        return Math.max(turn, h.lastSent + gap);
    }

    /** Quality: the top rung while the chosen host shows room, one lower for each step of use above the mark. */
    private final class Quality implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            int rung = p.beyondShare ? p.wish.band().floor() : top(p);
            double size = size(p.host, now);
            double use = linkUse(p.host, now);
            double uplink = uplinkUse(p.host.rack, now);
            for (int steps = 0; rung > p.wish.band().floor(); rung--, steps++) {
                double then = use + rate(p, rung) / size;
                if (links.rackKb() > 0) {
                    then = Math.max(then, uplink + rate(p, rung) / links.rackKb());
                }
                if (then <= MARK + STEP * steps) {
                    break;
                }
            }
            p.rung = rung;
            return Verdict.PASS;
        }
    }

    /** Sending: limits of legs, the leg's time-out; what comes back is judged here first. */
    private final class Sending implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            if (p.legs >= legs.most() || p.legs > 0 && !furtherAllowed(now) || now > p.hardStop - EDGE_MS) {
                return Verdict.END;
            }
            if (p.legs > 0) {
                further.add(now);
            }
            if (p.rung != p.rungTold) {
                out.setRung(p.wish.play(), p.rung);
                p.rungTold = p.rung;
            }
            out.setUp(p.wish.play(), p.host.id, patience(p, now));
            p.legs++;
            p.legOut = true;
            p.sentAt = p.rungAt = now;
            p.host.lastSent = now;
            load(p, now);
            return Verdict.KEEP;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            p.legOut = false;
            p.mayHaveRun |= !how.neverRan;
            judge(p.host, how, p.plays, now);
        }
    }

    private boolean furtherAllowed(double now) {
        while (!takes.isEmpty() && takes.peek() < now - legs.spanMs() + SPAN_EDGE_MS) {
            takes.poll();
        }
        while (!further.isEmpty() && further.peek() < now - legs.spanMs() - SPAN_EDGE_MS) {
            further.poll();
        }
        return legs.share() < 0 || further.size() + 1 <= legs.spare() + legs.share() * takes.size();
    }

    /** A leg's time-out: what fellows need, so that a further leg still fits; a paid play has just one. */
    private double patience(Play p, double now) {
        double left = p.hardStop - EDGE_MS - now;
        if (p.wish.band().paid() || p.legs + 1 >= legs.most()) {
            return left;
        }
        double expected = p.takenAt + p.wish.band().expectedMs() - now;
        double need = Double.isNaN(fellows) ? p.wish.band().expectedMs() / 2 : SLOW_TIMES * fellows;
        return Math.min(left, Math.max(SLOW_LEAST_MS, Math.min(need, expected > 0 ? expected / 2 : left / 2)));
    }

    // ---- Health

    private void good(Host h, double took, double now) {
        h.took[h.answers++ % h.took.length] = took;
        if (h.silent) { // it may have been away: reckon it as just started
            h.coldSince = Math.max(h.coldSince, now);
            h.silent = false;
        }
        if (h.suspect && ++h.goodInRow >= GOOD_TO_CLEAR) {
            h.suspect = false;
            h.outFor = SUSPECT_MS;
            out.log("host " + h.id.value() + " sound again after " + h.goodInRow + " good answers");
        }
    }

    private void judge(Host h, Outcome how, boolean played, double now) {
        switch (how) {
            case FAILED -> doubt(h, false, "a failed set-up", now);
            case TIMED_OUT -> doubt(h, true, "a leg timed out", now);
            case UNREACHABLE -> doubt(h, true, "unreachable", now);
            case BROKEN_OFF -> doubt(h, true, played ? "a play broke off" : "a leg broke off", now);
            case TURNED_AWAY -> h.retryAt = Math.max(h.retryAt, now);
            default -> { }
        }
    }

    /** Guards against hosts that fail fast (they look idle), stand still, are silent, lost or slow. */
    private void doubt(Host h, boolean silent, String why, double now) {
        if (!h.suspect) {
            out.log("host " + h.id.value() + " suspect: " + why + ", out for " + h.outFor + " ms");
        }
        if (!h.suspect || now >= h.retryAt) {
            h.retryAt = now + h.outFor;
            h.outFor = Math.min(SUSPECT_MOST_MS, h.outFor * 2);
        }
        h.suspect = true;
        h.silent |= silent;
        h.goodInRow = 0;
    }

    public void probed(double now, HostId id, Outcome how, double took, Load load) {
        Host h = hosts.get(id.value());
        if (h == null) {
            return;
        }
        h.probeOut = false;
        if (how == Outcome.SERVED) {
            heard(h, load, now);
            if (h.suspect && h.silent) {
                good(h, took, now);
                h.answers--;
            }
        } else if (how == Outcome.TIMED_OUT || how == Outcome.UNREACHABLE || how == Outcome.BROKEN_OFF) {
            doubt(h, true, "a probe went unanswered", now);
        }
    }

    // ---- What is looked at again and again

    public void woke(double now, String mark) {
        out.wake(now + LOOK_MS, "look");
        for (Play p : new ArrayList<>(held.values())) {
            run(p, now);
        }
        compare(now);
        for (Host h : hosts.values()) {
            ease(h.link, size(h, now), linkUse(h, now), h.plays.values(), now);
        }
        if (links.rackKb() > 0) {
            for (Rack r : racks.values()) {
                List<Play> there = new ArrayList<>();
                r.hosts.forEach(h -> there.addAll(h.plays.values()));
                ease(r.uplink, links.rackKb(), uplinkUse(r, now), there, now);
            }
        }
        for (Host h : hosts.values()) {
            raise(h, now);
        }
        if (now >= nextRecheck) {
            nextRecheck = now + RECHECK_MS;
            recheck(now);
        }
        probe(now);
        if (now >= askAgainAt) {
            askAgainAt = Double.POSITIVE_INFINITY;
            out.followList();
        }
    }

    /** The house way: a host is judged by a high quantile of its answer times against its fellows'. */
    private void compare(double now) {
        List<Double> all = new ArrayList<>();
        int out = 0;
        int listed = 0;
        for (Host h : hosts.values()) {
            listed += h.ready() ? 1 : 0;
            out += h.ready() && h.suspect ? 1 : 0;
            if (!Double.isNaN(h.quantile())) {
                all.add(h.quantile());
            }
        }
        if (all.size() < 3) {
            return;
        }
        all.sort(Comparator.naturalOrder());
        fellows = all.get(all.size() / 2);
        double slow = Math.max(SLOW_LEAST_MS, SLOW_TIMES * fellows);
        for (Host h : hosts.values()) {
            double worst = 0;
            for (Play p : h.plays.values()) { // a leg still out tells before it times out
                worst = p.plays ? worst : Math.max(worst, now - p.sentAt);
            }
            if (!h.suspect && h.ready() && out < JUDGED_MOST * listed && (worst > slow || h.quantile() > slow)) {
                doubt(h, false, "slow, " + Math.max(worst, h.quantile()) + " ms against " + fellows, now);
                h.answers = 0;
                out++;
            }
        }
    }

    private double earnsAKb(Play p, int from, int to) {
        double value = p.wish.band().credit() * (p.beyondShare ? 0.1 : 1)
            * Math.abs(ladder.credit().get(to) - ladder.credit().get(from));
        return value / Math.max(1e-9, Math.abs(rate(p, to) - rate(p, from)));
    }

    /** Steps playing plays down under pressure, least earned a kB first, by our part of what is over. */
    private void ease(Gauge g, double size, double use, Iterable<Play> there, double now) {
        if (use <= HIGH || g.toldOf <= g.cutAt && now - g.cutAt < CUT_WAIT_MS) {
            return;
        }
        g.cutAt = now;
        double need = g.own * (use - CUT_TO) / use;
        Map<Play, Integer> to = new LinkedHashMap<>();
        for (Play p : there) {
            if (p.plays && p.rung > p.wish.band().floor() && now - p.rungAt >= RUNG_GAP_MS) {
                to.put(p, p.rung);
            }
        }
        while (need > 0) {
            Play least = null;
            double earns = Double.POSITIVE_INFINITY;
            for (Map.Entry<Play, Integer> e : to.entrySet()) {
                int r = e.getValue();
                if (r > e.getKey().wish.band().floor() && earnsAKb(e.getKey(), r, r - 1) < earns) {
                    earns = earnsAKb(e.getKey(), r, r - 1);
                    least = e.getKey();
                }
            }
            if (least == null) {
                break;
            }
            int r = to.get(least);
            need -= rate(least, r) - rate(least, r - 1);
            to.put(least, r - 1);
        }
        to.forEach((p, r) -> change(p, r, now));
    }

    /** Steps playing plays up where there is room, most earned a kB first, by our part of the room. */
    private void raise(Host h, double now) {
        if (now - h.raisedAt < RAISE_MS || h.plays.isEmpty() || h.suspect) {
            return;
        }
        double room = size(h, now) * (RAISE_TO - linkUse(h, now));
        if (links.rackKb() > 0) {
            room = Math.min(room, links.rackKb() * (RAISE_TO - uplinkUse(h.rack, now)));
        }
        room /= post.gateways();
        Play best = null;
        for (Play p : h.plays.values()) {
            if (p.plays && p.rung < top(p) && now - p.rungAt >= RUNG_GAP_MS && !p.beyondShare
                && rate(p, p.rung + 1) - rate(p, p.rung) <= room
                && (best == null || earnsAKb(p, p.rung, p.rung + 1) > earnsAKb(best, best.rung, best.rung + 1))) {
                best = p;
            }
        }
        if (best != null) {
            h.raisedAt = now;
            change(best, best.rung + 1, now);
        }
    }

    private void change(Play p, int rung, double now) {
        if (rung != p.rung) {
            weigh(p, rate(p, rung) - rate(p, p.rung), now);
            p.rung = p.rungTold = rung;
            p.rungAt = now;
            out.setRung(p.wish.play(), rung);
        }
    }

    /** The design's re-check: moves plays off short links, where that saves more than it costs. */
    private void recheck(double now) {
        int most = Math.max(1, (int) (MOVE_PACE * plays.size()));
        for (Host h : hosts.values()) {
            double lost = Math.min(1, ladder.stall() * (FULL_SHARE - h.share));
            if (now - h.shareOf > TOGETHER_MS + reports.toldLateMs() || lost <= 0) {
                continue;
            }
            for (Play p : new ArrayList<>(h.plays.values())) {
                double saves = lost * p.wish.band().credit() * ladder.credit().get(p.rung)
                    * Math.min(MOVE_SEES_MS, Math.max(0, left(p, now)));
                if (most > 0 && p.plays && (!p.wish.moved() || now - p.takenAt > MOVE_GAP_MS)
                    && saves > MOVE_WORTH * moves.price() * credit * life) {
                    Host to = best(p, now, h);
                    if (to != null && !to.suspect && score(to, now) > score(h, now) + rate(p, p.rung) / middleKb) {
                        most--;
                        out.move(p.wish.play());
                        out.log("moved a play off " + h.id.value() + ": share " + h.share);
                    }
                }
            }
        }
    }

    private double left(Play p, double now) {
        return p.wish.lengthMs() > 0 ? p.startedAt + p.wish.lengthMs() - now : life / 2;
    }

    /** Probes where they tell most: the host whose figure is oldest, suspects due for a trial first. */
    private void probe(double now) {
        if (!reports.mayProbe() || probeTokens < 1) {
            return;
        }
        Host best = null;
        double most = PROBE_STALE_MS;
        for (Host h : hosts.values()) {
            double stale = Math.min(60_000, now - Math.max(h.link.toldOf, h.probedAt)) + chance();
            if (h.suspect) {
                stale = now >= h.retryAt && now - h.probedAt > LOOK_MS * 5 ? 100_000 : 0;
            }
            if (h.ready() && !h.probeOut && stale > most) {
                most = stale;
                best = h;
            }
        }
        if (best != null) {
            probeTokens--;
            best.probeOut = true;
            best.probedAt = now;
            out.probe(best.id);
        }
    }

    /** Chance from the seed and a counter. */
    private double chance() {
        CRC32 crc = new CRC32();
        long n = post.seed() + 0x9E3779B97F4A7C15L * drawn++;
        for (int i = 0; i < 8; i++) {
            crc.update((int) (n >>> (8 * i)));
        }
        return crc.getValue() / 4294967296.0;
    }
}
