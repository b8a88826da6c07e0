package walnutfield.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistWriter;
import walnutfield.hls.Segment;
import walnutfield.net.Clock;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Query;
import walnutfield.net.Server;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.sse.Event;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Rules;

/**
 * All media hosts of a rehearsal, each on a port of its own. Links and rack uplinks are shared by all plays; hosts
 * warm up, fall over, turn away, and fail as they are told to. One lock holds them all.
 */
public final class MediaHosts implements AutoCloseable {
    private static final Pattern SESSION = Pattern.compile("/sessions/([A-Za-z0-9._-]+)(/events)?");
    private static final Pattern MEDIA = Pattern.compile("/media/([0-9]+)/([0-9]+)/([0-9]+)\\.ts");
    private static final Limits LIMITS = new Limits(20_000, 16_384, 60, 65_536, 10_000, 30_000, 30_000, 4);
    private static final double TICK_MS = 100;
    private static final double BEAT_MS = 500;
    private static final double STREAMLESS_MS = 2_000; // a session that no gateway listens to ends after this
    private static final double SHORT = 0.98;
    private static final int REBINDS = 100;
    private static final long REBIND_NS = 20_000_000;
    private static final int PACKET = 188; // a transport stream packet: segments are tiny

    /** One session on a host. */
    private static final class Session {
        String gateway;
        String play;
        String band;
        long title;
        int rung;
        double rateKb;
        double since;
        double fetchedAt;
        double streamLostAt;
        boolean serving;
        boolean wasShort;
        int fetched;
        Exchange stream;
        boolean call; // over SIP: heard of by its gateway's OPTIONS, not by a stream
    }

    /** What set-ups by another protocol need of one host. */
    final class Door {
        private final Host host;

        private Door(Host host) {
            this.host = host;
        }

        String name() {
            return host.plan.name();
        }

        int port() {
            return host.port;
        }

        /** Changes whenever the host has lost what it had. */
        double life() {
            synchronized (MediaHosts.this) {
                return host.startedAt;
            }
        }

        boolean isReachable() {
            synchronized (MediaHosts.this) {
                return host.up && !host.silent;
            }
        }

        /** True where the host stands: then it is run when that is over. */
        boolean standsUntil(Runnable what) {
            synchronized (MediaHosts.this) {
                if (host.standing) {
                    host.stood.add(what);
                }
                return host.standing;
            }
        }

        /** Takes a set-up: how long it works on it, or less than 0 where it does not, with 503, 500 or nothing to say. */
        double admit(String play, String gateway, String band, long title, int rung) {
            return MediaHosts.this.admit(host, play, gateway, band, title, rung, true);
        }

        /** A set-up is through; false where its answer does not leave. */
        boolean started(String play) {
            synchronized (MediaHosts.this) {
                Session s = host.sessions.get(play);
                if (s == null || !host.up || host.silent || host.answersLost) {
                    return false;
                }
                s.serving = true;
                auditor.legOver(play, host.plan.name(), Auditor.Fate.SERVED, Clock.now());
                return true;
            }
        }

        /** False where it knows nothing of it. */
        boolean rung(String play, int rung) {
            synchronized (MediaHosts.this) {
                Session s = host.sessions.get(play);
                if (s != null) {
                    s.rung = rung;
                    s.rateKb = rate(s);
                    auditor.rungChanged(play, host.plan.name(), s.band, rung, Clock.now());
                }
                return s != null;
            }
        }

        int rungOf(String band, double kbitS) {
            int best = 0;
            for (int r = 0; r < terms.ladder().kb().size(); r++) {
                best = terms.ladder().rate(terms.bands().get(band), r) * 8 <= kbitS + 0.01 ? r : best;
            }
            return best;
        }

        String band(String play) {
            synchronized (MediaHosts.this) {
                Session s = host.sessions.get(play);
                return s == null ? null : s.band;
            }
        }

        void over(String play) {
            MediaHosts.this.over(host, play);
        }

        /** That life of a gateway still follows its calls here. */
        void heardOf(String life) {
            synchronized (MediaHosts.this) {
                double now = Clock.now();
                host.sessions.values().stream()
                        .filter(s -> s.call && s.play.startsWith(life + "-"))
                        .forEach(s -> s.fetchedAt = now);
            }
        }

