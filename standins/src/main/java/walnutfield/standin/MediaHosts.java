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
 * All simulated media hosts of a rehearsal, each on its own port. Plays share the links and rack uplinks. Hosts go
 * through slow start, crash when overloaded meanwhile, reject set-ups when full, and show the faults injected into
 * them. A single lock guards the state of all hosts.
 */
public final class MediaHosts implements AutoCloseable {
    private static final Pattern SESSION = Pattern.compile("/sessions/([A-Za-z0-9._-]+)(/events)?");
    private static final Pattern MEDIA = Pattern.compile("/media/([0-9]+)/([0-9]+)/([0-9]+)\\.ts");
    private static final Limits LIMITS = new Limits(20_000, 16_384, 60, 65_536, 10_000, 30_000, 30_000, 4);
    private static final double TICK_MS = 100;
    private static final double HEARTBEAT_PERIOD_MS = 500;
    private static final double MAX_WITHOUT_STREAM_MS =
            2_000; // a session without an event stream to its gateway ends after this
    private static final double MIN_FULL_SHARE = 0.98; // a lower delivered share is reported to gateways
    private static final int MAX_REBINDS = 100;
    private static final long REBIND_DELAY_NS = 20_000_000;
    private static final int TS_PACKET_BYTES = 188; // size of a transport stream packet; a segment is rung + 1 of them

    /** A session on a host. */
    private static final class Session {
        String gateway;
        String play;
        String trafficClass;
        long title;
        int rung;
        double rateKbPerS;
        double startedAt;
        double lastActiveAt; // latest sign of use; may be set ahead to allow for a pause
        double streamLostAt;
        boolean serving;
        boolean shareWasReduced;
        int fetchedSegments;
        Exchange eventStream;
        boolean isCall; // over SIP: kept alive by its gateway's OPTIONS, not by an event stream
    }

    /** Access to one host for set-ups over another protocol than HTTP. */
    final class HostAccess {
        private final Host host;

        private HostAccess(Host host) {
            this.host = host;
        }

        String name() {
            return host.plan.name();
        }

        int port() {
            return host.port;
        }

        /** When the host last started; changes whenever it has lost its sessions. */
        double startedAt() {
            synchronized (MediaHosts.this) {
                return host.startedAt;
            }
        }

        boolean isReachable() {
            synchronized (MediaHosts.this) {
                return host.up && !host.unresponsive;
            }
        }

        /** Whether the host is paused; if so, the task runs when the pause ends. */
        boolean deferIfPaused(Runnable task) {
            synchronized (MediaHosts.this) {
                if (host.paused) {
                    host.deferredTasks.add(task);
                }
                return host.paused;
            }
        }

        /**
         * Admits a set-up: the ms that the host takes for it, or a negative value if it is not admitted: the negative
         * status to answer with (503 or 500), or -1 for no answer.
         */
        double admit(String play, String gateway, String trafficClass, long title, int rung) {
            return MediaHosts.this.admit(host, play, gateway, trafficClass, title, rung, true);
        }

        /** Completes a set-up; false if its answer cannot be sent. */
        boolean completeSetUp(String play) {
            synchronized (MediaHosts.this) {
                Session session = host.sessions.get(play);
                if (session == null || !host.up || host.unresponsive || host.answersLost) {
                    return false;
                }
                session.serving = true;
                auditor.legEnded(play, host.plan.name(), Auditor.LegOutcome.SERVED, Clock.now());
                return true;
            }
        }

        /** Changes a session's rung; false if the host does not know the session. */
        boolean setRung(String play, int rung) {
            synchronized (MediaHosts.this) {
                Session session = host.sessions.get(play);
                if (session != null) {
                    session.rung = rung;
                    session.rateKbPerS = actualRateKbPerS(session);
                    auditor.rungChanged(play, host.plan.name(), session.trafficClass, rung, Clock.now());
                }
                return session != null;
            }
        }

        /** The highest rung whose rate for the traffic class fits into the given bitrate. */
        int highestRungWithin(String trafficClass, double maxKbitS) {
            int highest = 0;
            for (int candidate = 0; candidate < settings.ladder().ratesKb().size(); candidate++) {
                highest = settings.ladder().rateKb(settings.trafficClasses().get(trafficClass), candidate) * 8
                                <= maxKbitS + 0.01
                        ? candidate
                        : highest;
            }
            return highest;
        }

