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
 * Decides who plays, where and at what quality, for one gateway that sees only its own traffic.
 * Called with the time of each thing that happens: lists of hosts (listRemembered, listWhole, listChanged,
 * listLost), wishes (wanted), plays under way (playing), what becomes of legs (started, ended, gaveUp),
 * figures (shareTold, loadTold, rungTold, probed), and wake-ups it asked for (woke). All that it
 * decides leaves through {@link walnutfield.play.GatewayActions}. It holds no clock, wire, I/O or thread.
 */
public final class Director {
    // Times in ms. Each value stands once; docs/design.md says what was measured.
    private static final double LOOK_MS = 100; // held plays, pressure and probes are looked at so often
    private static final double RECHECK_MS = 10_000; // design: moves are weighed so often
    private static final double MOVE_GAP_MS = 30_000; // design: a viewer is moved once in this time
    private static final double RUNG_GAP_MS = 10_000; // design: a playing play changes rung once in this time
    private static final double MOVE_PACE = 0.1; // part of own plays moved at one re-check
    private static final double MOVE_WORTH = 1.5; // a move must save so many times its price
    private static final double MARK = 0.65; // use up to which a new play gets its top rung
    private static final double STEP = 0.14; // and one rung less for each such step above
    private static final double WIDER = 0.08; // an uplink's marks are so much higher
    private static final double HIGH = 1.03; // use from which playing plays are stepped down
    private static final double CUT_TO = 0.95; // and to which
    private static final double FULL = 1.00; // use over which no play is let in at any rung
    private static final double RAISE_UNDER = 0.10; // unsure, steps up stay so much under their mark
    private static final double RAISE_MOST = 0.92; // and never where use would pass this
    private static final double RAISE_MS = 4_000; // a host's plays are stepped up so often at most
    private static final double START_MS = 2_000; // and not for so long after it is first listed
    private static final double RAISE_PART = 0.5; // of our part of the room: a crowd may be on its way
    private static final double FADE_MS = 8_000; // a figure's weight falls by e in this time
    private static final double LEARNT_MS = 60_000; // what was learnt of an uplink falls by e in this time
    private static final double LEARN = 0.1; // part of a figure's difference that is learnt
    private static final double NARROW_MOST = 2.5; // no uplink is reckoned so many times narrower than told
    private static final double TOGETHER_MS = 2_500; // hosts short within this are short together
    private static final double SURE = 0.5, ROOMY = 0.95; // a link report of this weight and use denies it
    private static final double USE_MOST = 3; // no share is taken for more use than this
    private static final double FULL_SHARE = 0.98; // a delivered share above this is no shortage
    private static final double HEARD_LEAST = 0.01; // a figure of less weight tells nothing of the average
    private static final double SELF = 0.3; // weight of what own plays tell of the average
    private static final double FEW = 10; // own plays that tell as much of the fleet as a guess
    private static final double LEAST_SPARE = 0.01; // no holder's odds of being drawn are by less
    private static final double CROSSING = 50; // times its price: how much less spare rate abroad counts
    private static final double UNSURE = 0.30; // use over the guess that a new play's rung allows for
    private static final double PROBE_PRICE = 0.02; // a play earns a probe at this price, more where cheaper
    private static final double ANSWERS = 0.25; // and so much of it where answers tell load too
    private static final double PROBES_SAVED = 4; // and a gateway saves so many
    private static final double ASK_MS = 60; // a play waits so long for a probe
    private static final double PROBE_STALE_MS = 1_500; // no host is probed whose figure is younger
    private static final double STOOD_MS = 250; // we stood still if not even a look came for so long
    private static final double QUANTILE = 0.9; // house way: this quantile of answer times judges a host
    private static final int FELLOWS_LEAST = 3; // no host is judged among fewer
    private static final double SLOW_TIMES = 4; // slow: so many times its fellows' quantile
    private static final double SLOW_LEAST_MS = 250; // and no less than this
    private static final double SUSPECT_MS = 4_000; // time out of favour
    private static final int GOOD_TO_CLEAR = 2; // answers in a row that clear a suspect
    private static final double COLD_MARGIN = 0.6; // part of the pace that fells a cold host that we may use
    private static final double UNPROVEN_PARTS = 1.2; // we share an unproven host with so many new gateways
    private static final double HOLD_SHARE = 0.85; // a play is held for this part of its expected time
    private static final double HOLD_OFF_MS = 1_000; // a viewer who is shed is told to come back after this
    private static final double EDGE_MS = 30; // kept off hard stops and the span of the ration
    private static final Map<Outcome, String> WRONG = Map.of(
            Outcome.FAILED,
            "a failed set-up",
            Outcome.TIMED_OUT,
            "a leg timed out",
            Outcome.UNREACHABLE,
            "unreachable",
            Outcome.CONNECTION_LOST,
            "a play or leg broke off");
    private static final double SHARE_BURST_MS = 10_000; // a customer may be ahead of its share by so much
    private static final double SHARE_BURST = 5; // and by so many plays: few say nothing of a share
    private static final double LAPSE_MS = 15_000; // a suspect that nothing was heard of is forgotten
    private static final double COLD_SPAN_MS = 10_000; // plays taken in this time tell our cold part
    private static final double AWAY_MS = 1_000; // a host that turns a leg away is passed over for so long
    private static final double LAST_RESORT = 1e6; // taken off a suspect's score before its time
    private static final double CREDIT_LEARN = 0.02, LIFE_LEARN = 0.05; // one play in the usual
    private static final double LIFE_MS = 30_000; // a play's length, until some have been seen to end

