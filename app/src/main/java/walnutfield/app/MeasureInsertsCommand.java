package walnutfield.app;

import ch.qos.logback.classic.Level;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import walnutfield.standin.day.Rehearsal;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;

/**
 * Measures what inserts cost and how many are completed. One scripted day is played three times: without inserts, with
 * inserts placed by the decision module, and with every insert on the first host that holds it as a baseline.
 */
@Command(
        name = "measure-inserts",
        mixinStandardHelpOptions = true,
        description =
                "Plays a day without inserts, with them, and with each on the first host that holds it (simulated).")
final class MeasureInsertsCommand implements Callable<Integer> {
    private static final long MAX_LATENCY_US = 60_000_000; // longer latencies are recorded as 60 s

    @Parameters(index = "0", paramLabel = "SCRIPT.xml")
    private Path file;

    @Option(names = "--seed")
    private Long seed;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LogSetup.configure(null, Level.ERROR);
        Schedule schedule = new RehearsalScript(
                        XmlElement.read(file, "day"), new RehearsalScript.Overrides(seed, null, null))
                .schedule();
        List<Insert> onFirstHolder = schedule.inserts().stream()
                .map(insert -> new Insert(
                        insert.id(),
                        insert.title(),
                        insert.firstCell(),
                        1,
                        insert.maxRung(),
                        insert.durationMs(),
                        insert.targetDurationS(),
                        insert.place(),
                        insert.atMs(),
                        insert.replacedMs(),
                        insert.mandatory(),
                        insert.trafficClasses(),
                        insert.tenants(),
                        insert.fromMs(),
                        insert.untilMs(),
                        insert.maxPerHour()))
                .toList();
        long brokenRules = playDay("without", Schedule.NONE)
                + playDay("by the module", schedule)
                + playDay("first holder", new Schedule(onFirstHolder));
        return brokenRules == 0 ? 0 : 1;
    }

    private long playDay(String placement, Schedule schedule) throws Exception {
        RehearsalScript script =
                new RehearsalScript(XmlElement.read(file, "day"), new RehearsalScript.Overrides(seed, null, null));
        SimpleMeterRegistry registry = new SimpleMeterRegistry();
        Rehearsal.Outcome outcome = new Rehearsal(script.day(), script.rig(null, schedule, registry)).run();
        Histogram startLatencyUs = new Histogram(MAX_LATENCY_US, 3);
        outcome.startDelaysMs()
                .forEach(ms -> startLatencyUs.recordValue(Math.min(MAX_LATENCY_US, Math.round(ms * 1000))));
        Map<String, Long> insertsByEvent = new TreeMap<>();
        for (Counter counter : registry.find("walnutfield.inserts").counters()) {
            insertsByEvent.merge(counter.getId().getTag("what"), (long) counter.count(), Long::sum);
        }
        long started = insertsByEvent.getOrDefault("started", 0L);
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "%-14s plays %s; start p50 %.1f ms p99 %.1f ms; legs %d; " + "inserts %s%s; rules broken %d%n",
                        placement,
                        outcome.requestCounts(),
                        startLatencyUs.getValueAtPercentile(50) / 1000.0,
                        startLatencyUs.getValueAtPercentile(99) / 1000.0,
                        outcome.legCount(),
                        insertsByEvent,
                        started == 0
                                ? ""
                                : String.format(
                                        Locale.ROOT,
                                        ", %.1f%% of those started completed",
                                        100.0 * insertsByEvent.getOrDefault("completed", 0L) / started),
                        outcome.breachCount());
        spec.commandLine().getOut().flush();
        return outcome.breachCount();
    }
}
