package walnutfield.bench;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.settings.Settings;

/** Speaks the line protocol of the bench: decodes lines into calls of each instance's desk and encodes its results. */
public final class Adapter {
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "GOOD",
            Outcome.SERVED,
            "BAD",
            Outcome.FAILED,
            "FULL",
            Outcome.REJECTED,
            "LATE",
            Outcome.TIMED_OUT,
            "NOCONN",
            Outcome.UNREACHABLE,
            "RST",
            Outcome.CONNECTION_LOST,
            "CXL",
            Outcome.CANCELLED,
            "NOP",
            Outcome.NOT_SENT);
    private static final Map<String, HostDescriptor.LifecycleState> LIFECYCLE_STATES = Map.of(
            "Ready",
            HostDescriptor.LifecycleState.READY,
            "Terminating",
            HostDescriptor.LifecycleState.DRAINING,
            "Gone",
            HostDescriptor.LifecycleState.GONE);

    /** A gateway instance, kept from its start to its shutdown. */
    private record Instance(Settings settings, Desk desk) {}

    private final ObjectMapper json = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** The latest host list under each number, as raw JSON; decoded when an event of an instance refers to it. */
    private final Map<Integer, JsonNode> hostLists = new HashMap<>();

    private final ListenerFactory listeners;
    private final JsonGenerator out;
    private double roundTime = Double.NaN; // time of the current round; NaN between rounds

    private Adapter(OutputStream output, ListenerFactory listeners) throws IOException {
        this.listeners = listeners;
        out = json.createGenerator(output).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        out.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Runs until the end of input, without listeners; returns the exit status of the program. */
    public static int run(InputStream input, OutputStream output, PrintStream errors) throws IOException {
        return run(input, output, errors, ListenerFactory.NONE);
    }

    /** Runs until the end of input; returns the exit status of the program. */
    public static int run(InputStream input, OutputStream output, PrintStream errors, ListenerFactory listeners)
            throws IOException {
        Adapter adapter = new Adapter(output, listeners);
        BufferedReader lines = new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8), 1 << 16);
        long lineNumber = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            lineNumber++;
            if (line.isBlank()) {
                continue;
            }
            try {
                adapter.handle(line);
            } catch (MalformedLineException e) {
                errors.println("line " + lineNumber + ": " + e.getMessage());
                return 1;
            }
        }
        if (!Double.isNaN(adapter.roundTime)) {
            errors.println("line " + lineNumber + ": the input ends within a round");
            return 1;
        }
        return 0;
    }

    private void handle(String line) throws IOException {
        JsonNode value;
        try {
            value = json.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedLineException(
                    "not JSON: " + e.getOriginalMessage().replaceAll("\\s+", " "));
        }
        Fields fields = new Fields(value);
        String name = fields.name();
        if (name.equals("round")) {
            if (!Double.isNaN(roundTime)) {
                throw new MalformedLineException("'round' before the end of the previous round");
            }
            roundTime = fields.nextDouble();
            return;
        }
        if (Double.isNaN(roundTime)) {
            throw new MalformedLineException("'" + name + "' outside a round");
        }
        if (name.equals("overToYou")) {
            roundTime = Double.NaN;
            ReplyWriter.writeLine(out, "ready");
            out.writeRaw('\n');
            out.flush();
        } else if (name.equals("sheet")) {
            int number = fields.nextInt();
            JsonNode entries = fields.nextOrNull();
            if (entries == null || !entries.isArray()) {
                throw new MalformedLineException("the entries of 'sheet' should be an array");
            }
            hostLists.put(number, entries);
        } else {
            handleEvent(name, fields);
        }
    }

    private void handleEvent(String name, Fields fields) {
        int number = fields.nextInt();
        if (name.equals("attach")) {
            long seed = fields.nextLong();
            JsonNode root = fields.nextOrNull();
            if (root == null || !root.isObject()) {
                throw new MalformedLineException("the settings of 'attach' should be an object");
            }
            Settings settings = new Settings(root);
            runGuarded(
                    number,
                    () -> instances.put(
                            number,
                            new Instance(
                                    settings,
                                    settings.newDesk(
                                            seed, new ReplyWriter(out, number), listener(settings, seed, number)))));
            return;
        }
        Instance instance = instances.get(number);
        if (instance == null) {
            throw new MalformedLineException("instance " + number + " is not running");
        }
        Runnable call = decode(name, fields, number, instance);
        runGuarded(number, call);
    }

    private Listener listener(Settings settings, long seed, int number) {
        try {
            return listeners.create(
                    number,
                    settings.identity(seed),
                    settings.ladder(),
                    settings.linkSettings(),
                    settings.retryPolicy(),
                    settings.slowStartPolicy(),
                    settings.sheddingPolicy(),
                    settings.loadReportSettings(),
                    settings.moveCosts(),
                    settings.tenantQuotas());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes an event and returns the call that it stands for; the call is not made yet. */
    private Runnable decode(String name, Fields fields, int number, Instance instance) {
        Desk desk = instance.desk;
        double time = roundTime;
        switch (name) {
            case "shutdown":
                return () -> instances.remove(number);
            case "endpoints":
                return hostList(fields, desk, instance.settings);
            case "workItem": {
                PlayId play = new PlayId(fields.nextLong());
                String tenantName = fields.nextTextOrNull();
                int highestRung = fields.nextIntOr(Integer.MAX_VALUE);
                ViewerId viewer = new ViewerId(fields.nextLong());
                int holderCount = fields.nextIntOr(0);
                int flags = fields.nextIntOr(0);
                TrafficClass trafficClass = trafficClass(fields, instance.settings);
                int firstCell = fields.nextIntOr(0);
                double durationMs = fields.nextDoubleOr(0);
                double remainingWaitMs = fields.nextDoubleOr(trafficClass.deadlineMs());
                PlayRequest request = new PlayRequest(
                        play,
                        viewer,
                        new TitleId(longOrZero(fields)),
                        tenant(tenantName),
                        trafficClass,
                        firstCell,
                        holderCount,
                        highestRung,
                        (flags & 8) != 0,
                        durationMs,
                        remainingWaitMs);
                return () -> desk.handle(time, new Call.PlayRequested(request));
            }
            case "preexisting": {
                PlayId play = new PlayId(fields.nextLong());
                TitleId title = new TitleId(longOrZero(fields));
                int holderCount = fields.nextIntOr(0);
                int flags = fields.nextIntOr(0);
                HostId host = new HostId(fields.nextText());
                TrafficClass trafficClass = trafficClass(fields, instance.settings);
                int highestRung = fields.nextIntOr(Integer.MAX_VALUE);
                int firstCell = fields.nextIntOr(0);
                ViewerId viewer = new ViewerId(fields.nextLong());
                double durationMs = fields.nextDoubleOr(0);
                String tenantName = fields.nextTextOrNull();
                PlayRequest request = new PlayRequest(
                        play,
                        viewer,
                        title,
                        tenant(tenantName),
                        trafficClass,
                        firstCell,
                        holderCount,
                        highestRung,
                        (flags & 8) != 0,
                        durationMs,
                        fields.nextDoubleOr(trafficClass.deadlineMs()));
                return () -> desk.handle(time, new Call.PlayInProgress(request, host));
            }
            case "interim": {
                PlayId play = new PlayId(fields.nextLong());
                int kind = fields.nextInt();
                HostId host = new HostId(fields.nextText());
                fields.nextOrNull();
                double amount = fields.nextDouble();
                switch (kind) {
                    case 1:
                        return () -> desk.handle(time, new Call.DeliveredShareReported(host, amount));
                    case 2:
                        return () -> desk.handle(time, new Call.RungReported(play, (int) amount));
                    case 3:
                        return () -> desk.handle(
                                time, new Call.LoadReported(host, new LoadReport(amount, Double.NaN, Double.NaN)));
                    case 4:
                        return () -> desk.handle(
                                time, new Call.LoadReported(host, new LoadReport(Double.NaN, amount, Double.NaN)));
                    default:
                        return () -> {};
                }
            }
            case "firstByte": {
                PlayId play = new PlayId(fields.nextLong());
                double elapsedMs = fields.nextDouble();
                int leg = fields.nextInt();
                HostId host = new HostId(fields.nextText());
                return () -> desk.handle(time, new Call.LegStarted(play, leg, host, elapsedMs));
            }
            case "finished": {
                PlayId play = new PlayId(fields.nextLong());
                HostId host = new HostId(fields.nextText());
                Outcome outcome = outcome(fields);
                boolean playFinished = fields.nextBoolean();
                int leg = fields.nextInt();
                double elapsedMs = fields.nextDoubleOr(0);
                LoadReport load = load(fields.nextOrNull(), instance.settings);
                return () ->
                        desk.handle(time, new Call.LegEnded(play, leg, host, outcome, playFinished, elapsedMs, load));
            }
            case "timedOutClient": {
                PlayId play = new PlayId(fields.nextLong());
                return () -> desk.handle(time, new Call.ViewerLeft(play));
            }
            case "probeDone": {
                HostId host = new HostId(fields.nextText());
                Outcome outcome = outcome(fields);
                double elapsedMs = fields.nextDoubleOr(0);
                LoadReport load = load(fields.nextOrNull(), instance.settings);
                return () -> desk.handle(time, new Call.ProbeCompleted(host, outcome, elapsedMs, load));
            }
            case "timer": {
                String timer = fields.nextText();
                return () -> desk.handle(time, new Call.TimerFired(timer));
            }
            case "message":
                return () -> {};
            default:
                throw new MalformedLineException("unknown event '" + name + "'");
        }
    }

    private Runnable hostList(Fields fields, Desk desk, Settings settings) {
        double time = roundTime;
        String kind = fields.nextText();
        fields.nextOrNull();
        if (kind.equals("lost")) {
            return () -> desk.handle(time, new Call.HostListUnavailable());
        }
        int number = fields.nextInt();
        JsonNode entries = hostLists.get(number);
        if (entries == null) {
            throw new MalformedLineException("no 'sheet' with number " + number);
        }
        List<HostDescriptor> hosts = new ArrayList<>(entries.size());
        for (JsonNode row : entries) {
            Fields entry = Fields.of(row);
            HostId host = new HostId(entry.nextText());
            String place = entry.nextTextOrNull();
            String kindName = entry.nextTextOrNull();
            int cell = entry.nextIntOr(0);
            String stateName = entry.nextText();
            HostDescriptor.LifecycleState state = LIFECYCLE_STATES.get(stateName);
            if (state == null) {
                throw new MalformedLineException("unknown host state '" + stateName + "'");
            }
            hosts.add(new HostDescriptor(
                    host,
                    new PlaceId(place == null ? "" : place),
                    kindName == null ? 0 : settings.maxStreams(kindName),
                    cell,
                    state,
                    entry.nextDoubleOr(1),
                    entry.nextDoubleOr(0)));
        }
        switch (kind) {
            case "incr":
                return () -> desk.handle(time, new Call.HostListUpdated(hosts));
            case "total":
                return () -> desk.handle(time, new Call.HostListReplaced(hosts));
            case "warm_copy":
                return () -> desk.handle(time, new Call.PersistedHostListLoaded(hosts));
            default:
                throw new MalformedLineException("unknown kind of host list '" + kind + "'");
        }
    }

    private static long longOrZero(Fields fields) {
        return (long) fields.nextDoubleOr(0);
    }

    private static TenantId tenant(String name) {
        return name == null ? null : new TenantId(name);
    }

    private static TrafficClass trafficClass(Fields fields, Settings settings) {
        String name = fields.nextText();
        TrafficClass trafficClass = settings.trafficClasses().get(name);
        if (trafficClass == null) {
            throw new MalformedLineException("the settings have no traffic class '" + name + "'");
        }
        return trafficClass;
    }

    private static Outcome outcome(Fields fields) {
        String name = fields.nextText();
        Outcome outcome = OUTCOMES.get(name);
        if (outcome == null) {
            throw new MalformedLineException("unknown outcome '" + name + "'");
        }
        return outcome;
    }

    private static LoadReport load(JsonNode row, Settings settings) {
        if (row == null || !row.isArray()) {
            return LoadReport.NONE;
        }
        return settings.loadReport(column -> {
            JsonNode value = row.path(settings.loadReportColumns().indexOf(column));
            return value.isNumber() ? value.doubleValue() : Double.NaN;
        });
    }

    /** Makes a call; if it throws, the exception is reported in a line instead of ending the program. */
    private void runGuarded(int number, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] stack = e.getStackTrace();
            ReplyWriter.writeLine(out, "broken", number, e + (stack.length > 0 ? " at " + stack[0] : ""));
        }
    }
}
