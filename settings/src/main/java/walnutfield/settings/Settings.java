package walnutfield.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReport;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlaceId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantId;
import walnutfield.play.TenantQuota;
import walnutfield.play.TrafficClass;

/** The settings that come with the start of an instance, cut up into the parts' own. */
public final class Settings {
    private final Map<String, TrafficClass> bands = new LinkedHashMap<>();
    private final Map<String, Integer> slots = new LinkedHashMap<>();
    private final List<String> columns = new ArrayList<>();
    private final JsonNode all;
    private final JsonNode fam;
    private final JsonNode limits;
    private final JsonNode rules;
    private final JsonNode fees;

    public Settings(JsonNode all) {
        this.all = all;
        fam = all.path("familyInfo");
        limits = all.path("limits");
        rules = all.path("rules");
        fees = all.path("fees");
        int i = 0;
        for (JsonNode c : all.path("classes")) {
            String name = c.path("name").asText();
            bands.put(
                    name,
                    new TrafficClass(
                            name,
                            c.path("onTime").asDouble(),
                            c.path("giveUp").asDouble(),
                            c.path("worth").asDouble(1),
                            !c.path("repeat").asText().equals("repeatable"),
                            at(fam, "scaleByClass", i, 1),
                            (int) at(fam, "floorByClass", i, 0),
                            (int) at(fam, "classTop", i, Integer.MAX_VALUE),
                            (int) at(fam, "classSeats", i, 0)));
            i++;
        }
        i = 0;
        for (JsonNode k : all.path("kinds")) {
            slots.put(k.asText(), (int) at(fam, "kindSlots", i++, 0));
        }
        all.path("report").path("columns").forEach(c -> columns.add(c.asText()));
    }

    private static double at(JsonNode parent, String key, int i, double absent) {
        JsonNode n = parent.path(key).path(i);
        return n.isNumber() ? n.doubleValue() : absent;
    }

    private static List<Double> row(JsonNode n) {
        List<Double> out = new ArrayList<>();
        n.forEach(v -> out.add(v.asDouble()));
        return out;
    }

    /** This gateway among its fellows, with the seed of its chance. */
    public GatewayIdentity post(long seed) {
        return new GatewayIdentity(
                seed,
                all.path("me").asInt(),
                Math.max(1, all.path("balancers").asInt(1)),
                new PlaceId(all.path("zone").asText()));
    }

    public Ladder ladder() {
        return new Ladder(
                row(fam.path("levelKb")),
                row(fam.path("worthByRung")),
                fam.path("stall").asDouble());
    }

    public LinkSettings links() {
        String weights = all.path("weights").asText();
        return new LinkSettings(
                fam.path("allLinksKb").asDouble(),
                fam.path("weightKb").asDouble(),
                fam.path("rackKb").asDouble(),
                fam.path("racks").asInt(),
                fam.path("positions").asInt(),
                weights.equals("nominal") || weights.equals("rough"));
    }

    public RetryPolicy legs() {
        JsonNode ration = rules.path("ratioSpan").asDouble() > 0 ? rules : MissingNode.getInstance();
        return new RetryPolicy(
                limits.path("tryLimit").asInt(1),
                ration.path("spareAttempts").asDouble(),
                ration.path("extraRatio").asDouble(-1),
                ration.path("ratioSpan").asDouble());
    }

    public SlowStartPolicy cold() {
        return new SlowStartPolicy(
                rules.path("coldFrom").asDouble(1),
                rules.path("warmWithin").asDouble(),
                rules.path("fallMultiple").asDouble(1),
                rules.path("fall").asDouble());
    }

    public SheddingPolicy sheds() {
        return new SheddingPolicy(
                limits.path("retryAfter").asBoolean()
                        ? limits.path("maxRetryAfter").asDouble()
                        : 0);
    }

    public LoadReportSettings reports() {
        String how = all.path("report").path("how").asText("off");
        return new LoadReportSettings(
                limits.path("probing").asBoolean() && !how.equals("off"),
                fees.path("probe").asDouble(),
                fam.path("toldLate").asDouble(),
                all.path("discovery").asText().equals("ask"),
                how.equals("inline"));
    }

    public MoveCosts moves() {
        return new MoveCosts(
                fees.path("moves").asDouble(), fees.path("crossZone").asDouble());
    }

    public List<TenantQuota> shares() {
        List<TenantQuota> shares = new ArrayList<>();
        for (JsonNode a : all.path("accounts")) {
            shares.add(new TenantQuota(
                    new TenantId(a.path("name").asText()),
                    a.path("allowancePerS").asDouble(),
                    all.path("overShareWorth").asDouble(1)));
        }
        return shares;
    }

    /** @param listener sees what passes the desk; null for none */
    public Desk desk(long seed, GatewayActions out, Listener listener) {
        return new Desk(
                post(seed), ladder(), links(), legs(), cold(), sheds(), reports(), moves(), shares(), out, listener);
    }

    // ---- What is told of streams between programs

    /** A connection to a host that is not up by then is given up; 0 if not told. */
    public double dialMs() {
        return limits.path("dialTimeout").asDouble();
    }

    /** A host closes a connection that was idle for so long; 0 if not told. */
    public double idleMs() {
        return limits.path("keepalive").asDouble();
    }

    /** A host tells each gateway with sessions there its load so often; 0 if not. */
    public double reportMs() {
        return fam.path("tell").asDouble();
    }

    /** Set-ups that may be out on one connection at a time. */
    public int streamsAConnection() {
        return (int) Math.max(
                1, Math.min(Integer.MAX_VALUE, limits.path("streamsPerConn").asLong(1)));
    }

    /** Cells that hosts stand in. */
    public int cells() {
        return fam.path("positions").asInt();
    }

    /** A list's place by its number; an empty one where there is none. */
    public PlaceId place(int number) {
        return new PlaceId(all.path("localities").path(number).asText());
    }

    /** A machine's streams by the number of its kind; 0 if not told. */
    public int slots(int kind) {
        return slots(all.path("kinds").path(kind).asText());
    }

    /** The same by the kind's name. */
    public int slots(String kind) {
        return slots.getOrDefault(kind, 0);
    }

    public Map<String, TrafficClass> bands() {
        return Collections.unmodifiableMap(bands);
    }

    /** A report's values by their columns; NaN where there is none. */
    public LoadReport load(ToDoubleFunction<String> value) {
        double link = Double.NaN;
        double cpu = Double.NaN;
        double uplink = Double.NaN;
        double streams = Double.NaN;
        for (String column : columns) {
            double v = value.applyAsDouble(column);
            if (Double.isNaN(v)) {
                continue;
            }
            switch (column) {
                case "x0":
                    link = v;
                    break;
                case "x1":
                    uplink = v;
                    break;
                case "cpu":
                    cpu = v;
                    break;
                case "active":
                    streams = v;
                    break;
                default:
                    break;
            }
        }
        return new LoadReport(Double.isNaN(link) ? cpu : link, uplink, streams);
    }

    public List<String> columns() {
        return Collections.unmodifiableList(columns);
    }
}