        /** Name of the session's traffic class; null if the host does not know the session. */
        String trafficClassOf(String play) {
            synchronized (MediaHosts.this) {
                Session session = host.sessions.get(play);
                return session == null ? null : session.trafficClass;
            }
        }

        void endSession(String play) {
            MediaHosts.this.endSession(host, play);
        }

        /** Keeps the calls of a gateway incarnation alive, as it still polls this host. */
        void keepCallsAlive(String incarnation) {
            synchronized (MediaHosts.this) {
                double now = Clock.now();
                host.sessions.values().stream()
                        .filter(session -> session.isCall && session.play.startsWith(incarnation + "-"))
                        .forEach(session -> session.lastActiveAt = now);
            }
        }

        LoadReport load() {
            synchronized (MediaHosts.this) {
                return new LoadReport(host.reportedLinkUse, host.reportedUplinkUse, host.reportedStreams);
            }
        }

        double deliveredShare() {
            synchronized (MediaHosts.this) {
                return MediaHosts.this.deliveredShare(host, Clock.now());
            }
        }
    }

    /** Access to each of the hosts for another protocol. */
    List<HostAccess> hostAccess() {
        return hosts.values().stream().map(HostAccess::new).toList();
    }

    /** The state of one host. */
    private final class Host {
        final HostPlan plan;
        final Map<String, Session> sessions = new LinkedHashMap<>(); // by play; removed as they end
        final List<Runnable> deferredTasks = new ArrayList<>(); // tasks to run when the pause ends
        final List<Double> recentSetUps = new ArrayList<>(); // times, during slow start
        int port;
        boolean up = true;
        boolean unresponsive;
        boolean paused;
        boolean answersLost;
        double failureRatio;
        double extraSetUpMs;
        double linkFactor = 1;
        double startedAt = Double.NEGATIVE_INFINITY;
        double reportedLinkUse;
        double reportedUplinkUse;
        double reportedStreams;

        Host(HostPlan plan) {
            this.plan = plan;
        }

        /** What the link delivers, in kB per second: less during slow start. */
        double availableKbPerS(double now) {
            return plan.linkKbPerS() * linkFactor * settings.slowStart().warmth(startedAt, now);
        }

        /** What the host's sessions ask of its link, in kB per second. */
        double requestedKbPerS() {
            return sessions.values().stream()
                    .mapToDouble(session -> session.rateKbPerS)
                    .sum();
        }
    }

    private final MediaHostSettings settings;
    private final Auditor auditor;
    private final SplittableRandom random;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<Integer, Host> hostsByPort = new ConcurrentHashMap<>();
    private final Server server;
    private final ScheduledExecutorService timers;
    private double nextHeartbeatAt;
    private double nextLinkReportAt;
    private double nextRefreshAt;
    private double extraReportDelayMs;
    private final Map<Long, Double> growthStartedAt = new HashMap<>(); // by growing title

    public MediaHosts(List<HostPlan> plans, MediaHostSettings settings, long seed, Auditor auditor) throws IOException {
        this.settings = settings;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        timers = Executors.newScheduledThreadPool(2, task -> {
            Thread thread = new Thread(task, "hosts-timers");
            thread.setDaemon(true);
            return thread;
        });
        server = new Server("hosts", 2, LIMITS, this::handle);
        server.start();
        for (HostPlan plan : plans) {
            Host host = new Host(plan);
            host.port = server.bind(0);
            hosts.put(plan.name(), host);
            hostsByPort.put(host.port, host);
            auditor.hostAdded(plan.name(), plan.slots());
        }
        timers.scheduleAtFixedRate(this::tick, (long) TICK_MS, (long) TICK_MS, TimeUnit.MILLISECONDS);
    }

    public int port(String name) {
        return hosts.get(name).port;
    }

    public List<HostPlan> plans() {
        return hosts.values().stream().map(host -> host.plan).toList();
    }

    // ---- Faults

    /** Crashes a host: it loses all of its sessions and connections. */
    public void crash(String name) {
        Host host = hosts.get(name);
        synchronized (this) {
            if (!host.up) {
                return;
            }
            takeDown(host);
        }
        closePort(host);
    }

