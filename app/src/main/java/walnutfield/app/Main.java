package walnutfield.app;

import ch.qos.logback.classic.Level;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import walnutfield.bench.Adapter;
import walnutfield.gateway.GatewayServer;
import walnutfield.platform.BadConfig;
import walnutfield.platform.Practice;
import walnutfield.platform.Service;
import walnutfield.play.Ladder;
import walnutfield.record.Making;
import walnutfield.record.Recorder;
import walnutfield.standin.audit.Verdict;
import walnutfield.standin.day.Rehearsal;

/** The program: one subcommand for each way of running it. */
@Command(
        name = "walnutfield",
        mixinStandardHelpOptions = true,
        version = Main.BUILD,
        description = "A session front: decides which media host takes each play and at what quality.",
        subcommands = {
            Main.GatewayCommand.class,
            Main.RehearseCommand.class,
            Main.AdapterCommand.class,
            Main.PlatformCommand.class,
            MeasureCommand.class,
            MeasureCommand.Bare.class,
            MeasureCallsCommand.class,
            MeasureInsertsCommand.class,
            RecordTools.RecordCommand.class,
            RecordTools.ReplayCommand.class,
            RecordTools.CheckCommand.class,
            RecordTools.TraceCommand.class,
            RecordTools.WhatIfCommand.class,
            Main.SchemaCommand.class
        })
public final class Main {
    static final String BUILD = "walnutfield 0.2.0";
    static final int BAD_INPUT = 2;

    private Main() {}

    public static void main(String[] args) {
        System.exit(line().execute(args));
    }

