import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-ins for one gateway on loopback: its notice board, its media hosts and its viewers, and the gateway itself as a
 * process started by the line 'run' of deploy/balancer.toml. All that is sent, answered and run is recorded.
 */
final class Rig implements Closeable {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static boolean TROUBLE = true; // whether the disruption is played; set once, before a case runs
    static final int SEATS = 4; // of a title in the second class, where a site has seats
    static final int TELL_MS = 3000; // time between the notes of a media host
    static final String TITLE = "7f3a9c21e0b4d655";

    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String why) {
            super(why);
        }
    }

    final Path root;
    final Path folder;
    final PrintWriter record;
    final double t0 = now();
    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final AtomicLong ids = new AtomicLong(System.nanoTime() & 0xffffffffffL);
    Process gateway;
    int port;
    Path config;

    Rig(String root, String folder) throws IOException {
        this.root = Path.of(root);
        this.folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        note("disruption: " + (TROUBLE ? "on" : "off"));
    }

    static double now() {
        return System.currentTimeMillis();
    }

    synchronized void note(String line) {
        record.println(String.format(Locale.ROOT, "%9.3f  %s", (now() - t0) / 1000, line));
    }

    String newId() {
        return String.format("%016x", ids.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    /**
     * Settings as a gateway of a small deployment gets them.
     *
     * @param site treino-parana, lang-sal or bergen-kurs
     */
    static String settings(String site) {
        boolean treino = site.equals("treino-parana");
        boolean langSal = site.equals("lang-sal");
        String classes = langSal
                ? "{'name':'prove','onTime':3000,'giveUp':12000,'worth':4,'repeat':'once','stream':true,'group':'all','window':5000},"
                        + "{'name':'direkte','onTime':1500,'giveUp':6000,'worth':2,'repeat':'repeatable','stream':true,'group':'all','window':5000}"
                : treino
                ? "{'name':'aula-certificada','onTime':1000,'giveUp':5000,'worth':2,'repeat':'once','stream':true,'group':'all','window':5000},"
                        + "{'name':'aula-consulta','onTime':1000,'giveUp':3000,'worth':1,'repeat':'repeatable','stream':true,'group':'all','window':5000}"
                : "{'name':'kurs-logg','onTime':800,'giveUp':3000,'worth':3,'repeat':'once','stream':true,'group':'all','window':5000},"
                        + "{'name':'fri-visning','onTime':1500,'giveUp':5000,'worth':1,'repeat':'repeatable','stream':true,'group':'all','window':5000}";
        return ("{'accounts':[],'balancers':2,'me':0,'classes':[" + classes + "],"
                + "'clients':{'marksRetry':true},'discovery':'push','family':'streams',"
                + "'familyInfo':{'allLinksKb':37000,'classSeats':[0," + (langSal ? SEATS : 0) + "],'classTop':[4,4],'floorByClass':[" + (langSal ? 1 : 0) + ",0],'guard':0,"
                + "'isLive':[false,false],'join':1,'kindSlots':[40],'levelKb':[200,380,640,1070,1900],'positions':4,"
                + "'rackKb':44000,'racks':1,'scaleByClass':" + (langSal ? "[1.3,0.7]" : "[1,1]") + ",'stall':7,'switchS':0.6,'tell':" + TELL_MS + ",'toldLate':800,"
                + "'weightKb':3080,'worthByRung':[0.2,0.45,0.65,0.85,1]},"
                + "'fees':{'connection':0,'crossZone':0.02,'discovery':0,'handshake':0,'lateFail':0.08,'moves':0.13,'origin':0,'peer':0,'probe':0,'waste':0},"
                + "'kinds':['box'],"
                + "'limits':{'cancelling':true,'cpuUsPerRequest':0,'cpuUsPerS':400000,'dialTimeout':" + (langSal ? 600 : 250) + ",'keepalive':" + (langSal ? 30000 : 15000) + ","
                + "'maxOpen':1500000,'maxRetryAfter':" + (treino ? 500 : 2000) + ",'mayTell':false,'parallelTries':false,"
                + "'probing':false,'retryAfter':" + !langSal + ",'streamsPerConn':" + (langSal ? 1 : 32)
                + ",'tryLimit':" + (treino ? 3 : langSal ? 2 : 5) + "},"
                + "'localities':['hall-a'],'zone':'hall-a',"
                + "'objectiveMix':{'whole':0.5,'worstClass':0.2,'worstTenant':0,'worstWindow':0.2},'overShareWorth':0.1,"
                + "'report':{'columns':['active','x0'],'how':'inline'},'resolution':10,"
                + "'rules':{'askWithin':10000,'coldFrom':0.5,'drainGrace':" + (treino ? 2000 : langSal ? 3000 : 250) + ",'fall':" + (treino ? 3000 : langSal ? 4000 : 1000)
                + ",'fallMultiple':2.5,'graceToAnswer':50,'warmWithin':5000},"
                + "'tier':0,'tiers':['media'],'weights':'nominal','worthBy':'request'}").replace('\'', '"');
    }

    /** Writes the configuration and starts the gateway; returns once it has passed a test. */
    void startGateway(Board board, List<Host> hosts, String settings) throws Exception {
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            port = free.getLocalPort();
        }
        StringBuilder endpoints = new StringBuilder();
        for (Host host : hosts) {
            endpoints.append(endpoints.length() == 0 ? "" : ",").append(host.json());
        }
        config = folder.resolve("config.json");
        Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\","
                + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"board\":\"127.0.0.1:" + board.port() + "\","
                + "\"known\":{\"rev\":1,\"notices\":[{\"rev\":1,\"pool\":{\"index\":1,\"snapshot\":true,\"endpoints\":["
                + endpoints + "]}}]},\"settings\":" + settings + "}");
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.lastIndexOf('"'));
            }
        }
        if (run == null) {
            throw new CannotRun("no line 'run' in the deploy file");
        }
        Path temporary = Files.createDirectory(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile());
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("GW_NAME", "n0");
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("TMPDIR", temporary.toString());
        File log = folder.resolve("gateway.log").toFile();
        builder.redirectErrorStream(true).redirectOutput(log);
        gateway = builder.start();
        note("gateway started: " + run);
        for (int i = 0; i < 150; i++) {
            if (!gateway.isAlive()) {
                throw new CannotRun("the gateway ended at its start: " + Files.readString(log.toPath()));
            }
            try (Viewer viewer = new Viewer()) {
                if (viewer.test(1000)) {
                    note("the gateway has passed a test");
                    return;
                }
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        throw new CannotRun("the gateway passed no test in time");
    }

    /** Asks the gateway for a thread dump (SIGQUIT); returns whether its thread that decides is still there. */
    boolean hasDecidingThread() throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -QUIT " + gateway.pid()).start().waitFor();
        Thread.sleep(1_000);
        boolean found = false;
        for (String line : Files.readAllLines(folder.resolve("gateway.log"), StandardCharsets.ISO_8859_1)) {
            found |= line.startsWith("\"desk\"");
            if (line.contains("generation") && line.contains("used")) {
                note("heap of the gateway: " + line.strip());
            }
        }
        return found;
    }

    void appendGatewayLog() throws IOException {
        record.println("---- log of the gateway");
        for (String line : Files.readAllLines(folder.resolve("gateway.log"), StandardCharsets.ISO_8859_1)) {
            record.println(line.length() > 600 ? line.substring(0, 600) + " ..." : line);
        }
    }

    @Override
    public void close() throws IOException {
        if (gateway != null) {
            gateway.destroyForcibly();
            try {
                gateway.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            appendGatewayLog();
        }
        for (Closeable closeable : open) {
            try {
                closeable.close();
            } catch (IOException e) {
                // it is closed
            }
        }
        record.close();
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    static void start(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception e) {
                // the connection has ended
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
    }

    interface Body {
        void run() throws Exception;
    }

    /** One RTSP message. */
    static final class Message {
        final String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        Message(String first) {
            this.first = first;
        }

        Message with(String name, String value) {
            headers.put(name, value);
            return this;
        }

        Message body(String text) {
            body = text.getBytes(StandardCharsets.ISO_8859_1);
            return this;
        }

        boolean is(String method) {
            return first.startsWith(method + " ");
        }

        int status() {
            return first.startsWith("RTSP/1.0 ") ? Integer.parseInt(first.substring(9, 12)) : 0;
        }

        String session() {
            return headers.get("Session");
        }

        String uri() {
            return first.split(" ")[1];
        }

        byte[] bytes() {
            StringBuilder text = new StringBuilder(first).append("\r\n");
            headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
            text.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            byte[] head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, all, head.length, body.length);
            return all;
        }

        static Message read(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            int matched = 0;
            while (matched < 4) {
                int b = in.read();
                if (b < 0) {
                    throw new EOFException();
                }
                head.write(b);
                matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
            }
            String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
            Message message = new Message(lines[0]);
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                message.headers.put(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim());
            }
            String length = message.headers.remove("Content-Length");
            message.body = in.readNBytes(length == null ? 0 : Integer.parseInt(length));
            return message;
        }
    }

    /** One connection; written by any thread. */
    static class Line implements Closeable {
        final Socket socket;
        final InputStream in;
        private final OutputStream out;

        Line(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(Message message) throws IOException {
            send(message.bytes());
        }

        synchronized void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The notice board: events are numbered from 2, as the configuration holds event 1. */
    final class Board implements Closeable {
        private final ServerSocket server = new ServerSocket(0, 100, LOOPBACK);
        private final List<byte[]> events = new ArrayList<>();
        private final Object changed = new Object();
        /** Time that each message of the board needs to reach a gateway that asks, from its request on. */
        volatile long answerDelayMs;

        Board() throws IOException {
            open.add(this);
            start("board", () -> {
                while (true) {
                    Socket socket = server.accept();
                    start("watch", () -> serve(socket));
                }
            });
        }

        int port() {
            return server.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (Line line = new Line(socket)) {
                long held = ByteBuffer.wrap(line.in.readNBytes(8)).getLong();
                note("board: a gateway asks for what comes after event " + held);
                start("watch end", () -> {
                    while (line.in.read() >= 0) {
                        continue;
                    }
                    note("board: the gateway closed its connection");
                    socket.close();
                });
                Thread.sleep(answerDelayMs);
                double lastFrameAt = 0;
                while (!socket.isClosed()) {
                    byte[] event = null;
                    synchronized (changed) {
                        if (events.size() + 1 > held) {
                            event = events.get((int) held - 1);
                        } else if (now() - lastFrameAt < 1000) {
                            changed.wait((long) Math.max(1, 1000 - (now() - lastFrameAt)));
                            if (events.size() + 1 > held) {
                                continue;
                            }
                        }
                    }
                    if (event != null) {
                        held++;
                        line.send(event);
                        note("board: event " + held + " written");
                        lastFrameAt = now();
                    } else if (now() - lastFrameAt >= 999) {
                        line.send(ByteBuffer.allocate(13).putInt(9).putLong(held).put((byte) 0).array());
                        lastFrameAt = now();
                    }
                }
            }
        }

        /** An event that holds the changed entry of one host. */
        double tell(Host host) {
            double at;
            synchronized (changed) {
                byte[] entry = host.entry();
                int number = events.size() + 2;
                events.add(ByteBuffer.allocate(13 + entry.length)
                        .putInt(9 + entry.length)
                        .putLong(number)
                        .put((byte) 2)
                        .put(entry)
                        .array());
                at = now();
                note("board: event " + number + " is in the board: " + host.name + " state " + host.state);
                changed.notifyAll();
            }
            return at;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    /** A media host. */
    class Host implements Closeable {
        final int number;
        final String name;
        final int cell;
        int state; // 0 ready, 1 draining, 2 gone
        final ServerSocket server;
        final List<Line> lines = new CopyOnWriteArrayList<>();
        final Map<String, Line> standing = new ConcurrentHashMap<>();
        final Map<String, Double> reached = new ConcurrentHashMap<>(); // set-ups that have reached it whole
        final List<Double> all = new CopyOnWriteArrayList<>(); // when each set-up reached it
        volatile long answerMs;
        volatile double notedAt; // when it last sent a note
        volatile boolean quiet; // record no set-ups

        Host(int number, int cell, int backlog) throws IOException {
            this.number = number;
            this.cell = cell;
            name = String.format("s-%08x", number);
            server = new ServerSocket(0, backlog, LOOPBACK);
            open.add(this);
            start(name, () -> {
                while (true) {
                    accept(next());
                }
            });
            start(name + " reports", () -> {
                while (true) {
                    Thread.sleep(TELL_MS);
                    report();
                }
            });
        }

        Host(int number, int cell) throws IOException {
            this(number, cell, 100);
        }

        Socket next() throws Exception {
            return server.accept();
        }

        void accept(Socket socket) throws Exception {
            Line line = new Line(socket);
            lines.add(line);
            start(name + " connection", () -> {
                try {
                    while (true) {
                        received(line, Message.read(line.in));
                    }
                } finally {
                    lines.remove(line);
                    line.close();
                    if (!quiet) {
                        note(name + ": a connection of the gateway has ended");
                    }
                }
            });
        }

        /** A report on one of the sessions, as every 3 s. */
        private void report() {
            for (Map.Entry<String, Line> session : standing.entrySet()) {
                Line line = lines.contains(session.getValue())
                        ? session.getValue()
                        : lines.stream().findFirst().orElse(null);
                try {
                    if (line != null) {
                        line.send(new Message("ANNOUNCE rtsp://media/" + TITLE + " RTSP/1.0")
                                .with("CSeq", "9")
                                .with("Session", session.getKey())
                                .with("X-Why", "asked")
                                .with("X-Value", "0.2"));
                        notedAt = now();
                        note(name + ": note on session " + session.getKey());
                    }
                } catch (IOException e) {
                    // that connection has ended
                }
                return;
            }
        }

        void received(Line line, Message message) throws Exception {
            if (message.is("SETUP")) {
                String id = message.session();
                reached.put(id, now());
                all.add(now());
                if (!quiet) {
                    note(name + ": set-up " + id + " has reached it");
                }
                start(name + " set-up", () -> {
                    Thread.sleep(answerMs);
                    boolean stands;
                    synchronized (standing) { // it may be given up just now
                        stands = reached.containsKey(id);
                        if (stands) {
                            standing.put(id, line);
                        }
                    }
                    if (stands) {
                        line.send(new Message("RTSP/1.0 200 OK")
                                .with("CSeq", "1")
                                .with("Session", id)
                                .with("X-Circuits", "inflight:" + standing.size() + ";x0:0.2;active:" + standing.size())
                                .body(description(id)));
                        if (!quiet) {
                            note(name + ": session " + id + " stands");
                        }
                    }
                });
            } else if (message.is("TEARDOWN")) {
                boolean stood;
                synchronized (standing) {
                    reached.remove(message.session());
                    stood = standing.remove(message.session()) != null;
                }
                if (!quiet) {
                    note(name + ": the gateway " + (stood ? "released session " : "gave up set-up ") + message.session());
                }
                line.send(new Message("RTSP/1.0 200 OK").with("CSeq", "2").with("Session", message.session()));
            } else if (message.is("OPTIONS")) {
                line.send(new Message("RTSP/1.0 200 OK").with("CSeq", "3"));
            }
        }

        String description(String id) {
            return id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio " + server.getLocalPort() + " RTP/AVP 0 8 101\r\n";
        }

        String json() {
            return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                    + "\",\"zone\":\"hall-a\",\"type\":\"box\",\"group\":" + cell
                    + ",\"status\":\"SERVING\",\"weight\":3,\"since_ms\":0}";
        }

        byte[] entry() {
            return ByteBuffer.allocate(27)
                    .putInt(number)
                    .put(LOOPBACK.getAddress())
                    .putShort((short) server.getLocalPort())
                    .put((byte) state)
                    .put((byte) 0)
                    .put((byte) 0)
                    .putShort((short) cell)
                    .putInt(3000)
                    .putLong(0)
                    .array();
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Line line : lines) {
                line.close();
            }
        }
    }

    /** A connection from viewers; all that is received is kept. */
    class Viewer extends Line {
        final List<Message> received = new ArrayList<>();
        private boolean ended;
        private double endedAt;

        Viewer() throws IOException {
            super(connect());
            open.add(this);
            start("viewer", () -> {
                try {
                    while (true) {
                        Message message = Message.read(in);
                        synchronized (received) {
                            received.add(message);
                            received.notifyAll();
                        }
                        if (!message.is("OPTIONS") && !"3".equals(message.headers.get("CSeq"))) {
                            note("viewer: got " + message.first + " for " + message.session()
                                    + (message.headers.containsKey("Reason") ? " " + message.headers.get("Reason") : ""));
                        }
                        if (message.is("TEARDOWN") || message.is("REDIRECT")) {
                            if (message.is("TEARDOWN")) {
                                send(new Message("RTSP/1.0 200 OK").with("CSeq", "2").with("Session", message.session()));
                            }
                        }
                    }
                } finally {
                    synchronized (received) {
                        ended = true;
                        endedAt = now();
                        received.notifyAll();
                    }
                    close();
                }
            });
        }

        boolean hasEnded() {
            synchronized (received) {
                return ended;
            }
        }

        double endedAt() {
            synchronized (received) {
                return endedAt;
            }
        }

        /** The first message that fits, or null if none came in time. */
        Message await(java.util.function.Predicate<Message> fits, long timeoutMs) throws InterruptedException {
            double until = now() + timeoutMs;
            synchronized (received) {
                while (true) {
                    for (Message message : received) {
                        if (fits.test(message)) {
                            return message;
                        }
                    }
                    long left = (long) (until - now());
                    if (ended || left <= 0) {
                        return null;
                    }
                    received.wait(left);
                }
            }
        }

        boolean test(long timeoutMs) throws IOException {
            send(new Message("OPTIONS rtsp://media/ping RTSP/1.0").with("CSeq", "3"));
            try {
                Message answer = await(message -> "3".equals(message.headers.get("CSeq")), timeoutMs);
                return answer != null && answer.status() == 200;
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        String setUp(String trafficClass, int home, int copies, int waitMs) throws IOException {
            return setUp(TITLE, trafficClass, home, copies, waitMs);
        }

        String setUp(String title, String trafficClass, int home, int copies, int waitMs) throws IOException {
            String id = newId();
            note("viewer: set-up " + id + " of " + trafficClass + " for title " + title + " sent");
            send(setUpMessage(title, id, trafficClass, home, copies, waitMs,
                    id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"));
            return id;
        }

        void end(String id) throws IOException {
            note("viewer: ends session " + id);
            send(tearDown(id).with("Reason", "cause=31"));
        }

        Message answer(String id, long timeoutMs) throws InterruptedException {
            return await(message -> id.equals(message.session()) && message.status() >= 200
                    && "1".equals(message.headers.get("CSeq")), timeoutMs);
        }
    }

    static Message tearDown(String id) {
        return new Message("TEARDOWN rtsp://media/" + TITLE + " RTSP/1.0").with("CSeq", "2").with("Session", id);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
        return socket;
    }

    static Message setUpMessage(
            String title, String id, String trafficClass, int home, int copies, int waitMs, String description) {
        return new Message("SETUP rtsp://media/" + title + " RTSP/1.0")
                .with("CSeq", "1")
                .with("Session", id)
                .with("X-Call-Class", trafficClass)
                .with("X-Ring-Limit", Integer.toString(waitMs))
                .with("X-Dest", "home:" + home + ";copies:" + copies + ";top:4;viewer:" + id)
                .body(description);
    }

    /** Runs one case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] arguments, Case body) {
        TROUBLE = !arguments[2].equals("0");
        int status = 2;
        try (Rig rig = new Rig(arguments[0], arguments[1])) {
            Thread watchdog = new Thread(() -> {
                try {
                    Thread.sleep(110_000);
                    rig.note("could not run: over its time");
                    rig.gateway.destroyForcibly();
                } catch (Exception e) {
                    return;
                }
                Runtime.getRuntime().halt(2);
            });
            watchdog.setDaemon(true);
            watchdog.start();
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                if (rig.gateway != null) {
                    rig.gateway.destroyForcibly();
                }
            }));
            try {
                String broken = body.run(rig);
                status = broken == null ? 0 : 1;
                rig.note(broken == null ? "RULE KEPT" : "RULE BROKEN: " + broken);
                System.out.println(broken == null ? "rule kept" : "rule broken: " + broken);
            } catch (Exception e) {
                rig.note("could not run: " + e);
                System.out.println("could not run: " + e);
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            status = 2;
        }
        System.exit(status);
    }

    interface Case {
        /** Returns what broke the rule, or null if it held. */
        String run(Rig rig) throws Exception;
    }
}
