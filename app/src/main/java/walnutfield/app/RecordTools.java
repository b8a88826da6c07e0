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
import walnutfield.record.Damaged;
import walnutfield.record.Making;
import walnutfield.record.PrintedText;
import walnutfield.record.Replay;
import walnutfield.record.Trace;
import walnutfield.record.WhatIf;

/** The small programs that put a record through the same desk as the gateway. */
final class RecordTools {
    private RecordTools() {}

    /** What they have in common: 0 for alike, 1 for different, 2 for what cannot be read. */
    private abstract static class Tool implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        void say(String format, Object... values) {
            spec.commandLine().getOut().print(String.format(Locale.ROOT, format, values));
        }

        abstract int run() throws IOException, InvalidSettingsException;

        @Override
        public Integer call() throws Exception {
            try {
                return run();
            } catch (Damaged e) {
                spec.commandLine().getErr().println(e.getMessage());
                return Main.BAD_INPUT;
            } finally {
                spec.commandLine().getOut().flush();
            }
        }

        /** One line for a damaged record; true where there is one. */
        boolean damaged(Path file, Replay.Report r) {
            if (!r.damaged().isEmpty()) {
                spec.commandLine().getErr().println(file + ": " + r.damaged());
            }
            return !r.damaged().isEmpty();
        }

        static UnaryOperator<Making> settings(Path config) throws InvalidSettingsException {
            if (config == null) {
                return UnaryOperator.identity();
            }
            XmlElement root = XmlElement.read(config, "gateway");
            Settings.check(root);
            Making other = Settings.making(root);
            return m -> m.with(other);
        }
    }

    /** What is in a record. */
    @Command(name = "record", mixinStandardHelpOptions = true, description = "Says what is in a record.")
    static final class RecordCommand extends Tool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Override
        int run() throws IOException {
            Map<String, Long> calls = new TreeMap<>();
            Map<String, Long> results = new TreeMap<>();
            Replay.Report r = Replay.run(file, UnaryOperator.identity(), null, (time, call, now, alike) -> {
                calls.merge(PrintedText.typeName(call.getClass()), 1L, Long::sum);
                now.forEach(x -> results.merge(PrintedText.typeName(x.getClass()), 1L, Long::sum));
            });
            if (r.making() != null) {
                say(
                        "gateway %s, %s, seed %d%n",
                        r.making().gateway(), r.making().build(), r.making().seed());
            }
            say(
                    "%d calls over %.1f s, %d dropped, %s%n",
                    r.compared() + r.projected(),
                    r.spanMs() / 1000,
                    r.dropped(),
                    r.ended() ? "ended in order" : "without an end");
            say("calls: %s%nresults, as decided now: %s%n", calls, results);
            return damaged(file, r) ? Main.BAD_INPUT : 0;
        }
    }

    /** Compares what is decided now with what was decided then. */
    @Command(
            name = "replay",
            mixinStandardHelpOptions = true,
            description = "Puts records through fresh desks and compares the results byte for byte.")
    static final class ReplayCommand extends Tool {
        @Parameters(arity = "1..*", paramLabel = "FILE")
        private List<Path> files = new ArrayList<>();

        @Override
        int run() throws IOException {
            int status = 0;
            for (Path file : files) {
                long begin = System.nanoTime();
                Replay.Report r;
                try {
                    r = Replay.run(file);
                } catch (Damaged e) {
                    throw new Damaged(file + ": ", e);
                }
                double s = (System.nanoTime() - begin) / 1e9;
                long all = r.compared() + r.projected();
                say(
                        "%s: %d calls compared, %d different; %.0f calls/s, %.0f times real time%n",
                        file, r.compared(), r.different(), all / s, r.spanMs() / 1000 / s);
                if (r.projected() > 0) {
                    say(
                            "  %d calls dropped; of the %d after that, projected from a snapshot, %d differ%n",
                            r.dropped(), r.projected(), r.unlike());
                }
                if (r.different() > 0) {
                    say("%s%n", r.first());
                }
                status = Math.max(status, damaged(file, r) ? Main.BAD_INPUT : r.different() > 0 ? 1 : 0);
            }
            return status;
        }
    }

    /** Holds settings against schema and rules, and against what was decided. */
    @Command(
            name = "check",
            mixinStandardHelpOptions = true,
            description =
                    "Checks a gateway's settings; with records, " + "counts what would have been decided otherwise.")
    static final class CheckCommand extends Tool {
        @Parameters(index = "0", paramLabel = "CONFIG.xml")
        private Path config;

        @Parameters(index = "1..*", arity = "0..*", paramLabel = "FILE")
        private List<Path> files = new ArrayList<>();

        @Override
        int run() throws IOException, InvalidSettingsException {
            UnaryOperator<Making> with = settings(config);
            say("%s: good%n", config);
            boolean bad = false;
            for (Path file : files) {
                Replay.Report r = Replay.run(file, with, null, null);
                bad |= damaged(file, r);
                say(
                        "%s: %d of %d calls would have led to something else %s%n",
                        file, r.different(), r.compared(), r.kinds());
            }
            return bad ? Main.BAD_INPUT : 0;
        }
    }

    /** Why a play went where it went. */
    @Command(
            name = "trace",
            mixinStandardHelpOptions = true,
            description = "Tells why plays went where they went, by the module's own scores.")
    static final class TraceCommand extends Tool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Option(names = "--play", paramLabel = "ID", description = "the number at the end of its Session-Id")
        private Long play;

        @Option(names = "--host", paramLabel = "ID")
        private String host;

        @Option(names = "--from", paramLabel = "MS", defaultValue = "0", description = "after the record's first call")
        private double from;

        @Option(names = "--to", paramLabel = "MS", defaultValue = "1e15")
        private double to;

        @Override
        int run() throws IOException {
            Replay.Report r = Trace.run(file, new Trace.Wish(play, host, from, to), line -> say("%s%n", line));
            return damaged(file, r) ? Main.BAD_INPUT : 0;
        }
    }

    /** The same wishes under another condition. */
    @Command(
            name = "what-if",
            mixinStandardHelpOptions = true,
            description = "Projects a record's wishes without a host or under other settings.")
    static final class WhatIfCommand extends Tool {
        @Parameters(index = "0", paramLabel = "FILE")
        private Path file;

        @Option(names = "--without-host", paramLabel = "ID")
        private String without;

        @Option(names = "--config", paramLabel = "CONFIG.xml")
        private Path config;

        @Override
        int run() throws IOException, InvalidSettingsException {
            WhatIf.Pair p = WhatIf.run(file, without, settings(config));
            say("%-10s %s%n%-10s %s%n", "recorded", words(p.recorded()), "projected", words(p.projected()));
            say("a projection: legs elsewhere are taken to end as others there did, and loads as recorded%n");
            return 0;
        }

        private static String words(WhatIf.Sum s) {
            return String.format(
                    Locale.ROOT,
                    "plays %d started %d shed %d errored %d legs %d mean rung %.2f; on hosts %s",
                    s.plays(),
                    s.started(),
                    s.shed(),
                    s.errored(),
                    s.legs(),
                    s.meanRung(),
                    s.byHost());
        }
    }
}
