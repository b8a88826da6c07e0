package walnutfield.app;

import ch.qos.logback.classic.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import walnutfield.net.Client;
import walnutfield.net.Clock;
import walnutfield.net.CompleteResponseHandler;
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Request;
import walnutfield.net.Server;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHosts;

/**
 * Measures a gateway against a bare server that answers every request with the same playlist and decides nothing. Both
 * run in processes of their own, one after the other in one run. The media hosts are stand-ins in this process, so
 * their cost is part of the load on the machine and of the times measured.
 */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Measures set-ups per second and added latency of a gateway against a bare server (simulated hosts).")
final class MeasureCommand implements Callable<Integer> {
    static final int TITLES = 200; // number of titles that viewers and callers ask for in turn
    private static final int IN_FLIGHT = 32; // concurrent requests of the closed loop
    private static final long MAX_LATENCY_US = 60_000_000; // longer latencies are recorded as 60 s

    @Option(
            names = "--hosts",
            split = ",",
            defaultValue = "12,230",
            description = "fleet sizes to measure (${DEFAULT-VALUE})")
    private List<Integer> fleets;

    @Option(names = "--seconds", defaultValue = "5", description = "duration of each measurement (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "plays per second while latency is measured (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--held",
            defaultValue = "1000",
            description = "plays held open to measure memory per play (${DEFAULT-VALUE})")
    private int held;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The baseline: a server that answers every request with one playlist. */
    @Command(name = "bare", hidden = true, description = "Answers every request with one playlist.")
    static final class BareServerCommand implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            byte[] playlist =
                    "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH=6400000\n/session/gw0.mx4rk9il-1.m3u8\n"
                            .getBytes(StandardCharsets.UTF_8);
            Server server = new Server(
                    "bare",
                    1,
                    new Limits(20_000, 8192, 60, 4096, 3000, 30_000, 5000, 4),
                    exchange -> exchange.respond(
                            200,
                            Headers.of(
                                    "Content-Type",
                                    "application/vnd.apple.mpegurl",
                                    "Cache-Control",
                                    "no-store",
                                    "Session-Id",
                                    "gw0.mx4rk9il-1"),
                            playlist));
            server.start();
            System.out.println("listening on 127.0.0.1:" + server.bind(0));
            new CountDownLatch(1).await();
            return 0;
        }
    }

    /**
     * One measurement of a server.
     *
     * @param setUpsPerS set-ups per second of the closed loop
     * @param latencyUs  latency of each answer of the open loop, from when its request was due
     * @param failed     requests of the open loop without an answer of status 200
     */
    private record Timings(double setUpsPerS, Histogram latencyUs, long failed) {}

    @Override
    public Integer call() throws Exception {
        LogSetup.configure(null, Level.ERROR);
        Path dir = Files.createTempDirectory("measure");
        StringBuilder table = new StringBuilder("hosts  what     set-ups/s   p50 ms   p99 ms   not served\n");
        StringBuilder notes = new StringBuilder();
        for (int fleet : fleets) {
            try (Client client = new Client("load", 2, new Client.Settings(5000, 4000, 4096, 16_384, 1 << 20))) {
                Timings bare;
                try (ChildProcess child = new ChildProcess(List.of(), "bare")) {
                    bare = measure(client, child.address, fleet, "bare", table);
                }
                Timings gateway = measureGateway(client, fleet, dir, table, notes, false);
                Timings recorded = measureGateway(client, fleet, dir, table, notes, true);
                notes.append(String.format(
                        Locale.ROOT,
                        "%d hosts: recording takes %.1f%% of the set-ups a second%n",
                        fleet,
                        100 - 100 * recorded.setUpsPerS() / gateway.setUpsPerS()));
                notes.append(String.format(
                        Locale.ROOT,
                        "%d hosts: added time at %.0f plays/s: p50 %.2f ms, p99 %.2f ms; "
                                + "%.1f%% of the bare server's rate%n",
                        fleet,
                        rate,
                        percentileMs(gateway, 50) - percentileMs(bare, 50),
                        percentileMs(gateway, 99) - percentileMs(bare, 99),
                        100 * gateway.setUpsPerS() / bare.setUpsPerS()));
            }
            spec.commandLine().getOut().println("(measured at " + fleet + " hosts)");
            spec.commandLine().getOut().flush();
        }
        spec.commandLine().getOut().print(table.append(notes));
        spec.commandLine().getOut().flush();
        return 0;
    }

    private static double percentileMs(Timings timings, double percentile) {
        return timings.latencyUs().getValueAtPercentile(percentile) / 1000.0;
    }

    /**
     * Measures a gateway in a process of its own; where it does not record, also its heap for each open play.
     *
     * @param table gets a line on the set-ups
     * @param notes gets the lines that follow the table
     */
    private Timings measureGateway(
            Client client, int fleet, Path dir, StringBuilder table, StringBuilder notes, boolean record)
            throws Exception {
        UnconstrainedFleet unconstrained = new UnconstrainedFleet(fleet);
        try (ListService list = new ListService(unconstrained.auditor)) {
            Path config = dir.resolve("gateway-" + fleet + ".xml");
            Files.writeString(config, settings(fleet, list.port()));
            Timings timings;
            try (MediaHosts hosts = unconstrained.startHosts(1000);
                    ChildProcess child =
                            startGateway(config, hosts, list, record ? dir.resolve(fleet + ".record") : null)) {
                timings = measure(client, child.address, fleet, record ? "recorded" : "gateway", table);
                if (record) {
                    return timings;
                }
                notes.append(fleet)
                        .append(" hosts: ")
                        .append(stagePercentiles(client, child.address))
                        .append('\n');
            }
            try (MediaHosts hosts = unconstrained.startHosts(600_000);
                    ChildProcess child = startGateway(config, hosts, list, null)) {
                openPlays(client, child.address, held);
                long firstKb = child.heapKb();
                openPlays(client, child.address, held);
                long secondKb = child.heapKb();
                notes.append(String.format(
                        Locale.ROOT,
                        "%d hosts: heap for each open play: %.1f kB (%d and %d plays held)%n",
                        fleet,
                        (secondKb - firstKb) / (double) held,
                        held,
                        2 * held));
            }
            return timings;
        }
    }

    private ChildProcess startGateway(Path config, MediaHosts hosts, ListService list, Path record) throws Exception {
        UnconstrainedFleet.publish(hosts, list);
        ChildProcess child = new ChildProcess(
                List.of("-Xmx1g", "-XX:+UseSerialGC"),
                record == null
                        ? new String[] {"gateway", config.toString()}
                        : new String[] {"gateway", config.toString(), "--record", record.toString()});
        Thread.sleep(1000); // gives the gateway time to load the host list
        return child;
    }

    /** Settings of a gateway in front of an {@link UnconstrainedFleet} of this many hosts, without slow start. */
    static String settings(int fleet, int listPort) {
        StringBuilder titles = new StringBuilder();
        for (int i = 1; i <= TITLES; i++) {
            titles.append("<title id='")
                    .append(i)
                    .append("' first-cell='")
                    .append(i * 7 % fleet)
                    .append("' holders='")
                    .append(Math.min(6, fleet))
                    .append("'/>");
        }
        return "<gateway xmlns='urn:walnutfield:1' name='gw0' gateways='1' seed='5'><rungs><rung kb='90' credit='0.22'/>"
                + "<rung kb='200' credit='0.5'/><rung kb='400' credit='0.8'/><rung kb='800' credit='1'/></rungs>"
                + "<bands><band name='b' expected-ms='1000' hard-stop-ms='5000'/></bands><legs/><cold warm-ms='0'/><shed/>"
                + "<reports/><moves/><links all-kb='" + 1_000_000_000.0 * fleet + "' racks='1' cells='" + fleet + "'/>"
                + "<front connections='20000' queue='10000' idle-ms='600000'/><host-client/><list address='127.0.0.1:"
                + listPort + "'/><titles>" + titles
                + "</titles></gateway>";
    }

    private static String playTarget(long viewer) {
        return "/play/" + (viewer % TITLES + 1) + ".m3u8?band=b&viewer=" + viewer;
    }

    private final AtomicLong lastViewer = new AtomicLong();

    /** Measures the rate of set-ups with a closed loop of requests, then their latency with an open loop. */
    private Timings measure(Client client, InetSocketAddress address, int fleet, String label, StringBuilder table)
            throws InterruptedException {
        runClosedLoop(client, address, seconds); // warms up the server's JIT compiler
        double setUpsPerS = runClosedLoop(client, address, seconds);
        Thread.sleep(2500); // gives the plays of the closed loop time to end
        ConcurrentHistogram latencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
        AtomicLong failed = new AtomicLong();
        AtomicLong answered = new AtomicLong();
        long requests = Math.round(rate * seconds);
        double startMs = Clock.now();
        for (long i = 0; i < requests; i++) { // open loop: a late answer delays no later request
            double dueMs = startMs + i * 1000 / rate;
            while (Clock.now() < dueMs) {
                Thread.sleep(0, 200_000);
            }
            client.send(
                    address,
                    Request.get(playTarget(lastViewer.incrementAndGet()), Headers.NONE),
                    new StatusHandler(status -> {
                        latencyUs.recordValue(Math.min(MAX_LATENCY_US, Math.round((Clock.now() - dueMs) * 1000)));
                        failed.addAndGet(status == 200 ? 0 : 1);
                        answered.incrementAndGet();
                        return null;
                    }));
        }
        for (int i = 0; i < 200 && answered.get() < requests; i++) {
            Thread.sleep(50);
        }
        Timings timings = new Timings(setUpsPerS, latencyUs, failed.get() + requests - answered.get());
        table.append(String.format(
                Locale.ROOT,
                "%5d  %-8s %9.0f %8.2f %8.2f %12d%n",
                fleet,
                label,
                setUpsPerS,
                percentileMs(timings, 50),
                percentileMs(timings, 99),
                timings.failed()));
        return timings;
    }

    /** Keeps {@link #IN_FLIGHT} requests open, each followed by the next; returns the set-ups per second. */
    private double runClosedLoop(Client client, InetSocketAddress address, double durationS)
            throws InterruptedException {
        AtomicLong served = new AtomicLong();
        double endMs = Clock.now() + durationS * 1000;
        CountDownLatch finished = new CountDownLatch(IN_FLIGHT);
        for (int i = 0; i < IN_FLIGHT; i++) {
            sendNext(client, address, endMs, served, finished);
        }
        finished.await(durationS > 0 ? (long) (durationS * 1000) + 10_000 : 10_000, TimeUnit.MILLISECONDS);
        return served.get() / durationS;
    }

    private void sendNext(
            Client client, InetSocketAddress address, double endMs, AtomicLong served, CountDownLatch finished) {
        if (Clock.now() >= endMs) {
            finished.countDown();
            return;
        }
        client.send(
                address,
                Request.get(playTarget(lastViewer.incrementAndGet()), Headers.NONE),
                new StatusHandler(status -> {
                    served.addAndGet(status == 200 ? 1 : 0);
                    sendNext(client, address, endMs, served, finished);
                    return null;
                }));
    }

    /** Starts plays that stay open, which needs long idle timeouts in the gateway and in the hosts. */
    private void openPlays(Client client, InetSocketAddress address, int plays) throws InterruptedException {
        CountDownLatch answered = new CountDownLatch(plays);
        for (int i = 0; i < plays; i++) {
            client.send(
                    address,
                    Request.get(playTarget(lastViewer.incrementAndGet()), Headers.NONE),
                    new StatusHandler(status -> {
                        answered.countDown();
                        return null;
                    }));
            Thread.sleep(1);
        }
        answered.await(20, TimeUnit.SECONDS);
        Thread.sleep(1000);
    }

    /** The percentiles of each stage of a set-up, by the gateway's own metrics. */
    private static String stagePercentiles(Client client, InetSocketAddress address) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        StringBuilder metrics = new StringBuilder();
        client.send(address, Request.get("/metrics", Headers.NONE), new CompleteResponseHandler() {
            @Override
            protected void onResponse(int status, Headers headers, String body) {
                metrics.append(body);
                done.countDown();
            }

            @Override
            protected void onNoResponse(Client.Failure how) {
                done.countDown();
            }
        });
        done.await(5, TimeUnit.SECONDS);
        Map<String, String> percentiles = new TreeMap<>();
        Matcher matcher = Pattern.compile("walnutfield_([a-z_]+)_seconds\\{quantile=\"([0-9.]+)\"\\} ([0-9.E-]+)")
                .matcher(metrics);
        while (matcher.find()) {
            percentiles.merge(
                    matcher.group(1),
                    String.format(Locale.ROOT, "%.3f", 1000 * Double.parseDouble(matcher.group(3))),
                    (a, b) -> a + "/" + b);
        }
        return "p50/p99 ms by the gateway's own figures: " + percentiles;
    }

    /** Passes the status of an answer to a function; 0 where there was no answer. */
    private static final class StatusHandler extends CompleteResponseHandler {
        private final LongFunction<Void> handler;

        StatusHandler(LongFunction<Void> handler) {
            this.handler = handler;
        }

        @Override
        protected void onResponse(int status, Headers headers, String body) {
            handler.apply(status);
        }

        @Override
        protected void onNoResponse(Client.Failure how) {
            handler.apply(0);
        }
    }
}