        LoadReport load() {
            synchronized (MediaHosts.this) {
                return new LoadReport(host.toldLink, host.toldUplink, host.toldStreams);
            }
        }

        double share() {
            synchronized (MediaHosts.this) {
                return MediaHosts.this.share(host, Clock.now());
            }
        }
    }

    /** Ways into the hosts for another protocol. */
    List<Door> doors() {
        return hosts.values().stream().map(Door::new).toList();
    }

    private final class Host {
        final HostPlan plan;
        final Map<String, Session> sessions = new LinkedHashMap<>(); // emptied as they end
        final List<Runnable> stood = new ArrayList<>(); // what waits for it to go on
        final List<Double> setUps = new ArrayList<>(); // while cold
        int port;
        boolean up = true;
        boolean silent;
        boolean standing;
        boolean answersLost;
        double failing;
        double slowMs;
        double linkPart = 1;
        double startedAt = Double.NEGATIVE_INFINITY;
        double toldLink;
        double toldUplink;
        double toldStreams;

        Host(HostPlan plan) {
            this.plan = plan;
        }

        double linkKb(double now) {
            return plan.linkKb() * linkPart * terms.cold().warmth(startedAt, now);
        }

        double askedKb() {
            return sessions.values().stream().mapToDouble(s -> s.rateKb).sum();
        }
    }

    private final HostTerms terms;
    private final Auditor auditor;
    private final SplittableRandom random;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Host> byPort = new ConcurrentHashMap<>();
    private final Server server;
    private final ScheduledExecutorService timers;
    private double beatAt;
    private double tellAt;
    private double refreshAt;
    private double lateMore;
    private final Map<Long, Double> growsSince = new HashMap<>(); // one for each title that grows

    public MediaHosts(List<HostPlan> plans, HostTerms terms, long seed, Auditor auditor) throws IOException {
        this.terms = terms;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        timers = Executors.newScheduledThreadPool(2, r -> {
            Thread t = new Thread(r, "hosts-timers");
            t.setDaemon(true);
            return t;
        });
        server = new Server("hosts", 2, LIMITS, this::take);
        server.start();
        for (HostPlan p : plans) {
            Host h = new Host(p);
            h.port = server.bind(0);
            hosts.put(p.name(), h);
            byPort.put(h.port, h);
            auditor.host(p.name(), p.slots());
        }
        timers.scheduleAtFixedRate(this::tick, (long) TICK_MS, (long) TICK_MS, TimeUnit.MILLISECONDS);
    }

    public int port(String host) {
        return hosts.get(host).port;
    }

    public List<HostPlan> plans() {
        return hosts.values().stream().map(h -> h.plan).toList();
    }

    // ---- Faults

    /** Lost at once with all that it has. */
    public void crash(String host) {
        Host h = hosts.get(host);
        synchronized (this) {
            if (!h.up) {
                return;
            }
            down(h);
        }
        unplug(h);
    }

    private void down(Host h) {
        h.up = false;
        byPort.remove(h.port);
        dropAll(h);
    }

    /**
     * Never under the lock, and so for what else waits for the server's threads: these wait for the lock in turn, and both
     * stand until the server's patience is over.
     */
    private void unplug(Host h) {
        server.unbind(h.port);
        server.cut(h.port);
    }

    /** Comes back after a crash, cold, at the same address. */
    public void restart(String host) throws IOException {
        Host h = hosts.get(host);
        synchronized (this) {
            if (h.up) {
                return;
            }
        }
        for (int tries = 0; ; tries++) { // what comes before it is up is aborted
            try {
                server.bind(h.port);
                break;
            } catch (java.net.BindException e) { // the port of before is let go by another thread
                if (tries == REBINDS) {
                    throw e;
                }
                java.util.concurrent.locks.LockSupport.parkNanos(REBIND_NS);
            }
        }
        synchronized (this) {
            byPort.put(h.port, h);
            h.up = true;
            cold(h);
        }
    }

