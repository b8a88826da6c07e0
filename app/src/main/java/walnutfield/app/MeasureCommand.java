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
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Request;
import walnutfield.net.Server;
import walnutfield.net.WholeAnswer;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHosts;

/**
 * Measures a gateway in a process of its own against a bare server that answers the same playlist without a
 * decision, in one run. Hosts are stand-ins in this process: what they cost is part of both the load and the times.
 */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        description =
                "Set-ups a second and added time of a gateway against a bare server, in one run (simulated hosts).")
final class MeasureCommand implements Callable<Integer> {
    static final int TITLES = 200;
    private static final int IN_FLIGHT = 32;
    private static final long WORST_US = 60_000_000;

    @Option(names = "--hosts", split = ",", defaultValue = "12,230", description = "fleets (${DEFAULT-VALUE})")
    private List<Integer> fleets;

    @Option(names = "--seconds", defaultValue = "5", description = "of each measurement (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--rate",
            defaultValue = "300",
            description = "plays a second when times are taken (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--held",
            defaultValue = "1000",
            description = "plays held open for the memory figure (${DEFAULT-VALUE})")
    private int held;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** The server that decides nothing. */
    @Command(name = "bare", hidden = true, description = "Answers one playlist to everybody.")
    static final class Bare implements Callable<Integer> {
        @Override
        public Integer call() throws Exception {
            byte[] text =
                    "#EXTM3U\n#EXT-X-VERSION:3\n#EXT-X-INDEPENDENT-SEGMENTS\n#EXT-X-STREAM-INF:BANDWIDTH=6400000\n/session/gw0.mx4rk9il-1.m3u8\n"
                            .getBytes(StandardCharsets.UTF_8);
            Server s = new Server(
                    "bare",
                    1,
                    new Limits(20_000, 8192, 60, 4096, 3000, 30_000, 5000, 4),
                    x -> x.answer(
                            200,
                            Headers.of(
                                    "Content-Type",
                                    "application/vnd.apple.mpegurl",
                                    "Cache-Control",
                                    "no-store",
                                    "Session-Id",
                                    "gw0.mx4rk9il-1"),
                            text));
            s.start();
            System.out.println("listening on 127.0.0.1:" + s.bind(0));
            new CountDownLatch(1).await();
            return 0;
        }
    }

    private record Times(double perS, Histogram us, long bad) {}

    @Override
    public Integer call() throws Exception {
        LogSetup.to(null, Level.ERROR);
        Path dir = Files.createTempDirectory("measure");
        StringBuilder out = new StringBuilder("hosts  what     set-ups/s   p50 ms   p99 ms   not served\n");
        StringBuilder more = new StringBuilder();
        for (int fleet : fleets) {
            try (Client client = new Client("load", 2, new Client.Terms(5000, 4000, 4096, 16_384, 1 << 20))) {
                Times bare;
                try (ChildProcess child = new ChildProcess(List.of(), "bare")) {
                    bare = times(client, child.at, fleet, "bare", out);
                }
                Times ours = gateway(client, fleet, dir, out, more, false);
                Times recorded = gateway(client, fleet, dir, out, more, true);
                more.append(String.format(
                        Locale.ROOT,
                        "%d hosts: recording takes %.1f%% of the set-ups a second%n",
                        fleet,
                        100 - 100 * recorded.perS() / ours.perS()));
                more.append(String.format(
                        Locale.ROOT,
                        "%d hosts: added time at %.0f plays/s: p50 %.2f ms, p99 %.2f ms; "
                                + "%.1f%% of the bare server's rate%n",
                        fleet,
                        rate,
                        ms(ours, 50) - ms(bare, 50),
                        ms(ours, 99) - ms(bare, 99),
                        100 * ours.perS() / bare.perS()));
            }
            spec.commandLine().getOut().println("(measured at " + fleet + " hosts)");
            spec.commandLine().getOut().flush();
        }
        spec.commandLine().getOut().print(out.append(more));
        spec.commandLine().getOut().flush();
        return 0;
    }

    private static double ms(Times t, double percentile) {
        return t.us().getValueAtPercentile(percentile) / 1000.0;
    }

    private Times gateway(Client client, int fleet, Path dir, StringBuilder out, StringBuilder more, boolean record)
            throws Exception {
        UnconstrainedFleet all = new UnconstrainedFleet(fleet);
        try (ListService list = new ListService(all.auditor)) {
            Path config = dir.resolve("gateway-" + fleet + ".xml");
            Files.writeString(config, settings(fleet, list.port()));
            Times taken;
            try (MediaHosts hosts = all.hosts(1000);
                    ChildProcess child = child(config, hosts, list, record ? dir.resolve(fleet + ".record") : null)) {
                taken = times(client, child.at, fleet, record ? "recorded" : "gateway", out);
                if (record) {
                    return taken;
                }
                more.append(fleet)
                        .append(" hosts: ")
                        .append(parts(client, child.at))
                        .append('\n');
            }
            try (MediaHosts hosts = all.hosts(600_000);
                    ChildProcess child = child(config, hosts, list, null)) {
                hold(client, child.at, held);
                long before = child.heapKb();
                hold(client, child.at, held);
                long after = child.heapKb();
                more.append(String.format(
                        Locale.ROOT,
                        "%d hosts: heap for each open play: %.1f kB (%d and %d plays held)%n",
                        fleet,
                        (after - before) / (double) held,
                        held,
                        2 * held));
            }
            return taken;
        }
    }

