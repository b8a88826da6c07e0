package walnutfield.app;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.UnaryOperator;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import walnutfield.record.CorruptRecordException;
import walnutfield.record.DeskSetup;
import walnutfield.record.PrintedText;
import walnutfield.record.Replay;
import walnutfield.record.Trace;
import walnutfield.record.WhatIf;

/** The commands that replay records through the same desk code as the gateway. */
final class RecordTools {
    private RecordTools() {}

    /**
     * What the commands share. The exit status is 0 where the results agree, 1 where they differ and 2 for input that
     * cannot be read.
     */
    private abstract static class RecordTool implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        void print(String format, Object... values) {
            spec.commandLine().getOut().print(String.format(Locale.ROOT, format, values));
        }

        abstract int run() throws IOException, InvalidSettingsException;

        @Override
        public Integer call() throws Exception {
            try {
                return run();
            } catch (CorruptRecordException e) {
                spec.commandLine().getErr().println(e.getMessage());
                return Main.EXIT_INVALID_INPUT;
            } finally {
                spec.commandLine().getOut().flush();
            }
        }

        /** Prints one line on standard error where the record is damaged, and returns whether it is. */
        boolean reportDamage(Path file, Replay.Report report) {
            if (!report.damage().isEmpty()) {
                spec.commandLine().getErr().println(file + ": " + report.damage());
            }
            return !report.damage().isEmpty();
        }

        /** Replaces the settings of a record by those of a file; leaves them as they are where there is no file. */
        static UnaryOperator<DeskSetup> settings(Path config) throws InvalidSettingsException {
            if (config == null) {
                return UnaryOperator.identity();
            }
            XmlElement root = XmlElement.read(config, "gateway");
            Settings.validate(root);
            DeskSetup replacement = Settings.deskSettings(root);
            return recorded -> recorded.withSettingsOf(replacement);
        }
    }

    /** Summarises the contents of a record. */
    @Command(name = "record", mixinStandardHelpOptions = true, description = "Summarises the contents of a record.")
    static final class RecordCommand extends RecordTool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        int run() throws IOException {
            Map<String, Long> calls = new TreeMap<>();
            Map<String, Long> results = new TreeMap<>();
            Replay.Report report =
                    Replay.run(file, UnaryOperator.identity(), null, (time, call, resultsNow, matches) -> {
                        calls.merge(PrintedText.typeName(call.getClass()), 1L, Long::sum);
                        resultsNow.forEach(
                                result -> results.merge(PrintedText.typeName(result.getClass()), 1L, Long::sum));
                    });
            if (report.setup() != null) {
                print(
                        "gateway %s, %s, seed %d%n",
                        report.setup().gateway(),
                        report.setup().build(),
                        report.setup().seed());
            }
            print(
                    "%d calls over %.1f s, %d dropped, %s%n",
                    report.compared() + report.projected(),
                    report.spanMs() / 1000,
                    report.droppedCalls(),
                    report.ended() ? "ended in order" : "without an end");
            print("calls: %s%nresults, as decided now: %s%n", calls, results);
            return reportDamage(file, report) ? Main.EXIT_INVALID_INPUT : 0;
        }
    }

    /** Compares the decisions of the present code with those in records. */
    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Replays records through new desks and compares the results byte for byte.")
    static final class ReplayCommand extends RecordTool {
        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files = new ArrayList<>();

        @Override
        int run() throws IOException {
            int status = 0;
            for (Path file : files) {
                long startNanos = System.nanoTime();
                Replay.Report report;
                try {
                    report = Replay.run(file);
                } catch (CorruptRecordException e) {
                    throw new CorruptRecordException(file + ": ", e);
                }
                double elapsedS = (System.nanoTime() - startNanos) / 1e9;
                long callCount = report.compared() + report.projected();
                print(
                        "%s: %d calls compared, %d different; %.0f calls/s, %.0f times real time%n",
                        file,
                        report.compared(),
                        report.different(),
                        callCount / elapsedS,
                        report.spanMs() / 1000 / elapsedS);
                if (report.projected() > 0) {
                    print(
                            "  %d calls dropped; of the %d after that, projected from a snapshot, %d differ%n",
                            report.droppedCalls(), report.projected(), report.projectedDifferent());
                }
                if (report.different() > 0) {
                    print("%s%n", report.firstDifference());
                }
                status = Math.max(
                        status, reportDamage(file, report) ? Main.EXIT_INVALID_INPUT : report.different() > 0 ? 1 : 0);
            }
            return status;
        }
    }

    /** Validates settings, and counts the decisions in records that would differ under them. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description = "Checks a gateway's settings; with records, "
                    + "counts the calls whose results would have differed.")
    static final class CheckCommand extends RecordTool {
        @Parameters(index = "0", paramLabel = "CONFIG.xml")
        private Path config;

        @Parameters(index = "1..*", arity = "0..*", paramLabel = "FILE")
        private List<Path> files = new ArrayList<>();

        @Override
        int run() throws IOException, InvalidSettingsException {
            UnaryOperator<DeskSetup> newSettings = settings(config);
            print("%s: good%n", config);
            boolean damaged = false;
            for (Path file : files) {
                Replay.Report report = Replay.run(file, newSettings, null, null);
                damaged |= reportDamage(file, report);
                print(
                        "%s: %d of %d calls would have led to something else %s%n",
                        file, report.different(), report.compared(), report.differencesByKind());
            }
            return damaged ? Main.EXIT_INVALID_INPUT : 0;
        }
    }

    /** Prints why plays were placed as they were. */
    @Command(
            name = "trace",
            mixinStandardHelpOptions = true,
            description = "Prints why plays were placed as they were, with the scores of the decision module.")
    static final class TraceCommand extends RecordTool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Option(
                names = "--play",
                paramLabel = "ID",
                description = "only this play, by the number at the end of its Session-Id")
        private Long play;

        @Option(names = "--host", paramLabel = "ID")
        private String host;

        @Option(
                names = "--from",
                paramLabel = "MS",
                defaultValue = "0",
                description = "milliseconds after the first call of the record")
        private double from;

        @Option(names = "--to", paramLabel = "MS", defaultValue = "1e15")
        private double to;

        @Override
        int run() throws IOException {
            Replay.Report report = Trace.run(file, new Trace.Filter(play, host, from, to), line -> print("%s%n", line));
            return reportDamage(file, report) ? Main.EXIT_INVALID_INPUT : 0;
        }
    }

    /** Projects the play requests of a record to other conditions. */
    @Command(
            name = "what-if",
            mixinStandardHelpOptions = true,
            description = "Projects the play requests of a record without a host or under other settings.")
    static final class WhatIfCommand extends RecordTool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Option(names = "--without-host", paramLabel = "ID")
        private String excludedHost;

        @Option(names = "--config", paramLabel = "CONFIG.xml")
        private Path config;

        @Override
        int run() throws IOException, InvalidSettingsException {
            WhatIf.Comparison projection = WhatIf.run(file, excludedHost, settings(config));
            print(
                    "%-10s %s%n%-10s %s%n",
                    "recorded", describe(projection.recorded()), "projected", describe(projection.projected()));
            print("a projection: legs elsewhere are taken to end as others there did, and loads as recorded%n");
            return 0;
        }

        private static String describe(WhatIf.Totals sum) {
            return String.format(
                    Locale.ROOT,
                    "plays %d started %d shed %d errored %d legs %d mean rung %.2f; on hosts %s",
                    sum.plays(),
                    sum.started(),
                    sum.shed(),
                    sum.failed(),
                    sum.legs(),
                    sum.meanRung(),
                    sum.byHost());
        }
    }
}