    private void takeDown(Host host) {
        host.up = false;
        hostsByPort.remove(host.port);
        dropSessions(host);
    }

    /**
     * Closes a host's port. Neither this nor any other call that waits for the server's threads may be made under the
     * lock: those threads wait for the lock in turn, and both sides would block until the server's timeout.
     */
    private void closePort(Host host) {
        server.unbind(host.port);
        server.resetConnections(host.port);
    }

    /** Restarts a crashed host at the same address, in slow start. */
    public void restart(String name) throws IOException {
        Host host = hosts.get(name);
        synchronized (this) {
            if (host.up) {
                return;
            }
        }
        for (int attempts = 0; ; attempts++) { // requests that arrive before the host is up are aborted
            try {
                server.bind(host.port);
                break;
            } catch (java.net.BindException e) { // another thread has not released the old port yet
                if (attempts == MAX_REBINDS) {
                    throw e;
                }
                java.util.concurrent.locks.LockSupport.parkNanos(REBIND_DELAY_NS);
            }
        }
        synchronized (this) {
            hostsByPort.put(host.port, host);
            host.up = true;
            enterSlowStart(host);
        }
    }

    private void enterSlowStart(Host host) {
        host.startedAt = Clock.now();
        host.recentSetUps.clear();
        host.reportedLinkUse = host.reportedUplinkUse = host.reportedStreams = 0;
        auditor.hostStarted(host.plan.name(), host.startedAt);
    }

    /** When the host last started; 0 if it has been running since before the rehearsal. */
    public double startedAt(String name) {
        return Math.max(0, hosts.get(name).startedAt);
    }

    /**
     * Makes a host unresponsive: it neither answers nor closes connections. When that ends, it has lost its sessions
     * and is in slow start.
     */
    public void setUnresponsive(String name, boolean unresponsive) {
        Host host = hosts.get(name);
        if (!unresponsive) {
            server.resetConnections(host.port);
        }
        synchronized (this) {
            host.unresponsive = unresponsive;
            if (!unresponsive) {
                dropSessions(host);
                enterSlowStart(host);
            }
        }
    }

    /** Pauses a host; when the pause ends, it answers everything that arrived meanwhile. */
    public void setPaused(String name, boolean paused) {
        List<Runnable> tasks;
        synchronized (this) {
            Host host = hosts.get(name);
            host.paused = paused;
            tasks = paused ? List.of() : new ArrayList<>(host.deferredTasks);
            host.deferredTasks.clear();
        }
        tasks.forEach(Runnable::run);
    }

    /** Set-ups run, but their answers are lost; probes are answered. */
    public synchronized void setAnswersLost(String name, boolean lost) {
        hosts.get(name).answersLost = lost;
    }

    /** Makes the given share of set-ups fail immediately. */
    public synchronized void setFailureRatio(String name, double ratio) {
        hosts.get(name).failureRatio = ratio;
    }

    /** Makes set-ups take longer by the given time. */
    public synchronized void setExtraSetUpMs(String name, double extraMs) {
        hosts.get(name).extraSetUpMs = extraMs;
    }

    /** Delays all hosts' reports about running plays by the given time in addition to the usual delay. */
    public synchronized void setExtraReportDelayMs(double extraMs) {
        extraReportDelayMs = extraMs;
    }

    /** Reduces what the host's link delivers to the given share of its rate. */
    public synchronized void setLinkFactor(String name, double factor) {
        hosts.get(name).linkFactor = factor;
    }

    private void dropSessions(Host host) {
        double now = Clock.now();
        for (Session session : host.sessions.values()) {
            auditor.sessionLost(session.play, host.plan.name(), now);
        }
        host.sessions.clear();
        host.deferredTasks.clear();
    }

    // ---- Requests

    private void handle(Exchange exchange) {
        Host host = hostsByPort.get(exchange.port());
        if (host == null) {
            exchange.abort();
            return;
        }
        Matcher sessionPath = SESSION.matcher(exchange.request().path());
        boolean isSetUp = sessionPath.matches() && exchange.request().method().equals("POST");
        if (isSetUp) {
            reportLeg(host, exchange, sessionPath.group(1));
        }
        synchronized (this) {
            if (host.unresponsive) {
                return;
            }
            if (host.paused) {
                host.deferredTasks.add(() -> serve(host, exchange));
                return;
            }
        }
        serve(host, exchange);
    }