    private void cold(Host h) {
        h.startedAt = Clock.now();
        h.setUps.clear();
        h.toldLink = h.toldUplink = h.toldStreams = 0;
        auditor.hostStarted(h.plan.name(), h.startedAt);
    }

    public double startedAt(String host) {
        return Math.max(0, hosts.get(host).startedAt);
    }

    /** Says nothing and resets nothing; when that is over it has lost all and is cold. */
    public void silent(String host, boolean on) {
        Host h = hosts.get(host);
        if (!on) {
            server.cut(h.port);
        }
        synchronized (this) {
            h.silent = on;
            if (!on) {
                dropAll(h);
                cold(h);
            }
        }
    }

    /** Answers nothing for a time, then all that came meanwhile. */
    public void standing(String host, boolean on) {
        List<Runnable> all;
        synchronized (this) {
            Host h = hosts.get(host);
            h.standing = on;
            all = on ? List.of() : new ArrayList<>(h.stood);
            h.stood.clear();
        }
        all.forEach(Runnable::run);
    }

    /** Set-ups run, but their answers do not arrive; probes are answered. */
    public synchronized void answersLost(String host, boolean on) {
        hosts.get(host).answersLost = on;
    }

    /** So many of the set-ups fail, at once. */
    public synchronized void failing(String host, double share) {
        hosts.get(host).failing = share;
    }

    /** Set-ups take so much longer. */
    public synchronized void slow(String host, double ms) {
        hosts.get(host).slowMs = ms;
    }

    /** What all hosts tell of playing plays is so much later than usual. */
    public synchronized void reportsLate(double ms) {
        lateMore = ms;
    }

    /** Its link gives this part of what it did. */
    public synchronized void link(String host, double part) {
        hosts.get(host).linkPart = part;
    }

    private void dropAll(Host h) {
        double now = Clock.now();
        for (Session s : h.sessions.values()) {
            auditor.sessionLost(s.play, h.plan.name(), now);
        }
        h.sessions.clear();
        h.stood.clear();
    }

    // ---- Requests

    private void take(Exchange x) {
        Host h = byPort.get(x.port());
        if (h == null) {
            x.abort();
            return;
        }
        Matcher m = SESSION.matcher(x.request().path());
        boolean setUp = m.matches() && x.request().method().equals("POST");
        if (setUp) {
            cameIn(h, x, m.group(1));
        }
        synchronized (this) {
            if (h.silent) {
                return;
            }
            if (h.standing) {
                h.stood.add(() -> serve(h, x));
                return;
            }
        }
        serve(h, x);
    }

    private void cameIn(Host h, Exchange x, String play) {
        Query q = x.request().parameters();
        auditor.legCame(
                gateway(x),
                play,
                (int) q.whole("leg", 0),
                h.plan.name(),
                q.get("band", ""),
                q.whole("title", 0),
                (int) q.whole("rung", 0),
                Clock.now());
        x.onGone(() -> auditor.legOver(play, h.plan.name(), Auditor.Fate.CLOSED, Clock.now()));
    }

    private static String gateway(Exchange x) {
        String via = x.request().headers().get("Via");
        return via == null ? "" : via.substring(via.indexOf(' ') + 1);
    }

    private void serve(Host h, Exchange x) {
        if (x.isDone()) {
            return;
        }
        Matcher media = MEDIA.matcher(x.request().path());
        Matcher session = SESSION.matcher(x.request().path());
        if (media.matches()) {
            segment(h, x, Integer.parseInt(media.group(3)));
        } else if (x.request().path().equals("/load")) {
            x.answer(204, loaded(h), new byte[0]);
        } else if (!session.matches()) {
            x.answer(404, Headers.NONE, new byte[0]);
        } else if (session.group(2) != null) {
            listen(h, x, session.group(1));
        } else {
            switch (x.request().method()) {
                case "POST" -> setUp(h, x, session.group(1));
                case "GET" -> reload(h, x, session.group(1));
                case "PUT" -> setRung(h, x, session.group(1));
                case "DELETE" -> {
                    over(h, session.group(1));
                    x.answer(204, Headers.NONE, new byte[0]);
                }
                default -> x.answer(405, Headers.NONE, new byte[0]);
            }
        }
    }