    private final GatewayIdentity post;
    private final Ladder ladder;
    private final LinkSettings links;
    private final RetryPolicy legs;
    private final SlowStartPolicy cold;
    private final SheddingPolicy sheds;
    private final LoadReportSettings reports;
    private final MoveCosts moves;
    private final GatewayActions out;
    private final double middleKb, rackKb;
    private final Fleet fleet;
    private final Map<PlayId, Play> plays = new LinkedHashMap<>(); // emptied as plays end
    private final Map<PlayId, Play> held = new LinkedHashMap<>(); // emptied as they go out or are given up
    private final Map<List<Object>, Integer> seats = new HashMap<>(); // emptied as plays end
    private final Map<TenantId, Tokens> shares = new HashMap<>(); // one for each customer
    private final Span takes, further; // plays taken and further legs; emptied as the ration's span passes
    private final Span lately = new Span(COLD_SPAN_MS); // plays taken; emptied as the span passes
    private double beyond = 1; // worth of a play beyond its customer's share
    private final List<Stage> chain = List.of(new Terms(), new Placing(), new Quality(), new Sending());
    private final RandomSource chance;
    private final Gauge all = new Gauge(); // own load everywhere
    private double kbAUnit, sumUnits, sumSize = 1; // told links
    private double seenAt = Double.NaN, stoodFrom, stoodTo = Double.NEGATIVE_INFINITY; // when we stood still
    private double averageUse, averageOwn, averageAt = Double.NEGATIVE_INFINITY;
    private double fellows = Double.POSITIVE_INFINITY; // the fellows' usual quantile of answer times
    private double nextRecheck, probeTokens, askAgainAt = Double.POSITIVE_INFINITY;
    private double begunAt = Double.NEGATIVE_INFINITY; // this gateway's life
    private double life = LIFE_MS, credit = 1; // usual length and credit of a play
    private DecisionTracer witness;

    public Director(
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy legs,
            SlowStartPolicy cold,
            SheddingPolicy sheds,
            LoadReportSettings reports,
            MoveCosts moves,
            List<TenantQuota> shares,
            GatewayActions out) {
        this.post = post;
        this.ladder = ladder;
        this.links = links;
        this.legs = legs;
        this.cold = cold;
        this.sheds = sheds;
        this.reports = reports;
        this.moves = moves;
        this.out = out;
        fleet = new Fleet(links.cellCount(), links.rackCount());
        chance = new RandomSource(post.seed());
        takes = new Span(legs.windowMs() - EDGE_MS);
        further = new Span(legs.windowMs() + EDGE_MS);
        for (TenantQuota s : shares) {
            double pace = s.playsPerS() / 1000 / post.gatewayCount();
            this.shares.put(s.tenant(), new Tokens(pace, Math.max(SHARE_BURST, pace * SHARE_BURST_MS)));
            beyond = s.excessWeight();
        }
        rackKb = links.rackUplinkKb() > 0 ? links.rackUplinkKb() : 1e15;
        middleKb = ladder.middleKb();
    }

    /** Who is told why; null for nobody. */
    public void traceTo(DecisionTracer by) {
        witness = by;
    }

    // ---- The list of hosts

    public void persistedHostListLoaded(double now, List<HostDescriptor> lines) {
        hostListReplaced(now, lines);
        fleet.all().forEach(h -> h.unprovenSince = now); // an old list proves nothing of now
        askAgainAt = reports.pullHostList() ? now : Double.POSITIVE_INFINITY;
        begunAt = now;
        if (nextRecheck == 0) { // fellows that start together look at their plays at times of their own
            nextRecheck = now + RECHECK_MS * (0.5 + chance.next());
            out.setTimer(now + LOOK_MS, "look");
        }
    }

    public void hostListReplaced(double now, List<HostDescriptor> lines) {
        Map<String, HostDescriptor> named = new HashMap<>();
        lines.forEach(l -> named.put(l.host().value(), l));
        for (Host h : new ArrayList<>(fleet.all())) {
            HostDescriptor l = h.line;
            if (!named.containsKey(h.id.value())) {
                take(
                        new HostDescriptor(
                                h.id, l.place(), l.maxStreams(), l.cell(), HostDescriptor.LifecycleState.GONE, 0, 0),
                        now);
            }
        }
        hostListUpdated(now, lines);
    }

    public void hostListUpdated(double now, List<HostDescriptor> lines) {
        turn(now);
        lines.forEach(l -> take(l, now));
        if (kbAUnit == 0 && sumUnits > 0) { // told as of the start; uplinks are shared out by their links
            kbAUnit = links.totalLinkKb() > 0
                    ? links.totalLinkKb() / sumUnits
                    : Math.max(links.linkKbPerUnit(), middleKb);
            double aUnit = rackKb * Math.max(1, links.rackCount()) / sumUnits;
            fleet.all().forEach(h -> h.rack.uplinkKb += h.ready() ? aUnit * links.capacityUnits(h.line) : 0);
        }
        lines.forEach(l -> fleet.rack(l.cell()).fill(rackKb)); // a rack that had no host at the start
        sumSize = Math.max(1, sumUnits * kbAUnit);
        averageAt = Double.NEGATIVE_INFINITY;
    }

    public void hostListUnavailable(double now) {
        askAgainAt = now + SUSPECT_MS;
        out.log("list lost: going by the last one, " + fleet.all().size() + " hosts");
    }

