package walnutfield.app;

import ch.qos.logback.classic.Level;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import walnutfield.standin.CallLoad;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.SipHosts;
import walnutfield.standin.Weather;

/** Calls a second, post-dial delay and memory of the front for calls, and of the same front that decides nothing. */
@Command(
        name = "measure-calls",
        mixinStandardHelpOptions = true,
        description =
                "Measures the front for calls in a process of its own, with decisions and with a fixed host (simulated).")
final class MeasureCallsCommand implements Callable<Integer> {
    private static final int IN_FLIGHT = 64;
    private static final double T1_MS = 100;
    private static final long SETTLE_MS = 7000; // 64 round trips, and a little
    private static final long WORST_US = 60_000_000;

    @Option(names = "--hosts", split = ",", defaultValue = "12,230", description = "fleets (${DEFAULT-VALUE})")
    private List<Integer> fleets;

    @Option(names = "--seconds", defaultValue = "5", description = "of each measurement (${DEFAULT-VALUE})")
    private double seconds;

    @Option(
            names = "--rate",
            defaultValue = "200",
            description = "calls a second when times are taken (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--held",
            defaultValue = "1000",
            description = "calls held open for the memory figure (${DEFAULT-VALUE})")
    private int held;

    @Option(
            names = "--loss",
            defaultValue = "0.05",
            description = "of datagrams, where copies are counted (${DEFAULT-VALUE})")
    private double loss;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LogSetup.to(null, Level.ERROR);
        Path dir = Files.createTempDirectory("measure-calls");
        say("hosts  decisions    calls/s   p50 ms   p99 ms  kB/call  not served");
        for (int fleet : fleets) {
            run(dir, fleet, "fixed host", true, new Weather.Sky(0, 0, 0));
            run(dir, fleet, "the module", false, new Weather.Sky(0, 0, 0));
        }
        run(dir, fleets.get(0), "the module", false, new Weather.Sky(loss, 0, 0));
        return 0;
    }

    private void say(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    private void run(Path dir, int fleet, String what, boolean fixed, Weather.Sky sky) throws Exception {
        UnconstrainedFleet all = new UnconstrainedFleet(fleet);
        try (ListService list = new ListService(all.auditor);
                MediaHosts hosts = all.hosts(600_000);
                SipHosts sip = new SipHosts(hosts, T1_MS, sky, 2, all.auditor);
                CallLoad load = new CallLoad(MeasureCommand.TITLES, T1_MS, sky, 3)) {
            UnconstrainedFleet.publish(hosts, list);
            Path config = dir.resolve("gateway.xml");
            Files.writeString(
                    config,
                    MeasureCommand.settings(fleet, list.port())
                            .replace("<front ", "<sip half-open='1000000' t1-ms='" + T1_MS + "'/><front "));
            try (ChildProcess child = new ChildProcess(
                    List.of("-Xmx1g", "-XX:+UseSerialGC"),
                    fixed
                            ? new String[] {"gateway", "--fixed-host", config.toString()}
                            : new String[] {"gateway", config.toString()})) {
                InetSocketAddress at = child.calls();
                Thread.sleep(1000); // it follows the list
                load.closed(at, IN_FLIGHT, seconds * 1000); // to warm up
                double perS = load.closed(at, IN_FLIGHT, seconds * 1000);
                Histogram us = new Histogram(WORST_US, 3);
                long before = load.messages()[0];
                long again = load.messages()[1];
                load.open(at, rate, seconds * 1000, ms -> {
                    synchronized (us) {
                        us.recordValue(Math.min(WORST_US, Math.round(ms * 1000)));
                    }
                });
                if (sky.loss() > 0) {
                    say(String.format(
                            Locale.ROOT,
                            "%5d  %.0f%% lost: p50 %.2f ms, p99 %.2f ms; callers sent %.1f%% of their messages "
                                    + "again; not served %d",
                            fleet,
                            100 * sky.loss(),
                            us.getValueAtPercentile(50) / 1000.0,
                            us.getValueAtPercentile(99) / 1000.0,
                            100.0 * (load.messages()[1] - again) / (load.messages()[0] - before),
                            load.notServed()));
                    return;
                }
                Thread.sleep(SETTLE_MS); // what the transactions of ended calls keep is gone after 64 round trips
                load.hold(at, held);
                Thread.sleep(SETTLE_MS);
                long one = child.heapKb();
                load.hold(at, held);
                Thread.sleep(SETTLE_MS);
                long two = child.heapKb();
                say(String.format(
                        Locale.ROOT,
                        "%5d  %-10s %9.0f %8.2f %8.2f %8.1f  %d %s",
                        fleet,
                        what,
                        perS,
                        us.getValueAtPercentile(50) / 1000.0,
                        us.getValueAtPercentile(99) / 1000.0,
                        (two - one) / (double) held,
                        load.notServed(),
                        load.refusals()));
            }
        }
    }
}
