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

/** What inserts cost and how many come through, on one day without them, with them, and with a baseline's placement. */
@Command(
        name = "measure-inserts",
        mixinStandardHelpOptions = true,
        description =
                "Plays a day without inserts, with them, and with each placed on the first holder listed (simulated).")
final class MeasureInsertsCommand implements Callable<Integer> {
    private static final long WORST_US = 60_000_000;

    @Parameters(index = "0", paramLabel = "SCRIPT.xml")
    private Path file;

    @Option(names = "--seed")
    private Long seed;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        LogSetup.to(null, Level.ERROR);
        Schedule all = new RehearsalScript(XmlElement.read(file, "day"), new RehearsalScript.Instead(seed, null, null))
                .schedule();
        List<Insert> first = all.inserts().stream()
                .map(i -> new Insert(
                        i.id(),
                        i.title(),
                        i.firstCell(),
                        1,
                        i.maxRung(),
                        i.durationMs(),
                        i.targetDurationS(),
                        i.place(),
                        i.atMs(),
                        i.replacedMs(),
                        i.mandatory(),
                        i.trafficClasses(),
                        i.tenants(),
                        i.fromMs(),
                        i.untilMs(),
                        i.maxPerHour()))
                .toList();
        long broken =
                run("without", Schedule.NONE) + run("by the module", all) + run("first holder", new Schedule(first));
        return broken == 0 ? 0 : 1;
    }

    private long run(String arm, Schedule schedule) throws Exception {
        RehearsalScript script =
                new RehearsalScript(XmlElement.read(file, "day"), new RehearsalScript.Instead(seed, null, null));
        SimpleMeterRegistry registry = new SimpleMeterRegistry();
        Rehearsal.Outcome o = new Rehearsal(script.day(), script.rig(null, schedule, registry)).run();
        Histogram us = new Histogram(WORST_US, 3);
        o.startsMs().forEach(ms -> us.recordValue(Math.min(WORST_US, Math.round(ms * 1000))));
        Map<String, Long> came = new TreeMap<>();
        for (Counter c : registry.find("walnutfield.inserts").counters()) {
            came.merge(c.getId().getTag("what"), (long) c.count(), Long::sum);
        }
        long started = came.getOrDefault("started", 0L);
        spec.commandLine()
                .getOut()
                .printf(
                        Locale.ROOT,
                        "%-14s plays %s; start p50 %.1f ms p99 %.1f ms; legs %d; " + "inserts %s%s; rules broken %d%n",
                        arm,
                        o.plays(),
                        us.getValueAtPercentile(50) / 1000.0,
                        us.getValueAtPercentile(99) / 1000.0,
                        o.legs(),
                        came,
                        started == 0
                                ? ""
                                : String.format(
                                        Locale.ROOT,
                                        ", %.1f%% of those started completed",
                                        100.0 * came.getOrDefault("completed", 0L) / started),
                        o.broken());
        spec.commandLine().getOut().flush();
        return o.broken();
    }
}
