package walnutfield.decide;

import java.util.*;
import java.util.function.Predicate;
import walnutfield.decide.Stage.Verdict;
import walnutfield.play.*;

/**
 * Decides who plays, where and at what quality, for one gateway that sees only its own traffic.
 * Called with the time of each thing that happens: lists of hosts (listRemembered, listWhole, listChanged,
 * listLost), wishes (wanted), plays under way (playing), what becomes of legs (started, ended, gaveUp),
 * figures (shareTold, loadTold, rungTold, probed), and wake-ups it asked for (woke). All that it
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
    private static final double STEP = 0.12;        // and one rung less for each such step above
    private static final double HIGH = 1.08;        // use from which playing plays are stepped down
    private static final double CUT_TO = 0.95;      // and to which
    private static final double RAISE_UNDER = 0.03; // plays are stepped up to so much under their mark
    private static final double RAISE_MOST = 0.92;  // and never where use would pass this
    private static final double RAISE_MS = 4_000;   // a host's plays are stepped up so often at most
    private static final double FADE_MS = 8_000;    // a figure's weight falls by e in this time
    private static final double TOGETHER_MS = 2_500; // hosts short within this are short together
    private static final double SURE = 0.5, ROOMY = 0.95; // a link report of this weight and use denies it
    private static final double USE_MOST = 3;       // no share is taken for more use than this
    private static final double FULL_SHARE = 0.98;  // a delivered share above this is no shortage
    private static final double PROBE_PRICE = 0.004; // one probe a play at this price, two where cheap
    private static final double PROBES_MOST = 2, PROBES_SAVED = 4; // a play earns, a gateway saves so many
    private static final double PROBE_OLD_MS = 60_000; // older figures are all alike
    private static final double PROBE_AGAIN_MS = 500; // a suspect is not probed sooner than this again
    private static final double PROBE_STALE_MS = 1_500; // no host is probed whose figure is younger
    private static final double QUANTILE = 0.9;     // house way: this quantile of answer times judges a host
    private static final int FELLOWS_LEAST = 3;     // no host is judged among fewer
    private static final double SLOW_TIMES = 4;     // slow: so many times its fellows' quantile
    private static final double SLOW_LEAST_MS = 250; // and no less than this
    private static final double SUSPECT_MS = 2_000; // first time out of favour; doubles up to the next
    private static final double SUSPECT_MOST_MS = 8_000;
    private static final int GOOD_TO_CLEAR = 2;     // answers in a row that clear a suspect
    private static final double JUDGED_MOST = 0.4;  // beyond this part of the fleet slowness judges none
    private static final double COLD_MARGIN = 0.6;  // part of the pace that fells a cold host that we may use
    private static final double UNPROVEN_PARTS = 1.2; // we share an unproven host with so many new gateways
    private static final double HOLD_SHARE = 0.85;   // a play is held for this part of its expected time
    private static final double HOLD_OFF_MS = 1_000; // a viewer who is shed is told to come back after this
    private static final double EDGE_MS = 30;       // a last leg's time-out falls so long before the stop
    private static final double SPAN_EDGE_MS = 50;  // the span of the legs' ration is taken longer by this
    private static final double SHARE_BURST_MS = 10_000; // a customer may be ahead of its share by so much
    private static final double AWAY_MS = 1_000;    // a host that turns a leg away is passed over for so long
    private static final double LAST_RESORT = 1e6;  // taken off a suspect's score before its time
    private static final double CREDIT_LEARN = 0.02, LIFE_LEARN = 0.05; // one play in the usual
    private static final double LIFE_MS = 30_000;   // a play's length, until some have been seen to end

    private final Post post;
    private final Ladder ladder;
    private final LinkTerms links;
    private final LegTerms legs;
    private final ColdTerms cold;
    private final ShedTerms sheds;
    private final ReportTerms reports;
    private final MoveTerms moves;
    private final Gateway out;
    private final double middleKb, rackKb;
    private final Map<String, Host> hosts = new TreeMap<>(); // emptied as hosts leave the list
    private final Map<Integer, Rack> racks = new TreeMap<>(); // one for each rack
    private final Map<PlayId, Play> plays = new LinkedHashMap<>(); // emptied as plays end
    private final Map<PlayId, Play> held = new LinkedHashMap<>(); // emptied as they go out or are given up
    private final Map<List<Object>, Integer> seats = new HashMap<>(); // emptied as plays end
    private final Map<CustomerId, Tokens> shares = new HashMap<>(); // one for each customer
    private final Span takes, further; // plays taken and further legs; emptied as the ration's span passes
    private double beyond = 1; // worth of a play beyond its customer's share
    private final List<Stage> chain = List.of(new Terms(), new Placing(), new Quality(), new Sending());
    private final Chance chance;
    private final Gauge all = new Gauge(); // own load everywhere
    private double kbAUnit, sumSize = 1; // told links
    private double averageUse, averageOwn, averageAt = Double.NEGATIVE_INFINITY;
    private double fellows = Double.NaN; // the fellows' usual quantile of answer times
    private double nextRecheck, probeTokens, askAgainAt = Double.POSITIVE_INFINITY;
    private double life = LIFE_MS, credit = 1; // usual length and credit of a play

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
        chance = new Chance(post.seed());
        takes = new Span(legs.spanMs() - SPAN_EDGE_MS);
        further = new Span(legs.spanMs() + SPAN_EDGE_MS);
        for (Share s : shares) {
            double pace = s.playsPerS() / 1000 / post.gateways();
            this.shares.put(s.customer(), new Tokens(pace, pace * SHARE_BURST_MS));
            beyond = s.beyond();
        }
        rackKb = links.rackKb() > 0 ? links.rackKb() : Double.MAX_VALUE;
        int n = ladder.kb().size();
        middleKb = n == 0 ? 1 : Math.sqrt(ladder.kb().get(0) * ladder.kb().get(n - 1));
    }

    // ---- The list of hosts

    public void listRemembered(double now, List<HostLine> lines) {
        listWhole(now, lines);
        for (Host h : hosts.values()) { // an old list: who runs now, and since when, is not proven
            h.unprovenSince = now;
        }
        askAgainAt = reports.askForList() ? now : Double.POSITIVE_INFINITY;
        if (nextRecheck == 0) {
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
                take(new HostLine(h.id, l.place(), l.slots(), l.cell(), HostLine.Standing.GONE, 0, 0), now);
            }
        }
        listChanged(now, lines);
    }

    public void listChanged(double now, List<HostLine> lines) {
        lines.forEach(l -> take(l, now));
        Map<Integer, Double> cells = new TreeMap<>();
        hosts.values().stream().filter(Host::ready).forEach(h -> cells.put(h.line.cell(), units(h.line)));
        sumSize = hosts.values().stream().filter(Host::ready).mapToDouble(h -> units(h.line)).sum();
        if (kbAUnit == 0 && !cells.isEmpty()) { // told as of the start, when each cell has one host
            double all = cells.values().stream().mapToDouble(d -> d).sum();
            kbAUnit = links.allKb() > 0 ? links.allKb() / all : Math.max(links.unitKb(), middleKb);
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
            h.outFor = SUSPECT_MS;
            rack.hosts.add(h);
            hosts.put(l.host().value(), h);
        } else if (l.launched() > h.line.launched()) { // it came back: what was known of it is void
            h.forgetAnswers();
            h.suspect = h.silent = false;
            h.outFor = SUSPECT_MS;
        }
        h.line = l;
        if (l.launched() > 0 && now - l.launched() < cold.warmMs()) {
            h.coldSince = l.launched();
        }
        drop(h);
    }

    private void drop(Host h) { // a host is forgotten when it is off the list and empty
        if (h.line.standing() == HostLine.Standing.GONE && h.mine == 0) {
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

    /** Newer beats older by the time that a figure speaks of. */
    private void tell(Gauge g, double use, double of) {
        if (of >= g.toldOf) {
            g.told = use;
            g.toldOf = of;
            g.ownThen = g.ownAt(of);
            g.allThen = all.ownAt(of);
        }
    }

    private static double weight(Gauge g, double now) {
        return Double.isNaN(g.told) ? 0 : Math.exp(-Math.max(0, now - g.toldOf) / FADE_MS);
    }

    /** The latest report with own load since; as it fades, the guess takes over. */
    private double use(Gauge g, double size, double guess, double now) {
        double w = weight(g, now);
        double fellows = (post.gateways() - 1) * (all.own - g.allThen) / sumSize; // they change as we do
        double told = Math.max(g.own / size, g.told + (g.own - g.ownThen) / size + fellows);
        return w == 0 ? guess : w * told + (1 - w) * guess;
    }

    private double linkUse(Host h, double now) {
        return use(h.link, size(h, now), guess(h, now), now);
    }

    /** Unheard hosts count as average, with more or less by what this gateway itself has there. */
    private double guess(Host h, double now) {
        average(now);
        double own = h.link.own / size(h, now);
        double since = post.gateways() * (all.own - averageOwn); // a crowd within one look counts too
        return Math.max(own, averageUse + own + (since - all.own) / sumSize);
    }

    private void average(double now) {
        if (now - averageAt < LOOK_MS) {
            return;
        }
        averageAt = now;
        double weight = 1;
        double sum = post.gateways() * all.own / sumSize; // exception: own plays stand for fellows' too
        for (Host h : hosts.values()) {
            if (h.ready() && !h.silent) {
                weight += weight(h.link, now);
                sum += weight(h.link, now) * use(h.link, size(h, now), 0, now);
            }
        }
        averageUse = sum / weight;
        averageOwn = all.own;
    }

    /** A rack's uplink, guessed from its hosts' links; where none is told it is never the narrower one. */
    private double uplinkUse(Rack r, double now) {
        double sum = r.hosts.stream().mapToDouble(h -> h.silent ? 0 : linkUse(h, now) * size(h, now)).sum();
        return use(r.uplink, rackKb, sum / rackKb, now);
    }

    private double streams(Host h) {
        return Double.isNaN(h.streamsTold) ? (double) h.mine * post.gateways()
            : Math.max(h.mine, h.streamsTold + h.mine - h.streamsThen);
    }

    private void heard(HostId id, Load load, double of) {
        Host h = hosts.get(id.value());
        if (h == null) {
            return;
        }
        if (!Double.isNaN(load.link())) {
            tell(h.link, load.link(), of);
        }
        if (!Double.isNaN(load.uplink())) {
            tell(h.rack.uplink, load.uplink(), of);
        }
        if (!Double.isNaN(load.streams())) {
            h.streamsTold = load.streams();
            h.streamsThen = h.mine;
        }
    }

    /** Figures about plays that play: NaN for what is not told. */
    public void loadTold(double now, HostId id, Load load) {
        heard(id, load, now - reports.toldLateMs());
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
            for (Gauge g : List.of(h.link, h.rack.uplink)) {
                tell(g, g.told > 1 ? FULL_SHARE : g.told, g.told > 1 ? of : g.toldOf);
            }
            return;
        }
        double mine = 0, shortOnes = 0, sum = 0;
        for (Host f : h.rack.hosts) {
            boolean isShort = f.share < FULL_SHARE && of - f.shareOf < TOGETHER_MS;
            mine += f.mine == 0 ? 0 : 1;
            shortOnes += isShort ? 1 : 0;
            sum += isShort ? f.share : 0;
        }
        boolean denied = weight(h.link, now) > SURE && h.link.told < ROOMY; // its link report says not it
        if (denied || shortOnes >= 2 && shortOnes * 2 >= mine) {
            tell(h.rack.uplink, Math.min(USE_MOST, shortOnes / sum), of);
        } else {
            tell(h.link, Math.min(USE_MOST, 1 / share), of);
        }
    }

    // ---- Plays

    public void wanted(double now, Wanted wish) {
        Play p = new Play(wish, now);
        plays.put(wish.play(), p);
        takes.add(now);
        credit += CREDIT_LEARN * (wish.band().credit() - credit);
        probeTokens = Math.min(PROBES_SAVED,
            probeTokens + Math.min(PROBES_MOST, PROBE_PRICE / reports.probePrice()));
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
            if (v == Verdict.END) {
                giveUp(p, now);
            }
            if (v != Verdict.PASS) {
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
        if (p != null && p.host != null && !p.plays) {
            p.plays = p.answered = true;
            p.startedAt = now;
            p.host.legsOut--;
            p.host.answered(took);
            good(p.host, now);
        }
    }

    public void ended(double now, PlayId id, int leg, HostId on, Outcome how, boolean over, double took,
                      Load load) {
        Play p = plays.get(id);
        if (p == null || !p.legOut || leg != p.legs - 1) {
            return;
        }
        for (int i = chain.size() - 1; i >= 0; i--) {
            chain.get(i).back(p, how, now);
        }
        heard(on, load, now - LOOK_MS);
        if (over || p.answered) {
            plays.remove(id);
            if (p.plays && how == Outcome.SERVED) {
                life += LIFE_LEARN * (now - p.takenAt - life);
            }
        } else if (p.wish.band().paid() && p.mayHaveRun) {
            giveUp(p, now);
        } else {
            run(p, now);
        }
    }

    public void gaveUp(double now, PlayId id) {
        Play p = plays.get(id);
        held.remove(id);
        if (p != null && p.legOut) {
            p.answered = true; // its leg is still to come in
        } else {
            plays.remove(id);
        }
    }

    private void load(Play p, double now) {
        p.host.mine++;
        p.host.legsOut += p.plays ? 0 : 1;
        weigh(p, rate(p, p.rung), now);
        seats.merge(seat(p), 1, Integer::sum);
    }

    private void weigh(Play p, double kb, double now) {
        p.host.link.add(kb, now);
        p.host.rack.uplink.add(kb, now);
        all.add(kb, now);
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

    /** Terms: most legs, seats of title and band, and the customer's share, beyond which a play gives way. */
    private final class Terms implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            int most = p.wish.band().seats();
            if (p.legs >= legs.most() || most > 0 && seats.getOrDefault(seat(p), 0) >= most) {
                return Verdict.END;
            }
            Tokens share = shares.get(p.wish.customer());
            if (share != null && p.legs == 0 && !held.containsKey(p.wish.play())) {
                p.beyondShare = !share.take(now);
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
            double until = p.takenAt + HOLD_SHARE * p.wish.band().expectedMs();
            if (now >= Math.min(until, p.hardStop - 2 * LOOK_MS)) {
                return Verdict.END;
            }
            held.put(p.wish.play(), p);
            return Verdict.KEEP;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            p.host.mine--;
            p.host.legsOut -= p.plays ? 0 : 1;
            weigh(p, -rate(p, p.rung), now);
            drop(p.host);
            if (how != Outcome.SERVED) {
                p.tried.add(p.host);
            }
        }
    }

    /** The holder with the best score; a suspect before its time only where there is no other. */
    private Host best(Play p, double now, Host not) {
        Host best = null;
        double most = Double.NEGATIVE_INFINITY;
        for (Host h : hosts.values()) {
            if (h == not || !h.ready() || !holds(h, p) || p.tried.contains(h) || now < mayTake(h, now)
                || now - h.turnedAwayAt < AWAY_MS
                || h.line.slots() > 0 && streams(h) >= h.line.slots()
                || h.suspect && (p.wish.band().paid() || h.probeOut || h.legsOut > 0)) {
                continue; // a suspect is tried with one play at a time, never with a paid one
            }
            double score = score(h, now) - (h.suspect && now < h.retryAt ? LAST_RESORT : 0);
            if (score > most) {
                most = score;
                best = h;
            }
        }
        return best;
    }

    private boolean holds(Host h, Play p) {
        return links.cells() <= 0 || p.wish.holders() <= 0
            || Math.floorMod(h.line.cell() - p.wish.firstCell(), links.cells()) < p.wish.holders();
    }

    /** The design's score: spare rate, in plays at the middle rate, plus 1 over the percentage of streams. */
    private double score(Host h, double now) {
        double spare = Math.min(size(h, now) * (1 - linkUse(h, now)), rackKb * (1 - uplinkUse(h.rack, now)));
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
        double parts = h.coldSince >= since ? post.gateways() : Math.min(post.gateways(), UNPROVEN_PARTS);
        double gap = parts / (pace * cold.multiple() * COLD_MARGIN);
        double turn = gap * (post.me() + 0.5) / post.gateways(); // fellows begin in turn
        return Math.max(since + turn, h.lastSent + gap);
    }

    /** Quality: the top rung while the chosen host shows room, one lower per step of use above the mark. */
    private final class Quality implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            int rung = p.beyondShare ? p.wish.band().floor() : top(p);
            double size = size(p.host, now);
            double use = linkUse(p.host, now);
            double uplink = uplinkUse(p.host.rack, now);
            while (rung > p.wish.band().floor()
                && Math.max(use + rate(p, rung) / size, uplink + rate(p, rung) / rackKb) > mark(p, rung)) {
                rung--;
            }
            p.rung = rung;
            return Verdict.PASS;
        }
    }

    /** Sending: limits of legs, the leg's time-out; what comes back is judged here first. */
    private final class Sending implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            if (p.legs > 0 && !furtherAllowed(now) || now > p.hardStop - EDGE_MS) {
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
            p.sentAt = now;
            p.rungAt = Double.NEGATIVE_INFINITY; // a set-up is no change: the first may come at once
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
        return legs.share() < 0 || further.count(now) + 1 <= legs.spare() + legs.share() * takes.count(now);
    }

    /** A leg's time-out: what fellows need, so that a further leg still fits; a paid play has just one. */
    private double patience(Play p, double now) {
        double left = p.hardStop - EDGE_MS - now;
        if (p.wish.band().paid() || p.legs + 1 >= legs.most()) {
            return left;
        }
        double expected = p.takenAt + p.wish.band().expectedMs() - now;
        double half = (expected > 0 ? expected : left) / 2;
        double need = Double.isNaN(fellows) ? half : Math.min(half, SLOW_TIMES * fellows);
        return Math.min(left, Math.max(SLOW_LEAST_MS, need));
    }

    // ---- Health

    private void good(Host h, double now) {
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
            case TURNED_AWAY -> h.turnedAwayAt = now;
            default -> { }
        }
    }

    /** Guards against hosts that fail fast (they look idle), stand still, are silent, lost or slow, whatever
     *  the cause; it harms where one chance failure takes a holder of a wanted title out for a while. */
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
            heard(id, load, now - LOOK_MS);
            if (h.suspect && h.silent) {
                good(h, now);
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
        hosts.values().forEach(h -> ease(h.link, linkUse(h, now), p -> p.host == h, now));
        racks.values().forEach(r -> ease(r.uplink, uplinkUse(r, now), p -> p.host.rack == r, now));
        hosts.values().forEach(h -> raise(h, now));
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
        Map<Host, Double> known = new LinkedHashMap<>();
        hosts.values().forEach(h -> known.put(h, h.quantile(QUANTILE)));
        double[] usual = known.values().stream().filter(q -> q > 0).mapToDouble(q -> q).sorted().toArray();
        if (usual.length < FELLOWS_LEAST) {
            return;
        }
        fellows = usual[usual.length / 2];
        double slow = Math.max(SLOW_LEAST_MS, SLOW_TIMES * fellows);
        long listed = hosts.values().stream().filter(Host::ready).count();
        long doubted = hosts.values().stream().filter(h -> h.ready() && h.suspect).count();
        for (Host h : hosts.values()) {
            double worst = known.get(h);
            for (Play p : plays.values()) { // a leg still out tells before it times out
                worst = p.host == h && p.legOut && !p.plays ? Math.max(worst, now - p.sentAt) : worst;
            }
            if (!h.suspect && h.ready() && doubted < JUDGED_MOST * listed && worst > slow) {
                doubt(h, false, "slow, " + worst + " ms against " + fellows, now);
                h.forgetAnswers();
                doubted++;
            }
        }
    }

    /** What the step up to a rung earns for each kB of its rate. */
    private double earnsAKb(Play p, int rung) {
        double value = p.wish.band().credit() * (p.beyondShare ? beyond : 1)
            * (ladder.credit().get(rung) - ladder.credit().get(rung - 1));
        return value / Math.max(1e-9, rate(p, rung) - rate(p, rung - 1));
    }

    /** Steps playing plays down under pressure, least earned a kB first, by our part of what is over. */
    private void ease(Gauge g, double use, Predicate<Play> there, double now) {
        if (use <= HIGH || g.toldOf <= g.cutAt) {
            return;
        }
        g.cutAt = now;
        double need = g.own * (use - CUT_TO) / use;
        Map<Play, Integer> to = new LinkedHashMap<>();
        List<Play> steps = new ArrayList<>(); // each play once for each rung that it can give
        for (Play p : plays.values()) {
            if (p.plays && there.test(p) && now - p.rungAt >= RUNG_GAP_MS) {
                steps.addAll(Collections.nCopies(p.rung - p.wish.band().floor(), p));
            }
        }
        while (need > 0 && !steps.isEmpty()) {
            Play p = Collections.min(steps,
                Comparator.comparing(q -> earnsAKb(q, to.getOrDefault(q, q.rung))));
            int rung = to.getOrDefault(p, p.rung);
            need -= rate(p, rung) - rate(p, rung - 1);
            to.put(p, rung - 1);
            steps.remove(p);
        }
        to.forEach((p, rung) -> change(p, rung, now));
    }

    /** Steps playing plays up where there is room, most earned a kB first, by our part of the room. */
    private void raise(Host h, double now) {
        if (now - h.raisedAt < RAISE_MS || h.mine == 0 || h.suspect) {
            return;
        }
        h.raisedAt = now;
        double size = size(h, now), use = linkUse(h, now), uplink = uplinkUse(h.rack, now);
        double[] ours = {0};
        plays.values().stream().filter(p -> p.host == h && p.plays && p.rung < top(p) && !p.beyondShare
                && now - p.rungAt >= RUNG_GAP_MS)
            .sorted(Comparator.comparing(p -> -earnsAKb(p, p.rung + 1))).forEach(p -> {
                double kb = rate(p, p.rung + 1) - rate(p, p.rung);
                double mark = Math.min(RAISE_MOST, mark(p, p.rung + 1) - RAISE_UNDER);
                double then = (ours[0] + kb) * post.gateways(); // fellows see the same room
                if (Math.max(use + then / size, uplink + then / rackKb) <= mark) {
                    ours[0] += kb;
                    change(p, p.rung + 1, now);
                }
            });
    }

    /** Use up to which a play may have a rung: the mark, and a step more for each rung below its top. */
    private double mark(Play p, int rung) {
        return MARK + STEP * (top(p) - rung);
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
            for (Play p : plays.values()) {
                double saves = lost * p.wish.band().credit() * ladder.credit().get(p.rung)
                    * Math.min(MOVE_SEES_MS, Math.max(0, left(p, now)));
                if (most > 0 && p.host == h && p.plays && (!p.wish.moved() || now - p.takenAt > MOVE_GAP_MS)
                    && saves > MOVE_WORTH * moves.price() * credit * life) {
                    Host to = best(p, now, h);
                    double need = score(h, now) + rate(p, p.rung) / middleKb;
                    if (to != null && !to.suspect && score(to, now) > need) {
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
            double stale = Math.min(PROBE_OLD_MS, now - Math.max(h.link.toldOf, h.probedAt)) + chance.next();
            if (h.suspect) {
                stale = now >= h.retryAt && now - h.probedAt > PROBE_AGAIN_MS ? Double.MAX_VALUE : 0;
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
}
