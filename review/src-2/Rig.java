import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Stand-ins for the clients, media hosts and notice board of one gateway, which runs as a process of its own with the
 * command `run` of the deploy file. Everything is on loopback addresses and the real clock.
 */
final class Rig {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final int MAX_RUN_MS = 112_000;
    private static final int BROKEN = 11; // run.sh makes it 1, which java also exits with where it cannot start
    private static final long START = System.nanoTime();
    private static BufferedWriter record;
    private static Path folder;
    private static final List<Gateway> GATEWAYS = new CopyOnWriteArrayList<>();
    private static final List<Process> STARTED = new CopyOnWriteArrayList<>();
    static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(8, r -> daemon(r, "timer"));

    private Rig() {}

    interface Case {
        /** Returns 0 if the rule held, 1 if it was broken; throws where the case could not run. */
        int run() throws Exception;
    }

    static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    /** Milliseconds since the start of the case. */
    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void log(String format, Object... args) {
        try {
            record.write(String.format(Locale.ROOT, "%9.1f ", now()) + String.format(Locale.ROOT, format, args) + "\n");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void say(String format, Object... args) {
        log(format, args);
        System.out.println(String.format(Locale.ROOT, format, args));
    }

    static void sleep(double ms) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep(Math.max(0, (long) (ms * 1000)));
    }

    static void sleepUntil(double time) throws InterruptedException {
        sleep(time - now());
    }

    static void at(double time, Runnable task) {
        TIMER.schedule(
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        log("stand-in failed: %s", e);
                    }
                },
                Math.max(0, (long) ((time - now()) * 1000)),
                TimeUnit.MICROSECONDS);
    }

    /** Runs a case, ends every process that it started, and exits with its result. */
    static void main(Path caseFolder, Case test) throws Exception {
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endAll));
        Thread watchdog = daemon(
                () -> {
                    try {
                        Thread.sleep(MAX_RUN_MS);
                        System.out.println("could not run: took too long");
                        Runtime.getRuntime().exit(2);
                    } catch (InterruptedException e) {
                        return;
                    }
                },
                "watchdog");
        watchdog.start();
        int status;
        try {
            log("TROUBLE=%s", TROUBLE ? "1" : "0");
            status = test.run();
            say(status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "could not run");
        } catch (Exception | AssertionError e) {
            say("could not run: %s", e);
            for (StackTraceElement line : e.getStackTrace()) {
                log("  at %s", line);
            }
            status = 2;
        }
        System.exit(status == 1 ? BROKEN : status);
    }

    private static void endAll() {
        STARTED.forEach(Process::destroyForcibly);
        for (Gateway gateway : GATEWAYS) {
            try {
                gateway.process.waitFor(5, TimeUnit.SECONDS);
                Files.readAllLines(gateway.logFile).forEach(line -> log("log of %s: %s", gateway.name, line));
            } catch (IOException | InterruptedException e) {
                log("log of %s: %s", gateway.name, e);
            }
        }
        try (var files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
            synchronized (Rig.class) {
                record.flush();
            }
        } catch (IOException e) {
            System.out.println("not cleaned up: " + e);
        }
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    /** Listens at a port that another stand-in has just left. */
    static ServerSocket listen(int port) throws IOException, InterruptedException {
        for (int attempt = 0; ; attempt++) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(loopback(), port), 50);
                return socket;
            } catch (IOException e) {
                socket.close();
                if (attempt == 100) {
                    throw e;
                }
                sleep(5);
            }
        }
    }

    // ---- Messages

    /** One RTSP message. */
    static final class Message {
        final String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        Message(String first) {
            this.first = first;
        }

        static Message request(String method, String title, int cseq, String session) {
            Message message = new Message(method + " rtsp://media/" + title + " RTSP/1.0");
            return message.with("CSeq", Integer.toString(cseq)).with("Session", session);
        }

        static Message response(int status, int cseq, String session) {
            Message message = new Message("RTSP/1.0 " + status + (status == 200 ? " OK" : " Other"));
            message.with("CSeq", Integer.toString(cseq));
            return session == null ? message : message.with("Session", session);
        }

        Message with(String name, String value) {
            headers.put(name.toLowerCase(Locale.ROOT), value);
            return this;
        }

        Message body(String text) {
            body = text.getBytes(StandardCharsets.ISO_8859_1);
            return this;
        }

        String get(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String session() {
            return get("session");
        }

        boolean isRequest() {
            return !first.startsWith("RTSP/");
        }

        String method() {
            return isRequest() ? first.substring(0, first.indexOf(' ')) : null;
        }

        String title() {
            String uri = first.split(" ")[1];
            return uri.substring(uri.lastIndexOf('/') + 1);
        }

        int status() {
            return isRequest() ? 0 : Integer.parseInt(first.split(" ")[1]);
        }

        int cause() {
            String reason = get("reason");
            return reason == null ? 0 : Integer.parseInt(reason.substring(6));
        }

        byte[] bytes() {
            StringBuilder text = new StringBuilder(first).append("\r\n");
            headers.forEach((name, value) -> {
                if (!name.equals("content-length")) {
                    text.append(properName(name)).append(": ").append(value).append("\r\n");
                }
            });
            text.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            bytes.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            bytes.writeBytes(body);
            return bytes.toByteArray();
        }

        private static String properName(String name) {
            StringBuilder proper = new StringBuilder();
            for (String part : name.split("-")) {
                proper.append(proper.length() == 0 ? "" : "-")
                        .append(Character.toUpperCase(part.charAt(0)))
                        .append(part.substring(1));
            }
            return proper.toString().equals("Cseq") ? "CSeq" : proper.toString();
        }

        /** Reads the next message; null at the end of the stream. */
        static Message read(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            int last4 = 0;
            while (last4 != 0x0d0a0d0a) {
                int b = in.read();
                if (b < 0) {
                    return null;
                }
                head.write(b);
                last4 = last4 << 8 | b;
            }
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
            Message message = new Message(lines[0]);
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                message.with(lines[i].substring(0, colon), lines[i].substring(colon + 1).strip());
            }
            message.body = in.readNBytes(Integer.parseInt(message.get("content-length")));
            return message;
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(first);
            headers.forEach((name, value) -> {
                if (!name.equals("content-length")) {
                    text.append(" | ").append(name).append('=').append(value);
                }
            });
            return text.toString();
        }
    }

    /** One connection of a stand-in. */
    static class Link {
        final Socket socket;
        volatile boolean closed;
        volatile boolean forgotten; // its host knows nothing of it any more
        volatile double lastUsedAt = now(); // when a message last passed

        Link(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
        }

        /** Returns whether the message was written. */
        synchronized boolean send(Message message) {
            if (closed) {
                return false;
            }
            try {
                lastUsedAt = now();
                socket.getOutputStream().write(message.bytes());
                return true;
            } catch (IOException e) {
                closed = true;
                return false;
            }
        }

        void close() {
            closed = true;
            try {
                socket.close();
            } catch (IOException e) {
                log("close failed: %s", e);
            }
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                log("reset: %s", e);
            }
            close();
        }
    }

    // ---- The gateway

    static final class Gateway {
        final String name;
        final Process process;
        final InetSocketAddress address;
        final Path logFile;
        final Path config;

        /** Starts a gateway with the command of the deploy file and waits until it passes a test. */
        Gateway(String name, String settings, String known, InetSocketAddress board, int sockets) throws Exception {
            this.name = name;
            Path root = Path.of(System.getProperty("root"));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            Path tmp = Files.createDirectory(folder.resolve(name + ".tmp"));
            logFile = folder.resolve(name + ".log");
            config = folder.resolve(name + ".json");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
            builder.environment().put("GW_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmp.toString());
            builder.redirectErrorStream(true).redirectOutput(logFile.toFile());
            double limit = now() + 30_000;
            InetSocketAddress free;
            Process started;
            do { // another program may have taken the port before the gateway does: then it ends, and is started anew
                free = freeAddress();
                writeConfig(settings, known, free, board, sockets);
                started = builder.start();
                STARTED.add(started);
                while (started.isAlive() && !Files.readString(logFile).contains(":" + free.getPort() + ",")) {
                    sleep(20);
                    if (now() > limit) {
                        started.destroyForcibly();
                    }
                }
            } while (!started.isAlive() && now() < limit);
            address = free;
            process = started;
            GATEWAYS.add(this);
            while (!passesTest()) {
                if (now() > limit || !process.isAlive()) {
                    throw new TimeoutException("the gateway did not get ready");
                }
                sleep(20);
            }
            log("gateway %s is ready", name);
        }

        private static InetSocketAddress freeAddress() throws IOException {
            try (ServerSocket free = new ServerSocket(0, 1, loopback())) {
                return new InetSocketAddress(loopback(), free.getLocalPort());
            }
        }

        private void writeConfig(
                String settings, String known, InetSocketAddress listen, InetSocketAddress board, int sockets)
                throws IOException {
            Path next = folder.resolve(name + ".next");
            Files.writeString(
                    next,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen.getPort()
                            + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":"
                            + sockets + "},\"board\":\"127.0.0.1:" + board.getPort() + "\",\"known\":" + known
                            + ",\"settings\":" + settings + "}");
            Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }

        private boolean passesTest() {
            try (Socket socket = new Socket()) {
                socket.connect(address, 500);
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write(new Message("OPTIONS rtsp://media/ping RTSP/1.0")
                                .with("CSeq", "3")
                                .bytes());
                Message answer = Message.read(socket.getInputStream());
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String signal) {
            try {
                new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
                log("signal %s to gateway %s", signal, name);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    // ---- The notice board

    static final class Board {
        final ServerSocket socket;
        private final List<byte[]> events = new ArrayList<>(); // frames; the first is number 2
        private final List<Link> watches = new ArrayList<>();

        Board() throws IOException {
            socket = new ServerSocket(0, 50, loopback());
            daemon(this::accept, "board").start();
            TIMER.scheduleAtFixedRate(this::heartbeat, 1000, 1000, TimeUnit.MILLISECONDS);
        }

        InetSocketAddress address() {
            return new InetSocketAddress(loopback(), socket.getLocalPort());
        }

        private void accept() {
            while (true) {
                try {
                    Link watch = new Link(socket.accept());
                    daemon(() -> serve(watch), "watch").start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Link watch) {
            try {
                byte[] number = watch.socket.getInputStream().readNBytes(8);
                if (number.length < 8) {
                    watch.close();
                    return;
                }
                long last = ByteBuffer.wrap(number).getLong();
                synchronized (this) {
                    for (int i = 0; i < events.size(); i++) {
                        if (i + 2 > last) {
                            watch.socket.getOutputStream().write(events.get(i));
                        }
                    }
                    watches.add(watch);
                }
            } catch (IOException e) {
                watch.close();
            }
        }

        private synchronized void heartbeat() {
            sendAll(frame(events.size() + 1, 0));
        }

        private void sendAll(byte[] frame) {
            watches.removeIf(watch -> {
                try {
                    watch.socket.getOutputStream().write(frame);
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
        }

        /** Tells changes: 0 ready, 1 draining, 2 gone. */
        synchronized void tell(int state, MediaHost... hosts) {
            byte[][] records = new byte[hosts.length][];
            for (int i = 0; i < hosts.length; i++) {
                records[i] = hosts[i].record(state);
                log("notice %d: %s at port %d is %s", events.size() + 2, hosts[i].id, hosts[i].port, new String[] {
                    "SERVING", "DRAINING", "DELETED"
                }[state]);
            }
            byte[] frame = frame(events.size() + 2, 2, records);
            events.add(frame);
            sendAll(frame);
        }

        private static byte[] frame(long number, int kind, byte[]... records) {
            ByteBuffer frame = ByteBuffer.allocate(13 + 27 * records.length)
                    .putInt(9 + 27 * records.length)
                    .putLong(number)
                    .put((byte) kind);
            for (byte[] one : records) {
                frame.put(one);
            }
            return frame.array();
        }
    }

    static String known(List<MediaHost> hosts) {
        StringBuilder text = new StringBuilder("{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"index\":1,\"snapshot\":true,"
                + "\"endpoints\":[");
        for (MediaHost host : hosts) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"name\":\"" + host.id + "\",\"address\":\"127.0.0.1:" + host.port
                            + "\",\"zone\":\"hall-a\",\"type\":\"k2-std\",\"group\":" + host.cell
                            + ",\"status\":\"SERVING\",\"weight\":2,\"since_ms\":0}");
        }
        return text + "]}}]}";
    }

    // ---- Media hosts

    /** What a media host knows of one session. */
    static final class Standing {
        final String id;
        final String title;
        final String trafficClass;
        final MediaHost host;
        final double receivedAt; // when the whole set-up had reached the host
        volatile Link link; // of its set-up
        volatile double answeredAt = Double.NaN; // when its 200 was written
        volatile double endedAt = Double.NaN; // when it was over at the host
        volatile double releasedAt = Double.NaN; // when the host's release was written; NaN if none could be
        volatile boolean endedByGateway; // a TEARDOWN came

        Standing(String id, String title, String trafficClass, MediaHost host, Link link) {
            this.id = id;
            this.title = title;
            this.trafficClass = trafficClass;
            this.host = host;
            this.link = link;
            receivedAt = now();
        }

        boolean stands() {
            return !Double.isNaN(answeredAt) && Double.isNaN(endedAt);
        }
    }

    static class MediaHost {
        final int number;
        final String id;
        final int cell;
        final int port;
        final ServerSocket socket;
        final Map<String, Standing> sessions = new ConcurrentHashMap<>();
        final List<Link> links = new CopyOnWriteArrayList<>();
        final long startedAtMs; // Unix ms; 0 for long ago
        volatile double workMs = 60;
        volatile double lifeMs = 60_000;
        volatile double tellMs;
        volatile double lastReportAt = Double.NaN;
        volatile boolean silent; // the machine has vanished: nothing is read, written or closed any more
        private volatile boolean acceptPaused;
        // Connections that fill the queues of listening sockets; a socket may pass from one host to another.
        private static final List<Socket> FILLERS = new CopyOnWriteArrayList<>();
        private volatile Thread acceptor;

        MediaHost(int number, int cell) throws IOException {
            this(number, cell, 1);
        }

        /** @param backlog connections that may come up before they are accepted; 1 for a host that is to hold them */
        MediaHost(int number, int cell, int backlog) throws IOException {
            this(number, cell, new ServerSocket(0, backlog, loopback()), 0);
        }

        MediaHost(int number, int cell, ServerSocket socket, long startedAtMs) throws IOException {
            this.number = number;
            this.cell = cell;
            this.socket = socket;
            this.startedAtMs = startedAtMs;
            id = String.format("s-%08x", number);
            port = socket.getLocalPort();
            socket.setSoTimeout(5);
            acceptor = daemon(this::accept, id);
            acceptor.start();
        }

        /** Sends notes each {@code ms} while sessions stand. */
        void reportEvery(double ms) {
            tellMs = ms;
            TIMER.scheduleAtFixedRate(this::report, (long) ms, (long) ms, TimeUnit.MILLISECONDS);
        }

        private void report() {
            if (silent) {
                return;
            }
            for (Standing session : sessions.values()) {
                if (session.stands()
                        && sendFor(
                                session,
                                Message.request("ANNOUNCE", session.title, 4, session.id)
                                        .with("X-Why", "asked")
                                        .with("X-Value", "0.3"))) {
                    lastReportAt = now();
                    return;
                }
            }
        }

        private boolean sendFor(Standing session, Message message) {
            if (silent) {
                return false;
            }
            if (session.link != null && session.link.send(message)) {
                return true;
            }
            for (Link link : links) {
                if (!link.closed && link.send(message)) {
                    return true;
                }
            }
            return false;
        }

        private void accept() {
            while (Thread.currentThread() == acceptor) {
                if (acceptPaused) {
                    try {
                        sleep(1);
                    } catch (InterruptedException e) {
                        return;
                    }
                    continue;
                }
                try {
                    Link link = new Link(socket.accept());
                    Socket filler = null;
                    for (Socket candidate : FILLERS) {
                        if (candidate.getLocalPort() == link.socket.getPort()) {
                            filler = candidate;
                        }
                    }
                    if (filler != null) {
                        FILLERS.remove(filler);
                        link.close();
                        filler.close();
                        continue;
                    }
                    links.add(link);
                    connected(link);
                    daemon(() -> serve(link), id + " link").start();
                } catch (SocketTimeoutException e) {
                    continue;
                } catch (IOException e) {
                    return;
                }
            }
        }

        void connected(Link link) {
            log("%s accepted a connection", id);
            for (Standing session : sessions.values()) { // releases that could not be sent, and those not known to be heard
                if (!Double.isNaN(session.endedAt) && !session.endedByGateway && now() - session.endedAt < 30_000) {
                    link.send(release(session, 16));
                }
            }
        }

        /** Lets no new connection come up from now on: the queue of the listening socket is full. */
        void holdConnections() throws InterruptedException {
            acceptPaused = true;
            sleep(10);
            for (int i = 0; i < 8; i++) {
                Socket filler = new Socket();
                try {
                    filler.connect(new InetSocketAddress(loopback(), port), 20);
                    FILLERS.add(filler);
                } catch (IOException e) {
                    log("%s: connections do not come up from now on", id);
                    return;
                }
            }
            throw new IllegalStateException("connections still come up");
        }

        void admitConnections() {
            acceptPaused = false;
            log("%s: connections come up again", id);
        }

        private void serve(Link link) {
            try {
                InputStream in = link.socket.getInputStream();
                for (Message message = Message.read(in); message != null; message = Message.read(in)) {
                    if (silent) {
                        return;
                    }
                    if (link.forgotten) { // what comes on a connection that its host does not know is answered by a reset
                        log("%s reset a connection that it had forgotten", id);
                        link.reset();
                        return;
                    }
                    link.lastUsedAt = now();
                    received(link, message);
                }
            } catch (IOException e) {
                log("%s: a connection broke: %s", id, e.getMessage());
            }
            if (!silent) {
                link.close();
                links.remove(link);
            }
        }

        void received(Link link, Message message) {
            if (!message.isRequest()) {
                return;
            }
            switch (message.method()) {
                case "SETUP":
                    Standing session = new Standing(
                            message.session(), message.title(), message.get("X-Call-Class"), this, link);
                    log("%s received %s", id, message);
                    sessions.put(session.id, session);
                    setUpReceived(session);
                    break;
                case "TEARDOWN":
                    Standing ended = sessions.get(message.session());
                    log("%s received %s", id, message);
                    if (ended != null) {
                        ended.endedByGateway = true;
                        if (Double.isNaN(ended.endedAt)) {
                            ended.endedAt = now();
                        }
                    }
                    link.send(Message.response(200, 2, message.session()));
                    break;
                case "OPTIONS":
                    link.send(Message.response(200, 3, message.session()));
                    break;
                default:
                    break;
            }
        }

        void setUpReceived(Standing session) {
            at(now() + workMs, () -> answer(session));
        }

        void answer(Standing session) {
            if (silent || session.endedByGateway) {
                return;
            }
            session.answeredAt = now();
            boolean sent = session.link.send(Message.response(200, 1, session.id)
                    .with("X-Circuits", "inflight:" + sessions.size() + ";x0:" + Math.min(0.9, standingCount() * 0.03))
                    .body(session.id + " plays at " + id));
            if (!sent) {
                session.endedAt = now();
                session.endedByGateway = true; // the connection of an open set-up was closed: given up
                log("%s: set-up %s was given up with its connection", id, session.id);
                return;
            }
            log("%s answered %s", id, session.id);
            at(now() + lifeMs, () -> end(session));
        }

        private static Message release(Standing session, int cause) {
            return Message.request("TEARDOWN", session.title, 2, session.id).with("Reason", "cause=" + cause);
        }

        /** The session has come to its end. */
        void end(Standing session) {
            if (silent || !session.stands()) {
                return;
            }
            session.endedAt = now();
            if (sendFor(session, release(session, 16))) {
                session.releasedAt = now();
            }
            log("%s ended %s, release %s", id, session.id, Double.isNaN(session.releasedAt) ? "not sent" : "sent");
        }

        /** The machine vanishes: its sessions are cut, its connections stay open and silent, new ones never come up. */
        void vanish() throws InterruptedException {
            silent = true;
            log("%s vanishes with %d sessions", id, standingCount());
            for (Standing session : sessions.values()) {
                if (session.stands()) {
                    session.endedAt = now();
                }
            }
            holdConnections();
        }

        /** The host has every connection that it will take: further ones are refused, the open ones go on. */
        void refuseConnections() throws IOException {
            acceptor = null;
            socket.close();
            log("%s has %d connections and refuses further ones", id, links.size());
        }

        /** Forgets the connections that have been idle for this long: nothing is sent, and what comes is reset. */
        void forgetIdle(double idleMs) {
            int count = 0;
            for (Link link : links) {
                if (!link.closed && now() - link.lastUsedAt > idleMs) {
                    link.closed = true;
                    link.forgotten = true;
                    links.remove(link);
                    count++;
                }
            }
            log("%s forgot %d idle connections", id, count);
        }

        /** The process dies: its connections are reset, new ones are refused, its sessions are cut. */
        void die() throws IOException {
            silent = true;
            acceptor = null;
            log("%s dies with %d sessions", id, standingCount());
            for (Standing session : sessions.values()) {
                if (session.stands()) {
                    session.endedAt = now();
                }
            }
            socket.close();
            links.forEach(Link::reset);
            links.clear();
        }

        /** Another host starts at the address of this one, which has gone. */
        MediaHost replacedBy(int newNumber) throws IOException {
            acceptor = null;
            MediaHost successor = new MediaHost(newNumber, cell, socket, System.currentTimeMillis());
            log("%s starts at the address of %s", successor.id, id);
            return successor;
        }

        long standingCount() {
            return sessions.values().stream().filter(Standing::stands).count();
        }

        byte[] record(int state) {
            return ByteBuffer.allocate(27)
                    .putInt(number)
                    .put(loopback().getAddress())
                    .putShort((short) port)
                    .put((byte) state)
                    .put((byte) 0)
                    .put((byte) 0)
                    .putShort((short) cell)
                    .putInt(2000)
                    .putLong(startedAtMs)
                    .array();
        }
    }

    // ---- Clients

    /** One set-up of a viewer and what became of it. */
    static final class Request {
        final String id;
        final String title;
        final String trafficClass;
        final int waitMs;
        volatile double sentAt = Double.NaN;
        volatile double answeredAt = Double.NaN;
        volatile int status;
        volatile int answers;
        volatile double releasedAt = Double.NaN; // when a release or a move came
        volatile int cause;
        volatile double closedAt = Double.NaN; // when its connection ended without an answer
        volatile String closedHow;
        volatile boolean givenUp;

        Request(String id, String title, String trafficClass, int waitMs) {
            this.id = id;
            this.title = title;
            this.trafficClass = trafficClass;
            this.waitMs = waitMs;
        }

        Message message(int home, int copies, String extra) {
            return Message.request("SETUP", title, 1, id)
                    .with("X-Call-Class", trafficClass)
                    .with("X-Ring-Limit", Integer.toString(waitMs))
                    .with("X-Dest", "home:" + home + ";copies:" + copies + ";top:3;viewer:" + id + extra)
                    .body(id + "\r\nc=IN IP4 127.0.0.1\r\n");
        }
    }

    /** The front: its connections to the gateway, and all requests by id. */
    static final class Front {
        final Gateway gateway;
        final Map<String, Request> requests = new ConcurrentHashMap<>();
        private int count;

        Front(Gateway gateway) {
            this.gateway = gateway;
        }

        synchronized Request request(String title, String trafficClass, int waitMs) {
            Request request =
                    new Request(String.format("%016x", 0x5000_0000_0000L + ++count), title, trafficClass, waitMs);
            requests.put(request.id, request);
            return request;
        }

        FrontLink connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(gateway.address, 3000);
            FrontLink link = new FrontLink(this, socket);
            daemon(link::read, "front link").start();
            return link;
        }
    }

    static final class FrontLink extends Link {
        private final Front front;
        final Map<String, Request> open = new ConcurrentHashMap<>();

        FrontLink(Front front, Socket socket) throws IOException {
            super(socket);
            this.front = front;
        }

        void setUp(Request request, int home, int copies) {
            open.put(request.id, request);
            request.sentAt = now();
            boolean sent = send(request.message(home, copies, ""));
            log("client sent set-up %s (%s, title %s)%s", request.id, request.trafficClass, request.title, sent ? "" : ": not written");
        }

        /** The viewer ends a session that stands. */
        void end(Request request) {
            request.givenUp = true;
            send(Message.request("TEARDOWN", request.title, 2, request.id).with("Reason", "cause=31"));
            log("client ended %s", request.id);
        }

        void giveUp(Request request) {
            request.givenUp = true;
            send(Message.request("TEARDOWN", request.title, 2, request.id));
            log("client gave up %s", request.id);
        }

        void read() {
            String how = "closed";
            try {
                InputStream in = socket.getInputStream();
                for (Message message = Message.read(in); message != null; message = Message.read(in)) {
                    received(message);
                }
            } catch (IOException e) {
                how = "ended: " + e.getMessage();
            }
            for (Request request : open.values()) {
                request.closedAt = now();
                request.closedHow = how;
                log("client: the connection of the open set-up %s is %s", request.id, how);
            }
            close();
        }

        private void received(Message message) {
            Request request = message.session() == null ? null : front.requests.get(message.session());
            if (request == null) {
                return;
            }
            if (!message.isRequest() && "1".equals(message.get("CSeq"))) {
                request.answers++;
                request.status = message.status();
                request.answeredAt = now();
                open.remove(request.id);
                log("client received %s", message);
            } else if (!message.isRequest()) {
                log("client received %s", message);
            } else if (message.isRequest()
                    && (message.method().equals("TEARDOWN") || message.method().equals("REDIRECT"))) {
                if (Double.isNaN(request.releasedAt)) {
                    request.releasedAt = now();
                    request.cause = message.cause();
                }
                log("client received %s", message);
                if (message.method().equals("TEARDOWN")) {
                    send(Message.response(200, 2, request.id));
                }
            }
        }
    }
}