    private void take(HostDescriptor l, double now) {
        Host h = fleet.get(l.host());
        sumUnits -= h != null && h.ready() ? links.capacityUnits(h.line) : 0;
        if (h == null) {
            if (l.state() == HostDescriptor.LifecycleState.GONE) {
                return;
            }
            h = fleet.add(l);
            h.raisedAt = now - RAISE_MS + START_MS; // first figures may leave out plays that it began with
        } else if (l.startedAt() > h.line.startedAt()) { // it came back: what was known of it is void
            h.forgetAnswers();
            h.suspect = h.silent = false;
        }
        h.line = l;
        sumUnits += h.ready() ? links.capacityUnits(l) : 0;
        if (l.startedAt() > 0 && now - l.startedAt() < cold.warmMs()) {
            h.coldSince = l.startedAt();
            h.link.tell(0, l.startedAt(), all); // it has just started and carries nothing
        }
        fleet.drop(h);
    }

    /** Told link of a host; a cold one's is smaller by the share that it has warmed. */
    private double size(Host h, double now) {
        return Math.max(1, links.capacityUnits(h.line) * kbAUnit * cold.warmth(h.coldSince, now));
    }

    // ---- What is known of use

    /** The latest report with own load since; as it fades, the guess takes over. */
    private double use(Gauge g, double size, double guess, double now) {
        double w = g.weight(FADE_MS, now);
        double theirs = g.told * grown(g.allThen) * (post.gatewayCount() - 1) / post.gatewayCount();
        double told = Math.max(g.own / size, g.told + (g.own - g.ownThen) / size + theirs);
        return w == 0 ? guess : w * told + (1 - w) * guess;
    }

    /** By what part the fellows' load grew: as ours did, in so far as ours is more than a few plays. */
    private double grown(double since) {
        return (all.own - since) / (since + FEW * middleKb);
    }

    /** From 1 down to 0: how little this gateway can tell of hosts by its own plays there. */
    private double unsure() {
        return post.gatewayCount() == 1
                ? 0
                : fleet.all().size() / (double) (fleet.all().size() + plays.size());
    }

    private double linkUse(Host h, double now) {
        return use(h.link, size(h, now), guess(h, now), now);
    }

    /** Unheard hosts count as average, with more or less by what this gateway itself has there. */
    private double guess(Host h, double now) {
        if (now - averageAt >= LOOK_MS) {
            averageAt = now;
            fleet.heard.removeIf(f -> f.link.weight(FADE_MS, now) < HEARD_LEAST);
            double sure = post.gatewayCount() == 1 ? 1 : plays.size() / (plays.size() + FEW);
            double weight = SELF; // exception: own plays stand for fellows' too, the fewer the less
            double sum = SELF * (sure * post.gatewayCount() * all.own / sumSize + (1 - sure) * MARK);
            for (Host f : fleet.heard) {
                double w = f.ready() && !f.silent ? f.link.weight(FADE_MS, now) : 0;
                weight += w;
                sum += w * use(f.link, size(f, now), 0, now);
            }
            averageUse = sum / weight;
            averageOwn = all.own;
        }
        double own = h.link.own / size(h, now);
        return Math.max(own, averageUse * (1 + grown(averageOwn)) + own - all.own / sumSize);
    }

    /** A rack's uplink, guessed from its hosts' links; where none is told it is never the narrower one. */
    private double uplinkUse(Rack r, double now) {
        return use(r.uplink, r.uplinkKb, uplinkGuess(r, now) * r.narrow(LEARNT_MS, now), now);
    }

    private double uplinkGuess(Rack r, double now) {
        double sum = r.hosts.stream()
                .mapToDouble(h -> h.silent ? 0 : linkUse(h, now) * size(h, now))
                .sum();
        return sum / r.uplinkKb;
    }

    /** Exception: what figures tell of an uplink over its guess is kept for longer than they. Guards against
     *  racks much narrower than the told mean, which are filled again as each figure fades; it harms where
     *  plays there are few and their links are guessed ill. */
    private void uplinkTold(Rack r, double use, double of) {
        double guess = uplinkGuess(r, seenAt), was = r.narrow(LEARNT_MS, seenAt);
        if (guess > 0) {
            r.learn(was + LEARN * (Math.min(NARROW_MOST, use / guess) - was), seenAt);
        }
        r.uplink.tell(use, of, all);
    }

    /** Streams in use; where none are told, as many as plays at the middle rate make that use. */
    private double streams(Host h, double now) {
        double mine = h.plays.size();
        return Math.max(
                mine,
                Double.isNaN(h.streamsTold)
                        ? linkUse(h, now) * size(h, now) / middleKb
                        : h.streamsTold + mine - h.streamsThen);
    }

    private void heard(HostId id, LoadReport load, double of) {
        Host h = fleet.get(id);
        if (h == null) {
            return;
        }
        if (!Double.isNaN(load.linkUse())) {
            h.link.tell(load.linkUse(), of, all);
            fleet.heard.add(h);
        }
        if (!Double.isNaN(load.uplinkUse())) {
            uplinkTold(h.rack, load.uplinkUse(), of);
        }
        if (!Double.isNaN(load.activeStreams())) {
            h.streamsTold = load.activeStreams();
            h.streamsThen = h.plays.size();
        }
    }

    /** Figures about plays that play: NaN for what is not told. */
    public void loadReported(double now, HostId id, LoadReport load) {
        turn(now);
        heard(id, load, from(now) - reports.reportDelayMs());
    }