    /** Reports a set-up that arrived to the auditor, and its closing by the gateway. */
    private void reportLeg(Host host, Exchange exchange, String play) {
        Query query = exchange.request().parameters();
        auditor.legArrived(
                gatewayOf(exchange),
                play,
                (int) query.getLong("leg", 0),
                host.plan.name(),
                query.get("band", ""),
                query.getLong("title", 0),
                (int) query.getLong("rung", 0),
                Clock.now());
        exchange.onDisconnect(() -> auditor.legEnded(play, host.plan.name(), Auditor.LegOutcome.CLOSED, Clock.now()));
    }

    private static String gatewayOf(Exchange exchange) {
        String via = exchange.request().headers().get("Via");
        return via == null ? "" : via.substring(via.indexOf(' ') + 1);
    }

    private void serve(Host host, Exchange exchange) {
        if (exchange.isDone()) {
            return;
        }
        Matcher mediaPath = MEDIA.matcher(exchange.request().path());
        Matcher sessionPath = SESSION.matcher(exchange.request().path());
        if (mediaPath.matches()) {
            sendSegment(host, exchange, Integer.parseInt(mediaPath.group(3)));
        } else if (exchange.request().path().equals("/load")) {
            exchange.respond(204, loadHeaders(host), new byte[0]);
        } else if (!sessionPath.matches()) {
            exchange.respond(404, Headers.NONE, new byte[0]);
        } else if (sessionPath.group(2) != null) {
            openEventStream(host, exchange, sessionPath.group(1));
        } else {
            switch (exchange.request().method()) {
                case "POST" -> setUp(host, exchange, sessionPath.group(1));
                case "GET" -> reload(host, exchange, sessionPath.group(1));
                case "PUT" -> setRung(host, exchange, sessionPath.group(1));
                case "DELETE" -> {
                    endSession(host, sessionPath.group(1));
                    exchange.respond(204, Headers.NONE, new byte[0]);
                }
                default -> exchange.respond(405, Headers.NONE, new byte[0]);
            }
        }
    }

    private Headers loadHeaders(Host host) {
        synchronized (this) {
            return Headers.of(
                    LoadField.NAME,
                    LoadField.write(
                            new LoadReport(host.reportedLinkUse, host.reportedUplinkUse, host.reportedStreams)));
        }
    }

    // Results of admit() in place of a duration: the negative status to answer with, or -1 for no answer.
    private static final double SET_UP_REJECTED = -503;
    private static final double SET_UP_FAILED = -500;
    private static final double SET_UP_UNANSWERED = -1;

    private void setUp(Host host, Exchange exchange, String play) {
        Query query = exchange.request().parameters();
        double workMs = admit(
                host,
                play,
                gatewayOf(exchange),
                query.get("band", ""),
                query.getLong("title", 0),
                (int) query.getLong("rung", 0),
                false);
        if (workMs >= 0) {
            timers.schedule(() -> answerSetUp(host, exchange, play), (long) (workMs * 1000), TimeUnit.MICROSECONDS);
        } else if (workMs != SET_UP_UNANSWERED) {
            exchange.respond((int) -workMs, loadHeaders(host), new byte[0]);
        }
    }

    /** The ms that a host takes for a set-up; negative if it does not admit it. */
    private double admit(
            Host host, String play, String gateway, String trafficClass, long title, int rung, boolean isCall) {
        double now = Clock.now();
        synchronized (this) {
            if (!host.up) {
                return SET_UP_UNANSWERED;
            }
            if (!crashesUnderSetUp(host, now)) {
                return admitIfFree(host, play, gateway, trafficClass, title, rung, isCall, now);
            }
            auditor.hostOverloaded(host.plan.name(), host.startedAt, now);
            takeDown(host);
        }
        closePort(host);
        return SET_UP_UNANSWERED;
    }