    static CommandLine line() {
        CommandLine c = new CommandLine(new Main());
        c.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println(e instanceof InvalidSettingsException ? e.getMessage() : "failed: " + e);
            return e instanceof InvalidSettingsException ? BAD_INPUT : 1;
        });
        return c;
    }

    /** Runs one gateway until it is told to end. */
    @Command(name = "gateway", mixinStandardHelpOptions = true, description = "Runs one gateway until SIGTERM.")
    static final class GatewayCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CONFIG.xml")
        private Path file;

        @Option(names = "--record", paramLabel = "FILE", description = "records what passes the desk")
        private Path record;

        @Option(
                names = "--inserts",
                paramLabel = "FILE.xml",
                description = "a schedule that is read again whenever the file changes, in place of the settings' own")
        private Path inserts;

        @Option(
                names = "--fixed-host",
                hidden = true,
                description = "decides nothing: each play goes to the host listed first")
        private boolean fixed;

        @Option(names = "--record-mb", defaultValue = "1024", description = "of a record at most (${DEFAULT-VALUE})")
        private long mostMb;

        @Option(names = "--record-hours", defaultValue = "24", description = "of a record at most (${DEFAULT-VALUE})")
        private double mostHours;

        @Override
        public Integer call() throws Exception {
            LogSetup.to(null, Level.INFO);
            XmlElement root = XmlElement.read(file, "gateway");
            Settings.check(root);
            Ladder ladder = Settings.ladder(root);
            Making making = Settings.making(root);
            Recorder recorder = record == null ? null : new Recorder(record, making, mostMb << 20, mostHours * 3.6e6);
            PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            new JvmMemoryMetrics().bindTo(registry);
            GatewayServer g = new GatewayServer(
                    root.text("name"),
                    Settings.front(root),
                    Settings.sip(root),
                    Settings.hosts(root),
                    Settings.list(root),
                    Settings.catalogue(
                            root, ladder, Settings.bands(root, ladder.kb().size())),
                    registry,
                    registry::scrape,
                    (out, beside) -> fixed ? new FixedHostHandler(out) : making.desk(out, beside, recorder));
            g.schedule(Settings.schedule(root));
            if (inserts != null) {
                new InsertScheduleWatcher(
                                inserts, Settings.bands(root, ladder.kb().size()), g::schedule)
                        .start();
            }
            CountDownLatch ended = new CountDownLatch(1);
            double drainMs = root.one("front").number("drain-ms");
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                try {
                                    g.drain(drainMs);
                                    if (recorder != null) {
                                        recorder.close();
                                    }
                                } catch (IOException e) {
                                    System.err.println("drain: " + e);
                                }
                                ended.countDown();
                            },
                            "drain"));
            System.out.println("listening on 127.0.0.1:" + g.start());
            if (g.sipPort() > 0) {
                System.out.println("calls on 127.0.0.1:" + g.sipPort());
            }
            ended.await();
            return 0;
        }
    }

    /** Plays a scripted day on real sockets and audits it. */
    @Command(
            name = "rehearse",
            mixinStandardHelpOptions = true,
            description = "Plays a scripted day with stand-ins on loopback sockets and audits the six rules.")
    static final class RehearseCommand implements Callable<Integer> {
        @Parameters(index = "0", arity = "0..1", paramLabel = "SCRIPT.xml")
        private Path file;

        @Option(
                names = "--like",
                paramLabel = "DAY",
                description = "a script of the same kinds of trouble as a bench's day")
        private Path like;

        @Option(names = "--seed", description = "in place of the script's")
        private Long seed;

        @Option(names = "--gateways", description = "in place of the script's")
        private Integer gateways;

        @Option(names = "--hosts", description = "in place of the script's")
        private Integer hosts;

        @Option(names = "--out", paramLabel = "DIR", description = "keeps the log and the verdicts there")
        private Path out;

        @Option(names = "--record", description = "records each gateway's desk to DIR/*.record")
        private boolean record;

        @Option(names = "--show", description = "prints one viewer's playlist")
        private boolean show;

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            if ((file == null) == (like == null)) {
                throw new CommandLine.ParameterException(spec.commandLine(), "either SCRIPT.xml or --like DAY");
            }
            BenchDayScript day = like == null ? null : BenchDayScript.read(like);
            if (day != null) {
                day.notes().forEach(n -> spec.commandLine().getOut().println("like: " + n));
            }
            RehearsalScript script = new RehearsalScript(
                    day == null
                            ? XmlElement.read(file, "day")
                            : XmlElement.parse(like + " as a script", day.script(), "day"),
                    new RehearsalScript.Instead(seed, gateways, hosts));
            if (record && out == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--record goes with --out DIR");
            }
            if (out != null) {
                Files.createDirectories(out);
            }
            if (day != null && out != null) {
                Files.writeString(out.resolve("script.xml"), day.script());
            }
            LogSetup.to(out == null ? null : out.resolve("log.json"), out == null ? Level.ERROR : Level.INFO);
            Rehearsal.Outcome o = new Rehearsal(script.day(), script.rig(record ? out : null)).run();
            StringBuilder text = new StringBuilder();
            if (show) {
                text.append(o.playlist());
            }
            for (Verdict v : o.verdicts()) {
                text.append(v.broken().isEmpty() ? "kept   " : "BROKEN ")
                        .append(v.rule())
                        .append(": ")
                        .append(v.checked())
                        .append(" checked, ")
                        .append(v.broken().size())
                        .append(" broken\n");
                v.broken().stream()
                        .limit(5)
                        .forEach(b -> text.append("         ").append(b).append('\n'));
            }
            text.append("viewers (simulated): segments ")
                    .append(o.viewers().get(0))
                    .append(", not got ")
                    .append(o.viewers().get(1))
                    .append(", watched whole ")
                    .append(o.viewers().get(2))
                    .append(", broken off ")
                    .append(o.viewers().get(3))
                    .append(", malformed playlists ")
                    .append(o.viewers().get(4))
                    .append("; legs ")
                    .append(o.legs())
                    .append('\n');
            if (!o.callers().isEmpty()) {
                text.append("callers (simulated): talked out ")
                        .append(o.callers().get(0))
                        .append(", cut off ")
                        .append(o.callers().get(1))
                        .append(", told of changes ")
                        .append(o.callers().get(2))
                        .append(", final answers ")
                        .append(o.callers().get(3))
                        .append(", messages sent again ")
                        .append(o.callers().get(4))
                        .append('\n');
            }
            if (o.stoodMs() > 0) {
                text.append(String.format(
                        Locale.ROOT, "the machine stood still for %.0f ms at most; allowed for%n", o.stoodMs()));
            }
            Map<String, Long> n = o.plays();
            long all = n.values().stream().mapToLong(x -> x).sum();
            text.append("rules broken: ")
                    .append(o.broken())
                    .append("; plays ")
                    .append(all)
                    .append(" served ")
                    .append(n.get("served"))
                    .append(" shed ")
                    .append(n.get("shed"))
                    .append(" errored ")
                    .append(n.get("errored"))
                    .append('\n');
            spec.commandLine().getOut().print(text);
            spec.commandLine().getOut().flush();
            if (out != null) {
                Files.writeString(out.resolve("verdicts.txt"), text);
            }
            return o.broken() == 0 ? 0 : 1;
        }
    }

    /** The bench's wire, for whoever has only this jar. */
    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description = "Speaks the bench's wire on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Option(names = "--record", paramLabel = "DIR", description = "records each instance's desk to DIR/*.record")
        private Path record;

        @Override
        public Integer call() throws Exception {
            if (record == null) {
                return Adapter.run(System.in, System.out, System.err);
            }
            LogSetup.to(null, Level.ERROR);
            Files.createDirectories(record);
            List<Recorder> all = new ArrayList<>();
            try {
                return Adapter.run(
                        System.in,
                        System.out,
                        System.err,
                        (number, post, ladder, links, legs, cold, sheds, reports, moves, shares) -> {
                            String name = "instance-" + number + "-" + (all.size() + 1);
                            all.add(new Recorder(
                                    record.resolve(name + ".record"),
                                    new Making(
                                            name, BUILD, 0, post, ladder, links, legs, cold, sheds, reports, moves,
                                            shares),
                                    Long.MAX_VALUE,
                                    Double.MAX_VALUE));
                            return all.get(all.size() - 1);
                        });
            } finally {
                for (Recorder r : all) {
                    r.close();
                }
            }
        }
    }

    /** A gateway on the platform, told what it needs by its environment. */
    @Command(
            name = "platform",
            mixinStandardHelpOptions = true,
            description = "Runs one gateway on the platform, as GW_CONFIG says, until SIGTERM.")
    static final class PlatformCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(
                names = "--practise",
                hidden = true,
                description = "plays one set-up on loopback and ends: the build archives what it loads")
        private boolean practise;

        @Override
        public Integer call() throws Exception {
            LogSetup.to(null, Level.INFO);
            try {
                return practise ? Practice.run() : Service.run(System.getenv());
            } catch (BadConfig e) {
                spec.commandLine().getErr().println("configuration: " + e.getMessage());
                return BAD_INPUT;
            }
        }
    }

    /** The schema of settings and scripts. */
    @Command(name = "schema", mixinStandardHelpOptions = true, description = "Prints the schema of all settings.")
    static final class SchemaCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            spec.commandLine().getOut().print(XmlElement.schema());
            spec.commandLine().getOut().flush();
            return 0;
        }
    }
}