    private Headers loaded(Host h) {
        synchronized (this) {
            return Headers.of(LoadField.NAME, LoadField.write(new LoadReport(h.toldLink, h.toldUplink, h.toldStreams)));
        }
    }

    private static final double TURNED_AWAY = -503;
    private static final double REFUSED = -500;
    private static final double NOTHING = -1;

    private void setUp(Host h, Exchange x, String play) {
        Query q = x.request().parameters();
        double work =
                admit(h, play, gateway(x), q.get("band", ""), q.whole("title", 0), (int) q.whole("rung", 0), false);
        if (work >= 0) {
            timers.schedule(() -> answerSetUp(h, x, play), (long) (work * 1000), TimeUnit.MICROSECONDS);
        } else if (work != NOTHING) {
            x.answer((int) -work, loaded(h), new byte[0]);
        }
    }

    /** How long a host works on a set-up; less than 0 where it does not take it. */
    private double admit(Host h, String play, String gateway, String band, long title, int rung, boolean call) {
        double now = Clock.now();
        synchronized (this) {
            if (!h.up) {
                return NOTHING;
            }
            if (!fallsOver(h, now)) {
                return taken(h, play, gateway, band, title, rung, call, now);
            }
            auditor.hostFell(h.plan.name(), h.startedAt, now);
            down(h);
        }
        unplug(h);
        return NOTHING;
    }

    private double taken(
            Host h, String play, String gateway, String band, long title, int rung, boolean call, double now) {
        boolean full =
                h.sessions.size() >= h.plan.slots() || terms.guard() > 0 && h.askedKb() > terms.guard() * h.linkKb(now);
        HostTerms.Piece piece = terms.pieces().get(title);
        boolean lacks = piece != null && rung > piece.topRung();
        if (full || lacks || random.nextDouble() < h.failing) {
            auditor.legOver(play, h.plan.name(), full ? Auditor.Fate.TURNED_AWAY : Auditor.Fate.FAILED, now);
            return full ? TURNED_AWAY : REFUSED;
        }
        Session s = new Session();
        s.gateway = gateway;
        s.play = play;
        s.band = band;
        s.title = title;
        s.rung = rung;
        s.call = call;
        s.rateKb = rate(s);
        s.since = s.fetchedAt = s.streamLostAt = now;
        h.sessions.put(play, s);
        return terms.workMs() * (0.5 + random.nextDouble()) + h.slowMs;
    }

    private void answerSetUp(Host h, Exchange x, String play) {
        byte[] body;
        synchronized (this) {
            Session s = h.sessions.get(play);
            if (s == null || !h.up || h.silent || h.answersLost) {
                return;
            }
            if (h.standing) {
                h.stood.add(() -> answerSetUp(h, x, play));
                return;
            }
            if (x.isDone()) {
                return;
            }
            s.serving = true;
            s.streamLostAt = Clock.now();
            body = playlist(h, s);
            auditor.legOver(play, h.plan.name(), Auditor.Fate.SERVED, Clock.now());
        }
        x.answer(200, loaded(h).with("Content-Type", "application/vnd.apple.mpegurl"), body);
    }

    /** More than so many times the cold pace in the time that fells it. */
    private boolean fallsOver(Host h, double now) {
        if (terms.cold().warmMs() <= 0 || now - h.startedAt >= terms.cold().warmMs()) {
            return false;
        }
        double fall = terms.cold().overloadMs();
        h.setUps.add(now);
        h.setUps.removeIf(t -> t < now - fall);
        return h.setUps.size() > Rules.coldMost(terms.cold(), h.plan.slots(), h.startedAt, now);
    }

    /** True rates lie off the ladder, by title. */
    private double rate(Session s) {
        double off = (new SplittableRandom(s.title).nextDouble() * 2 - 1) * terms.offLadder();
        return terms.ladder().rate(terms.bands().get(s.band), s.rung) * (1 + off);
    }

