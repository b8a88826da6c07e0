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
import walnutfield.net.FatalErrors;
import walnutfield.platform.InvalidConfigException;
import walnutfield.platform.Service;
import walnutfield.platform.WarmUpRun;
import walnutfield.play.Ladder;
import walnutfield.record.DeskSetup;
import walnutfield.record.Recorder;
import walnutfield.standin.audit.Verdict;
import walnutfield.standin.day.Rehearsal;

/** The command line: one subcommand for each way of running the program. */
@Command(
        name = "walnutfield",
        mixinStandardHelpOptions = true,
        version = Main.BUILD,
        description = "A session gateway that decides which media host serves each play and at what quality.",
        subcommands = {
            Main.GatewayCommand.class,
            Main.RehearseCommand.class,
            Main.AdapterCommand.class,
            Main.PlatformCommand.class,
            MeasureCommand.class,
            MeasureCommand.BareServerCommand.class,
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
    static final int EXIT_INVALID_INPUT = 2; // exit status for settings, scripts or records that cannot be read

    private Main() {}

    public static void main(String[] args) {
        System.exit(commandLine().execute(args));
    }

    static CommandLine commandLine() {
        CommandLine commandLine = new CommandLine(new Main());
        commandLine.setExecutionExceptionHandler((e, command, parsed) -> {
            command.getErr().println(e instanceof InvalidSettingsException ? e.getMessage() : "failed: " + e);
            return e instanceof InvalidSettingsException ? EXIT_INVALID_INPUT : 1;
        });
        return commandLine;
    }

    /** Runs one gateway until SIGTERM, then drains it. */
    @Command(name = "gateway", mixinStandardHelpOptions = true, description = "Runs one gateway until SIGTERM.")
    static final class GatewayCommand implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CONFIG.xml")
        private Path file;

        @Option(
                names = "--record",
                paramLabel = "FILE",
                description = "records the calls to the desk and their results in this file")
        private Path record;

        @Option(
                names = "--inserts",
                paramLabel = "FILE.xml",
                description = "a schedule of inserts that replaces that of the settings and is reread when it changes")
        private Path inserts;

        @Option(
                names = "--fixed-host",
                hidden = true,
                description = "makes no decisions: each play goes to the first host of the list")
        private boolean fixedHost;

        @Option(
                names = "--record-mb",
                defaultValue = "1024",
                description = "maximum size of a record (${DEFAULT-VALUE})")
        private long mostMb;

        @Option(
                names = "--record-hours",
                defaultValue = "24",
                description = "maximum duration of a record (${DEFAULT-VALUE})")
        private double mostHours;

        @Override
        public Integer call() throws Exception {
            LogSetup.configure(null, Level.INFO);
            FatalErrors.endProcessOnError();
            XmlElement root = XmlElement.read(file, "gateway");
            Settings.validate(root);
            Ladder ladder = Settings.ladder(root);
            DeskSetup deskSettings = Settings.deskSettings(root);
            Recorder recorder =
                    record == null ? null : new Recorder(record, deskSettings, mostMb << 20, mostHours * 3.6e6);
            PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
            new JvmMemoryMetrics().bindTo(registry);
            GatewayServer gateway = new GatewayServer(
                    root.getString("name"),
                    Settings.front(root),
                    Settings.sip(root),
                    Settings.hostClient(root),
                    Settings.listService(root),
                    Settings.catalogue(
                            root,
                            ladder,
                            Settings.trafficClasses(root, ladder.ratesKb().size())),
                    registry,
                    registry::scrape,
                    (actions, insertActions) -> fixedHost
                            ? new FixedHostHandler(actions)
                            : deskSettings.createDesk(actions, insertActions, recorder));
            gateway.updateInsertSchedule(Settings.schedule(root));
            if (inserts != null) {
                new InsertScheduleWatcher(
                                inserts,
                                Settings.trafficClasses(root, ladder.ratesKb().size()),
                                gateway::updateInsertSchedule)
                        .start();
            }
            CountDownLatch ended = new CountDownLatch(1);
            double drainMs = root.child("front").getDouble("drain-ms");
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                try {
                                    gateway.drain(drainMs);
                                    if (recorder != null) {
                                        recorder.close();
                                    }
                                } catch (IOException e) {
                                    System.err.println("drain failed: " + e);
                                }
                                ended.countDown();
                            },
                            "drain"));
            System.out.println("listening on 127.0.0.1:" + gateway.start());
            if (gateway.sipPort() > 0) {
                System.out.println("calls on 127.0.0.1:" + gateway.sipPort());
            }
            ended.await();
            return 0;
        }
    }

    /** Plays a scripted day with stand-ins on real sockets and audits it. */
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
                description = "plays a script that resembles this day of the bench")
        private Path like;

        @Option(names = "--seed", description = "replaces the value of the script")
        private Long seed;

        @Option(names = "--gateways", description = "replaces the value of the script")
        private Integer gateways;

        @Option(names = "--hosts", description = "replaces the value of the script")
        private Integer hosts;

        @Option(names = "--out", paramLabel = "DIR", description = "directory for the log and the verdicts")
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
                throw new CommandLine.ParameterException(spec.commandLine(), "give either SCRIPT.xml or --like DAY");
            }
            BenchDayScript benchDay = like == null ? null : BenchDayScript.read(like);
            if (benchDay != null) {
                benchDay.notes().forEach(note -> spec.commandLine().getOut().println("like: " + note));
            }
            RehearsalScript script = new RehearsalScript(
                    benchDay == null
                            ? XmlElement.read(file, "day")
                            : XmlElement.parse(like + " as a script", benchDay.script(), "day"),
                    new RehearsalScript.Overrides(seed, gateways, hosts));
            if (record && out == null) {
                throw new CommandLine.ParameterException(spec.commandLine(), "--record requires --out DIR");
            }
            if (out != null) {
                Files.createDirectories(out);
            }
            if (benchDay != null && out != null) {
                Files.writeString(out.resolve("script.xml"), benchDay.script());
            }
            LogSetup.configure(out == null ? null : out.resolve("log.json"), out == null ? Level.ERROR : Level.INFO);
            Rehearsal.Outcome outcome = new Rehearsal(script.day(), script.rig(record ? out : null)).run();
            StringBuilder report = new StringBuilder();
            if (show) {
                report.append(outcome.samplePlaylist());
            }
            for (Verdict verdict : outcome.verdicts()) {
                report.append(verdict.breaches().isEmpty() ? "kept   " : "BROKEN ")
                        .append(verdict.rule())
                        .append(": ")
                        .append(verdict.checked())
                        .append(" checked, ")
                        .append(verdict.breaches().size())
                        .append(" broken\n");
                verdict.breaches().stream()
                        .limit(5)
                        .forEach(violation ->
                                report.append("         ").append(violation).append('\n'));
            }
            report.append("viewers (simulated): segments ")
                    .append(outcome.viewerCounts().get(0))
                    .append(", not got ")
                    .append(outcome.viewerCounts().get(1))
                    .append(", watched whole ")
                    .append(outcome.viewerCounts().get(2))
                    .append(", broken off ")
                    .append(outcome.viewerCounts().get(3))
                    .append(", malformed playlists ")
                    .append(outcome.viewerCounts().get(4))
                    .append("; legs ")
                    .append(outcome.legCount())
                    .append('\n');
            if (!outcome.callerCounts().isEmpty()) {
                report.append("callers (simulated): talked out ")
                        .append(outcome.callerCounts().get(0))
                        .append(", cut off ")
                        .append(outcome.callerCounts().get(1))
                        .append(", told of changes ")
                        .append(outcome.callerCounts().get(2))
                        .append(", final answers ")
                        .append(outcome.callerCounts().get(3))
                        .append(", messages sent again ")
                        .append(outcome.callerCounts().get(4))
                        .append('\n');
            }
            if (outcome.longestStallMs() > 0) {
                report.append(String.format(
                        Locale.ROOT,
                        "the machine stood still for %.0f ms at most; allowed for%n",
                        outcome.longestStallMs()));
            }
            Map<String, Long> playsByAnswer = outcome.requestCounts();
            long playCount = playsByAnswer.values().stream().mapToLong(x -> x).sum();
            report.append("rules broken: ")
                    .append(outcome.breachCount())
                    .append("; plays ")
                    .append(playCount)
                    .append(" served ")
                    .append(playsByAnswer.get("served"))
                    .append(" shed ")
                    .append(playsByAnswer.get("shed"))
                    .append(" errored ")
                    .append(playsByAnswer.get("errored"))
                    .append('\n');
            spec.commandLine().getOut().print(report);
            spec.commandLine().getOut().flush();
            if (out != null) {
                Files.writeString(out.resolve("verdicts.txt"), report);
            }
            return outcome.breachCount() == 0 ? 0 : 1;
        }
    }

    /** Runs the bench's adapter, so that this jar is enough to take part in the bench. */
    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description = "Speaks the bench's protocol on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Option(names = "--record", paramLabel = "DIR", description = "records each instance's desk to DIR/*.record")
        private Path record;

        @Override
        public Integer call() throws Exception {
            if (record == null) {
                return Adapter.run(System.in, System.out, System.err);
            }
            LogSetup.configure(null, Level.ERROR);
            Files.createDirectories(record);
            List<Recorder> recorders = new ArrayList<>();
            try {
                return Adapter.run(
                        System.in,
                        System.out,
                        System.err,
                        (instance,
                                identity,
                                ladder,
                                links,
                                retryPolicy,
                                slowStart,
                                shedding,
                                reports,
                                moves,
                                quotas) -> {
                            String name = "instance-" + instance + "-" + (recorders.size() + 1);
                            recorders.add(new Recorder(
                                    record.resolve(name + ".record"),
                                    new DeskSetup(
                                            name,
                                            BUILD,
                                            0,
                                            identity,
                                            ladder,
                                            links,
                                            retryPolicy,
                                            slowStart,
                                            shedding,
                                            reports,
                                            moves,
                                            quotas),
                                    Long.MAX_VALUE,
                                    Double.MAX_VALUE));
                            return recorders.get(recorders.size() - 1);
                        });
            } finally {
                for (Recorder recorder : recorders) {
                    recorder.close();
                }
            }
        }
    }

    /** Runs a gateway on the platform, which configures it by environment variables. */
    @Command(
            name = "platform",
            mixinStandardHelpOptions = true,
            description = "Runs one gateway on the platform with the configuration in GW_CONFIG until SIGTERM.")
    static final class PlatformCommand implements Callable<Integer> {
        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(
                names = "--practise",
                hidden = true,
                description = "plays one set-up on loopback and ends; the build archives the classes that it loads")
        private boolean practise;

        @Override
        public Integer call() throws Exception {
            LogSetup.configure(null, Level.INFO);
            try {
                return practise ? WarmUpRun.run() : Service.run(System.getenv());
            } catch (InvalidConfigException e) {
                spec.commandLine().getErr().println("configuration: " + e.getMessage());
                return EXIT_INVALID_INPUT;
            }
        }
    }

    /** Prints the schema of settings and scripts. */
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