    /** Admits a set-up on a host that is not overloaded, or rejects or fails it. */
    private double admitIfFree(
            Host host,
            String play,
            String gateway,
            String trafficClass,
            long title,
            int rung,
            boolean isCall,
            double now) {
        boolean isFull = host.sessions.size() >= host.plan.slots()
                || settings.maxLinkUse() > 0
                        && host.requestedKbPerS() > settings.maxLinkUse() * host.availableKbPerS(now);
        MediaHostSettings.SpecialTitle specialTitle = settings.specialTitles().get(title);
        boolean isMissing = specialTitle != null && rung > specialTitle.topRung();
        if (isFull || isMissing || random.nextDouble() < host.failureRatio) {
            auditor.legEnded(
                    play, host.plan.name(), isFull ? Auditor.LegOutcome.TURNED_AWAY : Auditor.LegOutcome.FAILED, now);
            return isFull ? SET_UP_REJECTED : SET_UP_FAILED;
        }
        Session session = new Session();
        session.gateway = gateway;
        session.play = play;
        session.trafficClass = trafficClass;
        session.title = title;
        session.rung = rung;
        session.isCall = isCall;
        session.rateKbPerS = actualRateKbPerS(session);
        session.startedAt = session.lastActiveAt = session.streamLostAt = now;
        host.sessions.put(play, session);
        return settings.meanSetUpMs() * (0.5 + random.nextDouble()) + host.extraSetUpMs;
    }

    private void answerSetUp(Host host, Exchange exchange, String play) {
        byte[] body;
        synchronized (this) {
            Session session = host.sessions.get(play);
            if (session == null || !host.up || host.unresponsive || host.answersLost) {
                return;
            }
            if (host.paused) {
                host.deferredTasks.add(() -> answerSetUp(host, exchange, play));
                return;
            }
            if (exchange.isDone()) {
                return;
            }
            session.serving = true;
            session.streamLostAt = Clock.now();
            body = playlist(host, session);
            auditor.legEnded(play, host.plan.name(), Auditor.LegOutcome.SERVED, Clock.now());
        }
        exchange.respond(200, loadHeaders(host).with("Content-Type", "application/vnd.apple.mpegurl"), body);
    }

    /**
     * Records a set-up and returns whether the host crashes under it: during slow start, more set-ups within the
     * overload window than it can take.
     */
    private boolean crashesUnderSetUp(Host host, double now) {
        if (settings.slowStart().warmMs() <= 0
                || now - host.startedAt >= settings.slowStart().warmMs()) {
            return false;
        }
        double windowMs = settings.slowStart().overloadMs();
        host.recentSetUps.add(now);
        host.recentSetUps.removeIf(time -> time < now - windowMs);
        return host.recentSetUps.size()
                > Rules.maxColdSetUps(settings.slowStart(), host.plan.slots(), host.startedAt, now);
    }

    /** A session's actual rate, which deviates from the ladder's by an amount that depends on the title. */
    private double actualRateKbPerS(Session session) {
        double deviation = (new SplittableRandom(session.title).nextDouble() * 2 - 1) * settings.maxRateDeviation();
        return settings.ladder().rateKb(settings.trafficClasses().get(session.trafficClass), session.rung)
                * (1 + deviation);
    }

    private void setRung(Host host, Exchange exchange, String play) {
        byte[] body;
        synchronized (this) {
            Session session = host.sessions.get(play);
            if (session == null) {
                exchange.respond(404, Headers.NONE, new byte[0]);
                return;
            }
            session.rung = (int) exchange.request().parameters().getLong("rung", session.rung);
            session.lastActiveAt = Math.max(
                    session.lastActiveAt,
                    Clock.now() + exchange.request().parameters().getLong("pause", 0));
            session.rateKbPerS = actualRateKbPerS(session);
            auditor.rungChanged(play, host.plan.name(), session.trafficClass, session.rung, Clock.now());
            body = playlist(host, session);
        }
        exchange.respond(200, loadHeaders(host), body);
    }

    private void reload(Host host, Exchange exchange, String play) {
        byte[] body;
        synchronized (this) {
            Session session = host.sessions.get(play);
            body = session == null ? null : playlist(host, session);
        }
        exchange.respond(body == null ? 404 : 200, loadHeaders(host), body == null ? new byte[0] : body);
    }

    /**
     * Number of segments of a title that the host has by now. Of a growing title, every other host has each segment one
     * segment duration later than the rest.
     */
    private int availableSegments(Host host, long title) {
        if (title > settings.growingTitles() || settings.specialTitles().containsKey(title)) {
            return segmentCount(title);
        }
        double now = Clock.now();
        double growingSince = growthStartedAt.computeIfAbsent(title, key -> now);
        return (int) Math.max(
                0,
                Math.min(
                        settings.segmentCount(),
                        2 - host.plan.cell() % 2 + (now - growingSince) / (settings.segmentS() * 1000)));
    }