    private void setRung(Host h, Exchange x, String play) {
        byte[] body;
        synchronized (this) {
            Session s = h.sessions.get(play);
            if (s == null) {
                x.answer(404, Headers.NONE, new byte[0]);
                return;
            }
            s.rung = (int) x.request().parameters().whole("rung", s.rung);
            s.fetchedAt =
                    Math.max(s.fetchedAt, Clock.now() + x.request().parameters().whole("pause", 0));
            s.rateKb = rate(s);
            auditor.rungChanged(play, h.plan.name(), s.band, s.rung, Clock.now());
            body = playlist(h, s);
        }
        x.answer(200, loaded(h), body);
    }

    private void reload(Host h, Exchange x, String play) {
        byte[] body;
        synchronized (this) {
            Session s = h.sessions.get(play);
            body = s == null ? null : playlist(h, s);
        }
        x.answer(body == null ? 404 : 200, loaded(h), body == null ? new byte[0] : body);
    }

    /** Segments of a title that there are by now; every other host has them a segment later than the rest. */
    private int grown(Host h, long title) {
        if (title > terms.growing() || terms.pieces().containsKey(title)) {
            return segments(title);
        }
        double now = Clock.now();
        double since = growsSince.computeIfAbsent(title, t -> now);
        return (int) Math.max(
                0, Math.min(terms.segments(), 2 - h.plan.cell() % 2 + (now - since) / (terms.segmentS() * 1000)));
    }

    private byte[] playlist(Host h, Session s) {
        long title = s.title;
        int rung = s.rung;
        HostTerms.Piece piece = terms.pieces().get(title);
        if (piece != null && piece.damaged()) {
            return "#EXTM3U\n#EXTINF:soon,\n".getBytes(StandardCharsets.UTF_8);
        }
        double segmentS = piece == null ? terms.segmentS() : piece.segmentS();
        double left = piece == null ? terms.segments() * segmentS : piece.durationS();
        List<Segment> all = new ArrayList<>();
        int there = grown(h, title);
        for (int i = 0; left > 1e-6 && i < there; i++) {
            double d = Math.min(left, segmentS);
            all.add(new Segment("media/" + title + "/" + rung + "/" + i + ".ts", d, "", null, false, List.of()));
            left -= d;
        }
        boolean whole = left <= 1e-6;
        boolean grows = piece == null && title <= terms.growing();
        return PlaylistWriter.write(new MediaPlaylist(
                        3,
                        (int) Math.ceil(segmentS),
                        0,
                        0,
                        grows ? MediaPlaylist.Type.EVENT : MediaPlaylist.Type.VOD,
                        List.of(),
                        all,
                        whole))
                .getBytes(StandardCharsets.UTF_8);
    }

    private int segments(long title) {
        HostTerms.Piece piece = terms.pieces().get(title);
        return piece == null ? terms.segments() : (int) Math.ceil(piece.durationS() / piece.segmentS() - 1e-6);
    }

    private void listen(Host h, Exchange x, String play) {
        synchronized (this) {
            Session s = h.sessions.get(play);
            if (s == null) {
                x.answer(404, Headers.NONE, new byte[0]);
                return;
            }
            s.stream = x;
            x.begin(200, Headers.of("Content-Type", "text/event-stream", "Cache-Control", "no-store"));
            x.piece(": here\n\n".getBytes(StandardCharsets.UTF_8));
        }
        x.onGone(() -> {
            synchronized (this) {
                Session s = h.sessions.get(play);
                if (s != null && s.stream == x) {
                    s.stream = null;
                    s.streamLostAt = Clock.now();
                    auditor.sessionOver(play, h.plan.name(), s.streamLostAt); // the gateway holds it no more
                }
            }
        });
    }

