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

/** Speaks the bench's wire: decodes lines into calls of each instance's desk, and encodes its results. */
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
    private static final Map<String, HostDescriptor.LifecycleState> STANDINGS = Map.of(
            "Ready",
            HostDescriptor.LifecycleState.READY,
            "Terminating",
            HostDescriptor.LifecycleState.DRAINING,
            "Gone",
            HostDescriptor.LifecycleState.GONE);

    /** An instance, from its start until it is killed. */
    private record Instance(Settings settings, Desk desk) {}

    private final ObjectMapper json = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private final Map<Integer, Instance> instances = new HashMap<>();
    /** The lists last seen under each number, not yet read for any instance. */
    private final Map<Integer, JsonNode> sheets = new HashMap<>();

    private final Ears ears;
    private final JsonGenerator out;
    private double now = Double.NaN;

    private Adapter(OutputStream to, Ears ears) throws IOException {
        this.ears = ears;
        out = json.createGenerator(to).disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
        out.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
    }

    /** Runs to the end of input; the result is the program's exit status. */
    public static int run(InputStream in, OutputStream to, PrintStream complaints) throws IOException {
        return run(in, to, complaints, Ears.NONE);
    }

    /** The same with listeners at the instances' desks. */
    public static int run(InputStream in, OutputStream to, PrintStream complaints, Ears ears) throws IOException {
        Adapter adapter = new Adapter(to, ears);
        BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        long number = 0;
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            number++;
            if (line.isBlank()) {
                continue;
            }
            try {
                adapter.take(line);
            } catch (MalformedLine e) {
                complaints.println("line " + number + ": " + e.getMessage());
                return 1;
            }
        }
        if (!Double.isNaN(adapter.now)) {
            complaints.println("line " + number + ": the input ends within a batch");
            return 1;
        }
        return 0;
    }

    private void take(String line) throws IOException {
        JsonNode value;
        try {
            value = json.readTree(line);
        } catch (JsonProcessingException e) {
            throw new MalformedLine("not JSON: " + e.getOriginalMessage().replaceAll("\\s+", " "));
        }
        Fields f = new Fields(value);
        String name = f.name();
        if (name.equals("round")) {
            if (!Double.isNaN(now)) {
                throw new MalformedLine("a round begins within a round");
            }
            now = f.number();
            return;
        }
        if (Double.isNaN(now)) {
            throw new MalformedLine("'" + name + "' stands outside a round");
        }
        if (name.equals("overToYou")) {
            now = Double.NaN;
            Replies.line(out, "ready");
            out.writeRaw('\n');
            out.flush();
        } else if (name.equals("sheet")) {
            int number = f.small();
            JsonNode entries = f.any();
            if (entries == null || !entries.isArray()) {
                throw new MalformedLine("the entries of a sheet are not an array");
            }
            sheets.put(number, entries);
        } else {
            event(name, f);
        }
    }

    private void event(String name, Fields f) {
        int number = f.small();
        if (name.equals("attach")) {
            long seed = f.whole();
            JsonNode all = f.any();
            if (all == null || !all.isObject()) {
                throw new MalformedLine("the settings are not an object");
            }
            Settings settings = new Settings(all);
            guarded(
                    number,
                    () -> instances.put(
                            number,
                            new Instance(
                                    settings,
                                    settings.desk(seed, new Replies(out, number), listener(settings, seed, number)))));
            return;
        }
        Instance to = instances.get(number);
        if (to == null) {
            throw new MalformedLine("instance " + number + " has not been started");
        }
        Runnable call = call(name, f, number, to);
        guarded(number, call);
    }

    private Listener listener(Settings s, long seed, int number) {
        try {
            return ears.of(
                    number,
                    s.post(seed),
                    s.ladder(),
                    s.links(),
                    s.legs(),
                    s.cold(),
                    s.sheds(),
                    s.reports(),
                    s.moves(),
                    s.shares());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes an event at once and gives back the call that it stands for. */
    private Runnable call(String name, Fields f, int number, Instance to) {
        Desk d = to.desk;
        double t = now;
        switch (name) {
            case "shutdown":
                return () -> instances.remove(number);
            case "endpoints":
                return list(f, d, to.settings);
            case "workItem": {
                PlayId play = new PlayId(f.whole());
                String customer = f.textOrNone();
                int best = f.smallOr(Integer.MAX_VALUE);
                ViewerId viewer = new ViewerId(f.whole());
                int holders = f.smallOr(0);
                int marks = f.smallOr(0);
                TrafficClass band = band(f, to.settings);
                int first = f.smallOr(0);
                double length = f.numberOr(0);
                double left = f.numberOr(band.deadlineMs());
                PlayRequest w = new PlayRequest(
                        play,
                        viewer,
                        new TitleId(wholeOr(f)),
                        customer(customer),
                        band,
                        first,
                        holders,
                        best,
                        (marks & 8) != 0,
                        length,
                        left);
                return () -> d.handle(t, new Call.PlayRequested(w));
            }
            case "preexisting": {
                PlayId play = new PlayId(f.whole());
                TitleId title = new TitleId(wholeOr(f));
                int holders = f.smallOr(0);
                int marks = f.smallOr(0);
                HostId host = new HostId(f.text());
                TrafficClass band = band(f, to.settings);
                int best = f.smallOr(Integer.MAX_VALUE);
                int first = f.smallOr(0);
                ViewerId viewer = new ViewerId(f.whole());
                double length = f.numberOr(0);
                String customer = f.textOrNone();
                PlayRequest w = new PlayRequest(
                        play,
                        viewer,
                        title,
                        customer(customer),
                        band,
                        first,
                        holders,
                        best,
                        (marks & 8) != 0,
                        length,
                        f.numberOr(band.deadlineMs()));
                return () -> d.handle(t, new Call.PlayInProgress(w, host));
            }
            case "interim": {
                PlayId play = new PlayId(f.whole());
                int kind = f.small();
                HostId host = new HostId(f.text());
                f.any();
                double amount = f.number();
                switch (kind) {
                    case 1:
                        return () -> d.handle(t, new Call.DeliveredShareReported(host, amount));
                    case 2:
                        return () -> d.handle(t, new Call.RungReported(play, (int) amount));
                    case 3:
                        return () -> d.handle(
                                t, new Call.LoadReported(host, new LoadReport(amount, Double.NaN, Double.NaN)));
                    case 4:
                        return () -> d.handle(
                                t, new Call.LoadReported(host, new LoadReport(Double.NaN, amount, Double.NaN)));
                    default:
                        return () -> {};
                }
            }
            case "firstByte": {
                PlayId play = new PlayId(f.whole());
                double took = f.number();
                int leg = f.small();
                HostId host = new HostId(f.text());
                return () -> d.handle(t, new Call.LegStarted(play, leg, host, took));
            }
            case "finished": {
                PlayId play = new PlayId(f.whole());
                HostId host = new HostId(f.text());
                Outcome how = outcome(f);
                boolean over = f.flag();
                int leg = f.small();
                double took = f.numberOr(0);
                LoadReport load = load(f.any(), to.settings);
                return () -> d.handle(t, new Call.LegEnded(play, leg, host, how, over, took, load));
            }
            case "timedOutClient": {
                PlayId play = new PlayId(f.whole());
                return () -> d.handle(t, new Call.ViewerLeft(play));
            }
            case "probeDone": {
                HostId host = new HostId(f.text());
                Outcome how = outcome(f);
                double took = f.numberOr(0);
                LoadReport load = load(f.any(), to.settings);
                return () -> d.handle(t, new Call.ProbeCompleted(host, how, took, load));
            }
            case "timer": {
                String mark = f.text();
                return () -> d.handle(t, new Call.TimerFired(mark));
            }
            case "message":
                return () -> {};
            default:
                throw new MalformedLine("unknown event '" + name + "'");
        }
    }

    private Runnable list(Fields f, Desk d, Settings settings) {
        double t = now;
        String kind = f.text();
        f.any();
        if (kind.equals("lost")) {
            return () -> d.handle(t, new Call.HostListUnavailable());
        }
        int number = f.small();
        JsonNode sheet = sheets.get(number);
        if (sheet == null) {
            throw new MalformedLine("there is no sheet " + number);
        }
        List<HostDescriptor> lines = new ArrayList<>(sheet.size());
        for (JsonNode row : sheet) {
            Fields e = Fields.of(row);
            HostId host = new HostId(e.text());
            String place = e.textOrNone();
            String machine = e.textOrNone();
            int cell = e.smallOr(0);
            String state = e.text();
            HostDescriptor.LifecycleState standing = STANDINGS.get(state);
            if (standing == null) {
                throw new MalformedLine("unknown readiness '" + state + "'");
            }
            lines.add(new HostDescriptor(
                    host,
                    new PlaceId(place == null ? "" : place),
                    machine == null ? 0 : settings.slots(machine),
                    cell,
                    standing,
                    e.numberOr(1),
                    e.numberOr(0)));
        }
        switch (kind) {
            case "incr":
                return () -> d.handle(t, new Call.HostListUpdated(lines));
            case "total":
                return () -> d.handle(t, new Call.HostListReplaced(lines));
            case "warm_copy":
                return () -> d.handle(t, new Call.PersistedHostListLoaded(lines));
            default:
                throw new MalformedLine("unknown kind of list '" + kind + "'");
        }
    }

    private static long wholeOr(Fields f) {
        return (long) f.numberOr(0);
    }

    private static TenantId customer(String name) {
        return name == null ? null : new TenantId(name);
    }

    private static TrafficClass band(Fields f, Settings settings) {
        String name = f.text();
        TrafficClass band = settings.bands().get(name);
        if (band == null) {
            throw new MalformedLine("the settings have no class '" + name + "'");
        }
        return band;
    }

    private static Outcome outcome(Fields f) {
        String word = f.text();
        Outcome how = OUTCOMES.get(word);
        if (how == null) {
            throw new MalformedLine("unknown outcome '" + word + "'");
        }
        return how;
    }

    private static LoadReport load(JsonNode row, Settings settings) {
        if (row == null || !row.isArray()) {
            return LoadReport.NONE;
        }
        return settings.load(column -> {
            JsonNode v = row.path(settings.columns().indexOf(column));
            return v.isNumber() ? v.doubleValue() : Double.NaN;
        });
    }

    private void guarded(int number, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] at = e.getStackTrace();
            Replies.line(out, "broken", number, e + (at.length > 0 ? " at " + at[0] : ""));
        }
    }
}