    /** A share under 1 says that link or uplink is over by its inverse; fellows of the rack tell which. */
    public void deliveredShareReported(double now, HostId id, double share) {
        Host h = fleet.get(id);
        if (h == null) {
            return;
        }
        turn(now);
        double of = from(now) - reports.reportDelayMs();
        fleet.heard.add(h);
        h.share = share;
        h.shareOf = of;
        if (share >= FULL_SHARE) {
            Stream.of(h.link, h.rack.uplink).filter(g -> g.told > 1).forEach(g -> g.tell(FULL_SHARE, of, all));
            return;
        }
        h.shortOf = of;
        double mine = 0, shortOnes = 0, sum = 0;
        for (Host f : h.rack.hosts) {
            boolean isShort = f.share < FULL_SHARE && of - f.shareOf < TOGETHER_MS;
            mine += f.plays.isEmpty() ? 0 : 1;
            shortOnes += isShort ? 1 : 0;
            sum += isShort ? f.share : 0;
        }
        if (h.link.weight(FADE_MS, now) > SURE && h.link.told < ROOMY // its link's report denies it
                || shortOnes >= 2 && shortOnes * 2 >= mine) {
            uplinkTold(h.rack, Math.min(USE_MOST, shortOnes / sum), of);
        } else {
            h.link.tell(Math.min(USE_MOST, 1 / share), of, all);
        }
    }

    // ---- Plays

    public void playRequested(double now, PlayRequest wish) {
        turn(now);
        double waited =
                Math.min(now - from(now), Math.max(0, wish.trafficClass().deadlineMs() - wish.remainingWaitMs()));
        Play p = new Play(wish, now - waited, now, chance.next());
        plays.put(wish.play(), p);
        if (!wish.gatewayInitiated()) {
            takes.add(now);
        }
        lately.add(now);
        credit += CREDIT_LEARN * (wish.trafficClass().weight() - credit);
        earnProbes();
        run(p, now);
    }

    private void earnProbes() {
        double spent = PROBE_PRICE * (reports.loadInResponses() ? ANSWERS : 1) * unsure();
        double earned = spent / Math.max(1e-9, reports.probeCost());
        probeTokens = Math.min(PROBES_SAVED, probeTokens + earned);
    }

    /** A play that was under way at the start. */
    public void playInProgress(double now, PlayRequest wish, HostId id) {
        Host h = fleet.get(id);
        if (h == null) {
            return;
        }
        Play p = new Play(wish, now, now, chance.next());
        p.plays = p.answered = p.legOut = true;
        p.startedAt = now;
        p.host = h;
        p.legs = 1;
        h.unprovenSince = Double.NEGATIVE_INFINITY;
        plays.put(wish.play(), p);
        earnProbes();
        load(p, now);
    }

    public void rungReported(double now, PlayId id, int rung) {
        Play p = plays.get(id);
        if (p != null && p.host != null) {
            weigh(p, p.kb(ladder, rung) - p.kb(ladder, p.rung), now);
            p.rung = p.rungTold = rung;
        }
    }