    private void segment(Host h, Exchange x, int number) {
        double late = 0;
        int packets = 1;
        synchronized (this) {
            String id = x.request().parameters().get("session", "");
            Session s = h.sessions.get(id); // null for a play that has moved on: what was listed is still served
            if (s != null) {
                s.fetchedAt = Math.max(s.fetchedAt, Clock.now());
                s.fetched = Math.max(s.fetched, number + 1);
                packets = s.rung + 1;
                double share = share(h, Clock.now());
                late = terms.segmentS() * 1000 * Math.max(0, 1 / Math.max(0.2, share) - 1);
            }
        }
        byte[] bytes = new byte[PACKET * packets];
        for (int i = 0; i < bytes.length; i += PACKET) {
            bytes[i] = 0x47;
        }
        Headers type = Headers.of("Content-Type", "video/mp2t");
        if (late < 1) {
            x.answer(200, type, bytes);
        } else {
            timers.schedule(
                    () -> {
                        if (!x.isDone()) {
                            x.answer(200, type, bytes);
                        }
                    },
                    (long) late,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void over(Host h, String play) {
        synchronized (this) {
            Session s = h.sessions.remove(play);
            if (s != null) {
                auditor.sessionOver(play, h.plan.name(), Clock.now());
                if (s.stream != null) {
                    s.stream.end();
                }
            }
        }
    }

    // ---- Time

    private double uplinkKb(int rack) {
        return terms.rackKb().isEmpty()
                ? Double.POSITIVE_INFINITY
                : terms.rackKb().get(rack % terms.rackKb().size());
    }

    private double rackAsked(int rack) {
        return hosts.values().stream()
                .filter(o -> o.plan.rack() == rack)
                .mapToDouble(Host::askedKb)
                .sum();
    }

    /** The share of its rates that every play on the host gets. */
    private double share(Host h, double now) {
        double link = h.linkKb(now) / Math.max(1, h.askedKb());
        double uplink = uplinkKb(h.plan.rack()) / Math.max(1, rackAsked(h.plan.rack()));
        return Math.min(1, Math.min(link, uplink));
    }

    private double noisy(double v) {
        return v * (1 + (random.nextDouble() * 2 - 1) * terms.noise());
    }

    private void tick() {
        try {
            synchronized (this) {
                tickAll(Clock.now());
            }
        } catch (RuntimeException e) {
            e.printStackTrace();
        }
    }

    private void tickAll(double now) {
        boolean beat = now >= beatAt;
        boolean tell = terms.tellMs() > 0 && now >= tellAt;
        beatAt = beat ? now + BEAT_MS : beatAt;
        tellAt = tell ? now + terms.tellMs() : tellAt;
        if (now >= refreshAt) {
            refreshAt = now + terms.refreshMs();
            for (Host h : hosts.values()) {
                h.toldLink = noisy(h.askedKb() / Math.max(1, h.linkKb(now)));
                h.toldUplink = noisy(rackAsked(h.plan.rack()) / uplinkKb(h.plan.rack()));
                h.toldStreams = h.sessions.size();
            }
        }
        for (Host h : hosts.values()) {
            if (!h.up || h.silent || h.standing) {
                continue;
            }
            double share = share(h, now);
            Map<String, Boolean> toldTo = new HashMap<>(); // each gateway hears on one of its sessions there
            for (Session s : new ArrayList<>(h.sessions.values())) {
                if (s.call) {
                    if (now - s.fetchedAt > terms.idleMs()) { // its gateway is no more
                        over(h, s.play);
                    }
                    continue;
                }
                if (s.stream == null) {
                    if (now - s.streamLostAt > STREAMLESS_MS) {
                        over(h, s.play);
                    }
                    continue;
                }
                if (s.fetched >= segments(s.title) || now - s.fetchedAt > terms.idleMs()) {
                    s.stream.piece(new Event("end", s.fetched >= segments(s.title) ? "whole" : "idle").bytes());
                    over(h, s.play);
                    continue;
                }
                if (beat) {
                    s.stream.piece(": beat\n\n".getBytes(StandardCharsets.UTF_8));
                    if (toldTo.putIfAbsent(s.gateway, true) == null && (share < SHORT || s.wasShort)) {
                        later(s, new Event("share", Double.toString(Math.min(1, share))));
                        s.wasShort = share < SHORT;
                    }
                }
                if (tell && toldTo.put(s.gateway, false) != Boolean.FALSE) {
                    later(s, new Event("load", LoadField.write(new LoadReport(h.toldLink, Double.NaN, Double.NaN))));
                }
            }
        }
    }

    private void later(Session s, Event e) {
        Exchange to = s.stream;
        timers.schedule(() -> to.piece(e.bytes()), (long) (terms.lateMs() + lateMore), TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        server.close();
    }
}
