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
import walnutfield.standin.CallLoadGenerator;
import walnutfield.standin.ImpairedNetwork;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.SipHosts;

/**
 * Measures calls per second, post-dial delay and memory per call of the SIP front, both with decisions and with a
 * handler that sends every call to one host.
 */
@Command(
        name = "measure-calls",
        mixinStandardHelpOptions = true,
        description =
                "Measures the SIP front in a process of its own, with decisions and with a fixed host (simulated).")
final class MeasureCallsCommand implements Callable<Integer> {
    private static final int IN_FLIGHT = 64; // concurrent calls of the closed loop
    private static final double T1_MS =
            100; // the round trip that callers, gateway and hosts assume (RFC 3261, timer T1)
    private static final long SETTLE_MS = 7000; // longer than 64 T1 (6.4 s), when transactions have expired
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
            defaultValue = "200",
            description = "calls per second while latency is measured (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--held",
            defaultValue = "1000",
            description = "calls held open to measure memory per call (${DEFAULT-VALUE})")
    private int held;

    @Option(
            names = "--loss",
            defaultValue = "0.05",
            description = "share of datagrams lost in the run that counts retransmissions (${DEFAULT-VALUE})")
    private double loss;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LogSetup.configure(null, Level.ERROR);
        Path dir = Files.createTempDirectory("measure-calls");
        printLine("hosts  decisions    calls/s   p50 ms   p99 ms  kB/call  not served");
        for (int fleet : fleets) {
            measure(dir, fleet, "fixed host", true, new ImpairedNetwork.Impairments(0, 0, 0));
            measure(dir, fleet, "the module", false, new ImpairedNetwork.Impairments(0, 0, 0));
        }
        measure(dir, fleets.get(0), "the module", false, new ImpairedNetwork.Impairments(loss, 0, 0));
        return 0;
    }

    private void printLine(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    private void measure(
            Path dir, int fleet, String decisions, boolean fixedHost, ImpairedNetwork.Impairments impairments)
            throws Exception {
        UnconstrainedFleet unconstrained = new UnconstrainedFleet(fleet);
        try (ListService listService = new ListService(unconstrained.auditor);
                MediaHosts hosts = unconstrained.startHosts(600_000);
                SipHosts sip = new SipHosts(hosts, T1_MS, impairments, 2, unconstrained.auditor);
                CallLoadGenerator load = new CallLoadGenerator(MeasureCommand.TITLES, T1_MS, impairments, 3)) {
            UnconstrainedFleet.publish(hosts, listService);
            Path config = dir.resolve("gateway.xml");
            Files.writeString(
                    config,
                    MeasureCommand.settings(fleet, listService.port())
                            .replace("<front ", "<sip half-open='1000000' t1-ms='" + T1_MS + "'/><front "));
            try (ChildProcess child = new ChildProcess(
                    List.of("-Xmx1g", "-XX:+UseSerialGC"),
                    fixedHost
                            ? new String[] {"gateway", "--fixed-host", config.toString()}
                            : new String[] {"gateway", config.toString()})) {
                InetSocketAddress sipAddress = child.readSipAddress();
                Thread.sleep(1000); // gives the gateway time to load the host list
                load.runClosedLoop(sipAddress, IN_FLIGHT, seconds * 1000); // warms up the JIT compiler
                double callsPerS = load.runClosedLoop(sipAddress, IN_FLIGHT, seconds * 1000);
                Histogram latencyUs = new Histogram(MAX_LATENCY_US, 3);
                long messagesBefore = load.messageCounts()[0];
                long resentBefore = load.messageCounts()[1];
                load.runOpenLoop(sipAddress, rate, seconds * 1000, latencyMs -> {
                    synchronized (latencyUs) {
                        latencyUs.recordValue(Math.min(MAX_LATENCY_US, Math.round(latencyMs * 1000)));
                    }
                });
                if (impairments.lossRatio() > 0) {
                    printLine(String.format(
                            Locale.ROOT,
                            "%5d  %.0f%% lost: p50 %.2f ms, p99 %.2f ms; callers sent %.1f%% of their messages "
                                    + "again; not served %d",
                            fleet,
                            100 * impairments.lossRatio(),
                            latencyUs.getValueAtPercentile(50) / 1000.0,
                            latencyUs.getValueAtPercentile(99) / 1000.0,
                            100.0
                                    * (load.messageCounts()[1] - resentBefore)
                                    / (load.messageCounts()[0] - messagesBefore),
                            load.notServed()));
                    return;
                }
                Thread.sleep(SETTLE_MS); // the transactions of ended calls hold memory for 64 T1
                load.holdCalls(sipAddress, held);
                Thread.sleep(SETTLE_MS);
                long firstKb = child.heapKb();
                load.holdCalls(sipAddress, held);
                Thread.sleep(SETTLE_MS);
                long secondKb = child.heapKb();
                printLine(String.format(
                        Locale.ROOT,
                        "%5d  %-10s %9.0f %8.2f %8.2f %8.1f  %d %s",
                        fleet,
                        decisions,
                        callsPerS,
                        latencyUs.getValueAtPercentile(50) / 1000.0,
                        latencyUs.getValueAtPercentile(99) / 1000.0,
                        (secondKb - firstKb) / (double) held,
                        load.notServed(),
                        load.rejectionCounts()));
            }
        }
    }
}