    private void run(Play p, double now) {
        for (Stage s : chain) {
            Verdict v = s.pass(p, now);
            if (witness != null) {
                witness.stagePassed(p.wish.play(), s.getClass().getSimpleName(), v.name());
            }
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
        if (p.wish.trafficClass().paid() && p.mayHaveRun) {
            out.failPlay(p.wish.play());
        } else {
            out.shedPlay(p.wish.play(), Math.min(HOLD_OFF_MS, sheds.mostHoldOffMs()));
        }
    }

    public void legStarted(double now, PlayId id, int leg, HostId on, double took) {
        turn(now);
        Play p = plays.get(id);
        if (p != null && p.host != null && !p.plays) {
            p.plays = p.answered = true;
            p.startedAt = now;
            p.host.legsOut--;
            if (now > stoodTo) { // else we waited, not the host
                p.host.answered(took);
                fellows = fleet.median(QUANTILE, FELLOWS_LEAST);
            }
            good(p.host, now);
        }
    }

    public void legEnded(
            double now, PlayId id, int leg, HostId on, Outcome how, boolean over, double took, LoadReport load) {
        turn(now);
        Play p = plays.get(id);
        if (p == null || !p.legOut || leg != p.legs - 1) {
            return;
        }
        for (int i = chain.size() - 1; i >= 0; i--) {
            chain.get(i).back(p, how, now);
        }
        heard(on, load, from(now) - LOOK_MS);
        if (over || p.answered) {
            plays.remove(id);
            if (p.plays && how == Outcome.SERVED) {
                life += LIFE_LEARN * (now - p.takenAt - life);
            }
        } else if (p.wish.trafficClass().paid() && p.mayHaveRun) {
            giveUp(p, now);
        } else {
            run(p, now);
        }
    }

    public void viewerLeft(double now, PlayId id) {
        Play p = plays.get(id);
        held.remove(id);
        if (p != null && p.legOut) {
            p.answered = true; // its leg is still to come in
            return;
        }
        plays.remove(id);
    }

    /** This gateway ends now: every play without its final answer gets it; a leg that is out may have run. */
    public void shutdownStarted(double now) {
        for (Play p : new ArrayList<>(plays.values())) {
            if (!p.answered) {
                p.mayHaveRun |= p.legOut;
                giveUp(p, now);
            }
        }
    }

    private void load(Play p, double now) {
        fleet.put(p);
        p.host.legsOut += p.plays ? 0 : 1;
        weigh(p, p.kb(ladder, p.rung), now);
        seats.merge(p.wish.seatKey(), 1, Integer::sum);
    }

    private void weigh(Play p, double kb, double now) {
        p.host.link.add(kb, now);
        p.host.rack.uplink.add(kb, now);
        all.add(kb, now);
    }

    /** Terms: most legs, seats of title and band, and the customer's share, beyond which a play gives way. */
    private final class Terms implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            int most = p.wish.trafficClass().seats();
            if (p.legs >= legs.maxLegs() || most > 0 && seats.getOrDefault(p.wish.seatKey(), 0) >= most) {
                return Verdict.END;
            }
            Tokens share = shares.get(p.wish.tenant());
            if (share != null && p.legs == 0 && !held.containsKey(p.wish.play())) {
                p.part = share.take(now) ? 1 : beyond;
            }
            return Verdict.PASS;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            seats.computeIfPresent(p.wish.seatKey(), (k, n) -> n <= 1 ? null : n - 1);
        }
    }

    /** Placing: the design's score over the title's holders; keeps the play while none can take it. */
    private final class Placing implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            boolean waits = p.asked != null && p.asked.probeOut && now - p.asked.probedAt < ASK_MS;
            p.host = waits ? null : best(p, now, null);
            if (p.host != null && !asks(p.asked = p.host, now)) {
                held.remove(p.wish.play());
                return Verdict.PASS;
            }
            double until = p.takenAt + HOLD_SHARE * p.wish.trafficClass().latencyTargetMs();
            if (now >= Math.min(until, p.hardStop - 2 * LOOK_MS)) {
                return Verdict.END;
            }
            held.put(p.wish.play(), p);
            return Verdict.KEEP;
        }

        @Override
        public void back(Play p, Outcome how, double now) {
            p.host.legsOut -= p.plays ? 0 : 1;
            weigh(p, -p.kb(ladder, p.rung), now);
            fleet.off(p);
            if (how != Outcome.SERVED) {
                p.tried.add(p.host);
            }
        }
    }

    /** Exception: where probes are allowed, the best holder is asked if its figure is old, and the choice
     *  is made again. Guards against hosts little known or away; it harms where answers are slow. */
    private boolean asks(Host h, double now) {
        if (!reports.probingAllowed()
                || probeTokens < 1
                || h.probeOut
                || now - Math.max(h.link.toldOf, h.probedAt) < PROBE_STALE_MS) {
            return false;
        }
        probeTokens--;
        h.probeOut = true;
        h.probedAt = now;
        out.probeHost(h.id);
        return true;
    }

    /** The holder with the best score; a suspect before its time only where there is no other. Exception: of
     *  the holders that no fresh figure tells of one counts, drawn at odds by its spare rate. Guards against
     *  gateways that know nothing of many hosts and all take the largest; it harms where guesses are good. */
    private Host best(Play p, double now, Host not) {
        Host best = null;
        double most = Double.NEGATIVE_INFINITY, odds = 0;
        Map<Host, Double> unheard = new LinkedHashMap<>();
        for (Host h : fleet.holders(p.wish.firstCell(), p.wish.holderCount())) {
            boolean doubted = h.suspect && now < h.retryAt + LAPSE_MS;
            String why = h == not
                    ? "left"
                    : !h.ready()
                            ? "not ready"
                            : p.tried.contains(h)
                                    ? "tried"
                                    : now < mayTake(h, p, now)
                                            ? "cold"
                                            : now - h.turnedAwayAt < AWAY_MS
                                                    ? "turned away"
                                                    : h.line.maxStreams() > 0 && streams(h, now) >= h.line.maxStreams()
                                                            ? "no slots"
                                                            : doubted
                                                                            && (p.wish.trafficClass()
                                                                                            .paid()
                                                                                    || h.probeOut
                                                                                    || h.legsOut > 0)
                                                                    ? "suspect"
                                                                    : null;
            if (why != null) { // a suspect is tried with one play at a time, never with a paid one
                weighed(p, h, why, Double.NaN, now);
                continue;
            }
            double score = score(h, now);
            boolean last = doubted && now < h.retryAt || h.probeOut && now - h.probedAt >= ASK_MS;
            weighed(p, h, null, score, now);
            if (!last && h.link.weight(FADE_MS, now) < SURE && post.gatewayCount() > 1) {
                odds += Math.max(LEAST_SPARE, score);
                unheard.put(h, score);
                continue;
            }
            score -= last ? LAST_RESORT : 0;
            if (score > most) {
                most = score;
                best = h;
            }
        }
        double at = unheard.isEmpty() ? 0 : odds * chance.next();
        for (Map.Entry<Host, Double> u : unheard.entrySet()) {
            at -= Math.max(LEAST_SPARE, u.getValue());
            if (at < 0) {
                return u.getValue() > most ? u.getKey() : best;
            }
        }
        return best;
    }

    private void weighed(Play p, Host h, String not, double score, double now) {
        if (witness != null) { // what a host that is passed over carries is not reckoned: that leaves traces
            boolean scored = not == null;
            witness.candidateScored(
                    p.wish.play(),
                    h.id,
                    not,
                    score,
                    scored ? linkUse(h, now) : Double.NaN,
                    scored ? uplinkUse(h.rack, now) : Double.NaN,
                    h.link.weight(FADE_MS, now));
        }
    }

    /** The design's score: spare rate, in plays at the middle rate, plus 1 over the percentage of streams.
     *  Exception: spare rate in another place counts less, by the price of crossing. Guards against it and
     *  against places cut off or lost; it harms where viewers crowd into one place. */
    private double score(Host h, double now) {
        double spare = Math.min(size(h, now) * (1 - linkUse(h, now)), h.rack.uplinkKb * (1 - uplinkUse(h.rack, now)));
        double percent = h.line.maxStreams() > 0 ? 100 * streams(h, now) / h.line.maxStreams() : 100;
        boolean here = h.line.place().equals(post.place());
        double away = here || spare < 0 ? 1 : 1 + CROSSING * moves.crossPlaceCost();
        return spare / middleKb / away + 1 / Math.max(1, percent);
    }

    /** When a host may next be sent a set-up: a cold or unproven one at our part of a safe pace. Where that
     *  is under one play in the time that counts, plays pass by chance, at odds that sum to the pace over all
     *  gateways however many plays each takes, as a play counts in its own odds. */
    private double mayTake(Host h, Play p, double now) {
        double unproven = mayTake(h, p, h.unprovenSince, Math.min(post.gatewayCount(), UNPROVEN_PARTS), now);
        return Math.max(unproven, mayTake(h, p, h.coldSince, post.gatewayCount(), now)); // fellows see both
    }

    private double mayTake(Host h, Play p, double since, double parts, double now) {
        if (cold.warmMs() <= 0 || cold.overloadMs() <= 0 || now - since >= cold.warmMs() || h.line.maxStreams() <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double pace = h.line.maxStreams() / cold.warmMs() * cold.warmth(since, now); // set-ups a ms
        double gap = parts / (pace * cold.overloadFactor() * COLD_MARGIN);
        if (gap > cold.overloadMs()) {
            double known = Math.min(COLD_SPAN_MS, Math.max(LOOK_MS, now - begunAt)); // a new life saw few
            double seen = lately.count(now) * (parts < post.gatewayCount() ? 1 : COLD_SPAN_MS / known);
            double odds = COLD_SPAN_MS / (gap * Math.max(1, seen));
            return p.luck < odds ? h.lastSent + gap : Double.POSITIVE_INFINITY;
        }
        double turn = gap * (post.index() + 0.5) / post.gatewayCount(); // fellows begin in turn
        return Math.max(since + turn, h.lastSent + gap);
    }

    /** Quality: the top rung while the chosen host shows room, one lower per step of use above the mark.
     *  Exception: no play is let in where its lowest rung passes what link or uplink gives. Guards against
     *  crowds and weak links, where each play more takes from all; harms where use is reckoned too high. */
    private final class Quality implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            double size = size(p.host, now), uplinkKb = p.host.rack.uplinkKb;
            double use = linkUse(p.host, now), uplink = uplinkUse(p.host.rack, now);
            double unsure = UNSURE * unsure() * (1 - p.host.link.weight(FADE_MS, now));
            int floor = p.wish.trafficClass().minRung();
            p.rung = p.part < 1 ? floor : ladder.top(p.wish);
            while (p.rung > floor
                    && Math.max(
                                    use + unsure + p.kb(ladder, p.rung) / size,
                                    uplink + p.kb(ladder, p.rung) / uplinkKb - WIDER)
                            > mark(p, p.rung)) {
                p.rung--;
            }
            double kb = p.kb(ladder, floor);
            return Math.max(use + kb / size, uplink + kb / uplinkKb) > FULL ? Verdict.END : Verdict.PASS;
        }
    }

    /** Sending: limits of legs, the leg's time-out; what comes back is judged here first. */
    private final class Sending implements Stage {
        @Override
        public Verdict pass(Play p, double now) {
            boolean spent = legs.retryRatio() >= 0
                    && further.count(now) + 1 > legs.baseRetries() + legs.retryRatio() * takes.count(now);
            if (p.legs > 0 && spent || now > p.hardStop - EDGE_MS) {
                return Verdict.END;
            }
            if (p.legs > 0) {
                further.add(now);
            }
            if (p.rung != p.rungTold) {
                out.setRung(p.wish.play(), p.rung);
                p.rungTold = p.rung;
            }
            out.setUpLeg(p.wish.play(), p.host.id, patience(p, now));
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
            if (how != Outcome.TIMED_OUT || now > stoodTo) { // else the time ran out while we stood still
                judge(p.host, how, now);
            }
        }
    }

    /** A leg's time-out: what fellows need, so that a further leg still fits; a paid play has just one. */
    private double patience(Play p, double now) {
        double left = p.hardStop - EDGE_MS - now;
        if (p.wish.trafficClass().paid() || p.legs + 1 >= legs.maxLegs()) {
            return left;
        }
        double expected = p.takenAt + p.wish.trafficClass().latencyTargetMs() - now;
        double most = (expected > 0 ? expected : left) / 2;
        return Math.min(left, Math.max(SLOW_LEAST_MS, Math.min(most, SLOW_TIMES * fellows)));
    }

    // ---- Health

    private void good(Host h, double now) {
        if (h.silent) { // it may have been away: reckon it as just started
            h.coldSince = Math.max(h.coldSince, now);
            h.silent = false;
        }
        if (h.suspect && ++h.goodInRow >= GOOD_TO_CLEAR) {
            h.suspect = false;
            out.log("host " + h.id.value() + " sound again after " + h.goodInRow + " good answers");
        }
    }

    private void judge(Host h, Outcome how, double now) {
        if (how == Outcome.REJECTED) {
            h.turnedAwayAt = now;
        } else if (WRONG.containsKey(how)) {
            doubt(h, how != Outcome.FAILED, WRONG.get(how), now);
        }
    }

    /** Guards against hosts that fail fast (they look idle), stand still, are silent, lost or slow, whatever
     *  the cause; it harms where one chance failure takes a holder of a wanted title out for a while. */
    private void doubt(Host h, boolean silent, String why, double now) {
        if (!h.suspect) {
            out.log("host " + h.id.value() + " suspect: " + why + ", out for " + SUSPECT_MS + " ms");
        }
        h.retryAt = now + SUSPECT_MS;
        h.suspect = true;
        h.silent |= silent;
        h.goodInRow = 0;
    }

    public void probeCompleted(double now, HostId id, Outcome how, double took, LoadReport load) {
        turn(now);
        Host h = fleet.get(id);
        if (h == null) {
            return;
        }
        h.probeOut = false;
        if (how == Outcome.SERVED) {
            heard(id, load, from(now) - LOOK_MS); // no proof that set-ups work: their answers may be lost
        } else if (how != Outcome.TIMED_OUT && how != Outcome.UNREACHABLE && how != Outcome.CONNECTION_LOST) {
            return;
        } else if (now > stoodTo) {
            doubt(h, true, "a probe went unanswered", now);
        }
        for (Play p : new ArrayList<>(held.values())) {
            if (p.asked == h) {
                run(p, now);
            }
        }
    }

    /** Guards against a gateway that stood still: what ran out or came late then says nothing of hosts,
     *  and plays and figures are as old as they are. It harms where a host failed in just that time. */
    private void turn(double now) {
        if (now - seenAt > STOOD_MS) {
            stoodFrom = seenAt;
            stoodTo = now;
            out.log("stood still for " + (now - seenAt) + " ms: time-outs of that time are not counted");
        }
        seenAt = now;
    }

    /** The earliest time at which what is heard now may have come. */
    private double from(double now) {
        return now > stoodTo ? now : stoodFrom;
    }

    // ---- What the next life of this gateway may know

    /** Facts of others that still mean the same; own load, plays, seats, reports and answer times do not. */
    public LearnedState learnedState(double now) {
        List<LearnedState.UplinkCorrection> uplinks = fleet.racks().entrySet().stream()
                .map(r -> new LearnedState.UplinkCorrection(
                        r.getKey(), r.getValue().narrow(LEARNT_MS, now)))
                .filter(u -> Math.abs(u.narrow() - 1) > HEARD_LEAST)
                .toList();
        List<LearnedState.HostHealth> hosts = fleet.all().stream()
                .filter(h -> h.suspect || now - h.coldSince < cold.warmMs())
                .map(h -> new LearnedState.HostHealth(
                        h.id, h.line.startedAt(), h.suspect, h.silent, h.retryAt, Math.max(0, h.coldSince)))
                .toList();
        return new LearnedState(now, life, uplinks, hosts);
    }

    /** It only adds doubt: no host is sounder, warmer or less full for it. Guards against a start that finds
     *  each bad host and narrow rack out anew; it harms where they mended meanwhile, as in one life. */
    public void learnedStateRestored(double now, LearnedState was) {
        turn(now);
        double age = now - was.at();
        if (!(age >= 0 && age <= LEARNT_MS)) {
            if (was.at() > 0) {
                out.log("what was learnt " + age + " ms ago is too old or of another clock: starting afresh");
            }
            return;
        }
        life = was.life() > 0 ? was.life() : life;
        was.uplinks().stream()
                .filter(u -> u.rack() >= 0 && u.rack() < links.rackCount())
                .forEach(u -> fleet.rack(u.rack()).learn(Math.min(NARROW_MOST, Math.max(0, u.narrow())), was.at()));
        for (LearnedState.HostHealth d : was.hosts()) {
            Host h = fleet.get(d.host());
            if (h != null && h.line.startedAt() == d.startedAt()) { // else it is another life of the host
                h.suspect |= d.outlier();
                h.silent |= d.unresponsive();
                h.retryAt = Math.max(h.retryAt, Math.min(d.retryAt(), now + SUSPECT_MS));
                h.coldSince = Math.max(h.coldSince, Math.min(d.coldSince(), now));
            }
        }
    }

    // ---- What is looked at again and again

    public void timerFired(double now, String mark) {
        turn(now);
        out.setTimer(now + LOOK_MS, "look");
        for (Play p : new ArrayList<>(held.values())) {
            run(p, now);
        }
        compare(now);
        fleet.busy.values().forEach(h -> ease(h.link, h.plays, () -> linkUse(h, now), now));
        fleet.busy.values().stream()
                .map(h -> h.rack)
                .distinct()
                .forEach(r -> ease(r.uplink, r.plays(), () -> uplinkUse(r, now), now));
        fleet.busy.values().forEach(h -> raise(h, now));
        if (now >= nextRecheck) {
            nextRecheck = now + RECHECK_MS;
            recheck(now);
        }
        if (now >= askAgainAt) {
            askAgainAt = Double.POSITIVE_INFINITY;
            out.watchHostList();
        }
    }

    /** The house way: a host is judged by a high quantile of its answer times against its fellows'. */
    private void compare(double now) {
        double slow = Math.max(SLOW_LEAST_MS, SLOW_TIMES * fellows);
        for (Host h : fleet.busy.values()) {
            double worst = h.quantile(QUANTILE);
            for (Play p : h.plays) { // a leg still out tells before it times out
                worst = p.legOut && !p.plays ? Math.max(worst, now - Math.max(p.sentAt, stoodTo)) : worst;
            }
            if (!h.suspect && h.ready() && worst > slow) {
                doubt(h, false, "slow, " + worst + " ms against " + fellows, now);
                h.forgetAnswers();
                fellows = fleet.median(QUANTILE, FELLOWS_LEAST);
            }
        }
    }

    /** Steps playing plays down under pressure, least earned a kB first, by our part of what is over. */
    private void ease(Gauge g, Collection<Play> there, DoubleSupplier reckoned, double now) {
        double use = g.toldOf > g.cutAt ? reckoned.getAsDouble() : 0;
        if (use <= HIGH) {
            return;
        }
        g.cutAt = now;
        double need = g.own * (use - CUT_TO) / use;
        Map<Play, Integer> to = new LinkedHashMap<>();
        there.stream().filter(p -> p.mayChange(now - RUNG_GAP_MS)).forEach(p -> to.put(p, p.rung));
        while (need > 0) {
            Play p = to.keySet().stream()
                    .filter(q -> to.get(q) > q.wish.trafficClass().minRung())
                    .min(Comparator.comparing(q -> q.earnsAKb(ladder, to.get(q))))
                    .orElse(null);
            double kb = p == null ? 0 : p.kb(ladder, to.get(p)) - p.kb(ladder, to.get(p) - 1);
            if (p == null || !passes(need * (1 + (CUT_TO - mark(p, to.get(p))) / (2 * STEP)), kb)) {
                break; // a lone play gives the likelier the more of its rung is over its mark
            }
            need -= kb;
            to.merge(p, -1, Integer::sum);
        }
        to.forEach((p, rung) -> change(p, rung, now));
    }

    /** Takes part of a whole by chance, one among all gateways at least, so that their sum is right. Guards
     *  against hundreds of gateways that each take one at least, or none; it harms where chance tells ill. */
    private boolean passes(double part, double whole) {
        return part >= whole || chance.next() < Math.max(part / whole, 1.0 / post.gatewayCount());
    }

    /** Steps playing plays up where there is room, most earned a kB first, by our part of the room. */
    private void raise(Host h, double now) {
        if (now - h.raisedAt < RAISE_MS || now - h.shortOf < RUNG_GAP_MS || h.suspect) {
            return;
        }
        List<Play> lower = h.plays.stream()
                .filter(p -> p.rung < ladder.top(p.wish) && p.part == 1 && p.mayChange(now - RUNG_GAP_MS))
                .sorted(Comparator.comparing(p -> -p.earnsAKb(ladder, p.rung + 1)))
                .toList();
        if (lower.isEmpty() || h.probeOut || asks(h, now)) {
            return;
        }
        h.raisedAt = now;
        double size = size(h, now), use = linkUse(h, now), uplink = uplinkUse(h.rack, now), ours = 0;
        double part = RAISE_PART * Math.max(1.0 / post.gatewayCount(), h.plays.size() / streams(h, now));
        for (Play p : lower) {
            for (int rung = ladder.top(p.wish), from = p.rung; rung > from && p.rung == from; rung--) {
                double kb = p.kb(ladder, rung) - p.kb(ladder, from);
                double mark = Math.min(RAISE_MOST, mark(p, rung) - RAISE_UNDER * unsure());
                double room = Math.min((mark - use) * size, (mark + WIDER - uplink) * h.rack.uplinkKb);
                if (ours + kb <= room && passes(room * part - ours, kb)) { // fellows see the same room
                    ours += kb;
                    change(p, rung, now);
                }
            }
        }
    }

    /** Use up to which a play may have a rung: the mark, and a step more for each rung below its top. */
    private double mark(Play p, int rung) {
        return MARK + STEP * (ladder.top(p.wish) - rung);
    }

    private void change(Play p, int rung, double now) {
        if (rung != p.rung) {
            weigh(p, p.kb(ladder, rung) - p.kb(ladder, p.rung), now);
            p.rung = p.rungTold = rung;
            p.rungAt = now;
            out.setRung(p.wish.play(), rung);
        }
    }

    /** The design's re-check: moves plays off short links, where that saves more than it costs. */
    private void recheck(double now) {
        double most = MOVE_PACE * plays.size();
        for (Host h : fleet.busy.values()) {
            double lost = Math.min(1, ladder.stall() * (FULL_SHARE - h.share));
            if (now - h.shareOf > TOGETHER_MS + reports.reportDelayMs() || lost <= 0) {
                continue;
            }
            for (Play p : h.plays) {
                double left =
                        p.wish.expectedDurationMs() > 0 ? p.startedAt + p.wish.expectedDurationMs() - now : life / 2;
                double saves = lost
                        * p.wish.trafficClass().weight()
                        * ladder.credit().get(p.rung)
                        * Math.min(RECHECK_MS, Math.max(0, left));
                if (most > 0
                        && p.plays
                        && (!p.wish.moved() || now - p.takenAt > MOVE_GAP_MS)
                        && saves > MOVE_WORTH * moves.moveCost() * credit * life) {
                    Host to = best(p, now, h);
                    double need = score(h, now) + p.kb(ladder, p.rung) / middleKb;
                    if (to != null && !to.suspect && score(to, now) > need && passes(most--, 1)) {
                        out.movePlay(p.wish.play());
                        out.log("moved a play off " + h.id.value() + ": share " + h.share);
                    }
                }
            }
        }
    }
}