    private ChildProcess child(Path config, MediaHosts hosts, ListService list, Path record) throws Exception {
        UnconstrainedFleet.publish(hosts, list);
        ChildProcess c = new ChildProcess(
                List.of("-Xmx1g", "-XX:+UseSerialGC"),
                record == null
                        ? new String[] {"gateway", config.toString()}
                        : new String[] {"gateway", config.toString(), "--record", record.toString()});
        Thread.sleep(1000); // it follows the list
        return c;
    }

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

    private static String target(long n) {
        return "/play/" + (n % TITLES + 1) + ".m3u8?band=b&viewer=" + n;
    }

    private final AtomicLong viewers = new AtomicLong();

    private Times times(Client client, InetSocketAddress at, int fleet, String what, StringBuilder out)
            throws InterruptedException {
        closed(client, at, seconds); // to warm up
        double perS = closed(client, at, seconds);
        Thread.sleep(2500); // the plays of that end
        ConcurrentHistogram us = new ConcurrentHistogram(WORST_US, 3);
        AtomicLong bad = new AtomicLong();
        AtomicLong over = new AtomicLong();
        long all = Math.round(rate * seconds);
        double begin = Clock.now();
        for (long i = 0; i < all; i++) { // open loop: a late answer delays no later request
            double due = begin + i * 1000 / rate;
            while (Clock.now() < due) {
                Thread.sleep(0, 200_000);
            }
            client.send(at, Request.get(target(viewers.incrementAndGet()), Headers.NONE), new Once(ok -> {
                us.recordValue(Math.min(WORST_US, Math.round((Clock.now() - due) * 1000)));
                bad.addAndGet(ok == 200 ? 0 : 1);
                over.incrementAndGet();
                return null;
            }));
        }
        for (int i = 0; i < 200 && over.get() < all; i++) {
            Thread.sleep(50);
        }
        Times t = new Times(perS, us, bad.get() + all - over.get());
        out.append(String.format(
                Locale.ROOT, "%5d  %-8s %9.0f %8.2f %8.2f %12d%n", fleet, what, perS, ms(t, 50), ms(t, 99), t.bad()));
        return t;
    }

    /** So many requests in flight, each followed by the next; answers a second. */
    private double closed(Client client, InetSocketAddress at, double forS) throws InterruptedException {
        AtomicLong served = new AtomicLong();
        double until = Clock.now() + forS * 1000;
        CountDownLatch ended = new CountDownLatch(IN_FLIGHT);
        for (int i = 0; i < IN_FLIGHT; i++) {
            next(client, at, until, served, ended);
        }
        ended.await(forS > 0 ? (long) (forS * 1000) + 10_000 : 10_000, TimeUnit.MILLISECONDS);
        return served.get() / forS;
    }

    private void next(Client client, InetSocketAddress at, double until, AtomicLong served, CountDownLatch ended) {
        if (Clock.now() >= until) {
            ended.countDown();
            return;
        }
        client.send(at, Request.get(target(viewers.incrementAndGet()), Headers.NONE), new Once(ok -> {
            served.addAndGet(ok == 200 ? 1 : 0);
            next(client, at, until, served, ended);
            return null;
        }));
    }

    private void hold(Client client, InetSocketAddress at, int plays) throws InterruptedException {
        CountDownLatch all = new CountDownLatch(plays);
        for (int i = 0; i < plays; i++) {
            client.send(at, Request.get(target(viewers.incrementAndGet()), Headers.NONE), new Once(ok -> {
                all.countDown();
                return null;
            }));
            Thread.sleep(1);
        }
        all.await(20, TimeUnit.SECONDS);
        Thread.sleep(1000);
    }

    /** Where the time goes, by the gateway's own figures. */
    private static String parts(Client client, InetSocketAddress at) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        StringBuilder text = new StringBuilder();
        client.send(at, Request.get("/metrics", Headers.NONE), new WholeAnswer() {
            @Override
            protected void whole(int status, Headers headers, String body) {
                text.append(body);
                done.countDown();
            }

            @Override
            protected void not(Client.Failure how) {
                done.countDown();
            }
        });
        done.await(5, TimeUnit.SECONDS);
        Map<String, String> found = new TreeMap<>();
        Matcher m = Pattern.compile("walnutfield_([a-z_]+)_seconds\\{quantile=\"([0-9.]+)\"\\} ([0-9.E-]+)")
                .matcher(text);
        while (m.find()) {
            found.merge(
                    m.group(1),
                    String.format(Locale.ROOT, "%.3f", 1000 * Double.parseDouble(m.group(3))),
                    (a, b) -> a + "/" + b);
        }
        return "p50/p99 ms by the gateway's own figures: " + found;
    }

    /** Hands on the status of an answer; 0 for none. */
    private static final class Once extends WholeAnswer {
        private final LongFunction<Void> to;

        Once(LongFunction<Void> to) {
            this.to = to;
        }

        @Override
        protected void whole(int status, Headers headers, String body) {
            to.apply(status);
        }

        @Override
        protected void not(Client.Failure how) {
            to.apply(0);
        }
    }
}