    private byte[] playlist(Host host, Session session) {
        long title = session.title;
        int rung = session.rung;
        MediaHostSettings.SpecialTitle specialTitle = settings.specialTitles().get(title);
        if (specialTitle != null && specialTitle.damaged()) {
            return "#EXTM3U\n#EXTINF:soon,\n".getBytes(StandardCharsets.UTF_8);
        }
        double segmentS = specialTitle == null ? settings.segmentS() : specialTitle.segmentS();
        double remainingS = specialTitle == null ? settings.segmentCount() * segmentS : specialTitle.durationS();
        List<Segment> segments = new ArrayList<>();
        int available = availableSegments(host, title);
        for (int i = 0; remainingS > 1e-6 && i < available; i++) {
            double durationS = Math.min(remainingS, segmentS);
            segments.add(new Segment(
                    "media/" + title + "/" + rung + "/" + i + ".ts", durationS, "", null, false, List.of()));
            remainingS -= durationS;
        }
        boolean isComplete = remainingS <= 1e-6;
        boolean isGrowing = specialTitle == null && title <= settings.growingTitles();
        return PlaylistWriter.write(new MediaPlaylist(
                        3,
                        (int) Math.ceil(segmentS),
                        0,
                        0,
                        isGrowing ? MediaPlaylist.Type.EVENT : MediaPlaylist.Type.VOD,
                        List.of(),
                        segments,
                        isComplete))
                .getBytes(StandardCharsets.UTF_8);
    }

    private int segmentCount(long title) {
        MediaHostSettings.SpecialTitle specialTitle = settings.specialTitles().get(title);
        return specialTitle == null
                ? settings.segmentCount()
                : (int) Math.ceil(specialTitle.durationS() / specialTitle.segmentS() - 1e-6);
    }

    private void openEventStream(Host host, Exchange exchange, String play) {
        synchronized (this) {
            Session session = host.sessions.get(play);
            if (session == null) {
                exchange.respond(404, Headers.NONE, new byte[0]);
                return;
            }
            session.eventStream = exchange;
            exchange.beginResponse(200, Headers.of("Content-Type", "text/event-stream", "Cache-Control", "no-store"));
            exchange.sendChunk(": here\n\n".getBytes(StandardCharsets.UTF_8));
        }
        exchange.onDisconnect(() -> {
            synchronized (this) {
                Session session = host.sessions.get(play);
                if (session != null && session.eventStream == exchange) {
                    session.eventStream = null;
                    session.streamLostAt = Clock.now();
                    auditor.sessionEnded(
                            play, host.plan.name(), session.streamLostAt); // the gateway no longer holds the session
                }
            }
        });
    }

    private void sendSegment(Host host, Exchange exchange, int number) {
        double delayMs = 0;
        int packets = 1;
        synchronized (this) {
            String id = exchange.request().parameters().get("session", "");
            // Null for a play that has moved to another host: segments that were listed are still served.
            Session session = host.sessions.get(id);
            if (session != null) {
                session.lastActiveAt = Math.max(session.lastActiveAt, Clock.now());
                session.fetchedSegments = Math.max(session.fetchedSegments, number + 1);
                packets = session.rung + 1;
                double share = deliveredShare(host, Clock.now());
                delayMs = settings.segmentS() * 1000 * Math.max(0, 1 / Math.max(0.2, share) - 1);
            }
        }
        byte[] bytes = new byte[TS_PACKET_BYTES * packets];
        for (int i = 0; i < bytes.length; i += TS_PACKET_BYTES) {
            bytes[i] = 0x47;
        }
        Headers headers = Headers.of("Content-Type", "video/mp2t");
        if (delayMs < 1) {
            exchange.respond(200, headers, bytes);
        } else {
            timers.schedule(
                    () -> {
                        if (!exchange.isDone()) {
                            exchange.respond(200, headers, bytes);
                        }
                    },
                    (long) delayMs,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void endSession(Host host, String play) {
        synchronized (this) {
            Session session = host.sessions.remove(play);
            if (session != null) {
                auditor.sessionEnded(play, host.plan.name(), Clock.now());
                if (session.eventStream != null) {
                    session.eventStream.endResponse();
                }
            }
        }
    }

    // ---- Load and periodic reports

    private double uplinkKbPerS(int rack) {
        return settings.rackUplinkKbPerS().isEmpty()
                ? Double.POSITIVE_INFINITY
                : settings.rackUplinkKbPerS()
                        .get(rack % settings.rackUplinkKbPerS().size());
    }

    private double rackRequestedKbPerS(int rack) {
        return hosts.values().stream()
                .filter(host -> host.plan.rack() == rack)
                .mapToDouble(Host::requestedKbPerS)
                .sum();
    }

    /** The share of its rate that every play on the host gets. */
    private double deliveredShare(Host host, double now) {
        double linkShare = host.availableKbPerS(now) / Math.max(1, host.requestedKbPerS());
        double uplinkShare = uplinkKbPerS(host.plan.rack()) / Math.max(1, rackRequestedKbPerS(host.plan.rack()));
        return Math.min(1, Math.min(linkShare, uplinkShare));
    }

    private double withNoise(double value) {
        return value * (1 + (random.nextDouble() * 2 - 1) * settings.loadNoise());
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
        boolean sendHeartbeat = now >= nextHeartbeatAt;
        boolean sendLinkReport = settings.linkReportMs() > 0 && now >= nextLinkReportAt;
        nextHeartbeatAt = sendHeartbeat ? now + HEARTBEAT_PERIOD_MS : nextHeartbeatAt;
        nextLinkReportAt = sendLinkReport ? now + settings.linkReportMs() : nextLinkReportAt;
        if (now >= nextRefreshAt) {
            nextRefreshAt = now + settings.loadRefreshMs();
            for (Host host : hosts.values()) {
                host.reportedLinkUse = withNoise(host.requestedKbPerS() / Math.max(1, host.availableKbPerS(now)));
                host.reportedUplinkUse =
                        withNoise(rackRequestedKbPerS(host.plan.rack()) / uplinkKbPerS(host.plan.rack()));
                host.reportedStreams = host.sessions.size();
            }
        }
        for (Host host : hosts.values()) {
            if (!host.up || host.unresponsive || host.paused) {
                continue;
            }
            double share = deliveredShare(host, now);
            Map<String, Boolean> reportedTo = new HashMap<>(); // each gateway gets reports on only one of its sessions
            for (Session session : new ArrayList<>(host.sessions.values())) {
                if (session.isCall) {
                    if (now - session.lastActiveAt > settings.sessionIdleMs()) { // its gateway has gone
                        endSession(host, session.play);
                    }
                    continue;
                }
                if (session.eventStream == null) {
                    if (now - session.streamLostAt > MAX_WITHOUT_STREAM_MS) {
                        endSession(host, session.play);
                    }
                    continue;
                }
                if (session.fetchedSegments >= segmentCount(session.title)
                        || now - session.lastActiveAt > settings.sessionIdleMs()) {
                    session.eventStream.sendChunk(
                            new Event("end", session.fetchedSegments >= segmentCount(session.title) ? "whole" : "idle")
                                    .bytes());
                    endSession(host, session.play);
                    continue;
                }
                if (sendHeartbeat) {
                    session.eventStream.sendChunk(": beat\n\n".getBytes(StandardCharsets.UTF_8));
                    if (reportedTo.putIfAbsent(session.gateway, true) == null
                            && (share < MIN_FULL_SHARE || session.shareWasReduced)) {
                        sendReport(session, new Event("share", Double.toString(Math.min(1, share))));
                        session.shareWasReduced = share < MIN_FULL_SHARE;
                    }
                }
                if (sendLinkReport && reportedTo.put(session.gateway, false) != Boolean.FALSE) {
                    sendReport(
                            session,
                            new Event(
                                    "load",
                                    LoadField.write(new LoadReport(host.reportedLinkUse, Double.NaN, Double.NaN))));
                }
            }
        }
    }

    /** Sends a report about running plays after the current report delay. */
    private void sendReport(Session session, Event event) {
        Exchange stream = session.eventStream;
        timers.schedule(
                () -> stream.sendChunk(event.bytes()),
                (long) (settings.reportDelayMs() + extraReportDelayMs),
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        timers.shutdownNow();
        server.close();
    }
}
