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

/**
 * The settings object that a gateway instance gets at its start, split into the settings of each component. Absent keys
 * get default values.
 */
public final class Settings {
    private final Map<String, TrafficClass> trafficClassesByName = new LinkedHashMap<>();
    private final Map<String, Integer> maxStreamsByKind = new LinkedHashMap<>();
    private final List<String> loadColumns = new ArrayList<>();
    private final JsonNode root;
    private final JsonNode familyInfo;
    private final JsonNode limits;
    private final JsonNode rules;
    private final JsonNode fees;

    public Settings(JsonNode root) {
        this.root = root;
        familyInfo = root.path("familyInfo");
        limits = root.path("limits");
        rules = root.path("rules");
        fees = root.path("fees");
        int index = 0;
        for (JsonNode trafficClass : root.path("classes")) {
            String name = trafficClass.path("name").asText();
            trafficClassesByName.put(
                    name,
                    new TrafficClass(
                            name,
                            trafficClass.path("onTime").asDouble(),
                            trafficClass.path("giveUp").asDouble(),
                            trafficClass.path("worth").asDouble(1),
                            !trafficClass.path("repeat").asText().equals("repeatable"),
                            numberAt(familyInfo, "scaleByClass", index, 1),
                            (int) numberAt(familyInfo, "floorByClass", index, 0),
                            (int) numberAt(familyInfo, "classTop", index, Integer.MAX_VALUE),
                            (int) numberAt(familyInfo, "classSeats", index, 0)));
            index++;
        }
        index = 0;
        for (JsonNode kind : root.path("kinds")) {
            maxStreamsByKind.put(kind.asText(), (int) numberAt(familyInfo, "kindSlots", index++, 0));
        }
        root.path("report").path("columns").forEach(column -> loadColumns.add(column.asText()));
    }

    /** The number at an index of the array under a key, or the default where there is no number. */
    private static double numberAt(JsonNode parent, String key, int index, double defaultValue) {
        JsonNode node = parent.path(key).path(index);
        return node.isNumber() ? node.doubleValue() : defaultValue;
    }

    private static List<Double> numbers(JsonNode array) {
        List<Double> numbers = new ArrayList<>();
        array.forEach(value -> numbers.add(value.asDouble()));
        return numbers;
    }

    /** The index of this gateway among its peers, its place, and the seed of its random source. */
    public GatewayIdentity identity(long seed) {
        return new GatewayIdentity(
                seed,
                root.path("me").asInt(),
                Math.max(1, root.path("balancers").asInt(1)),
                new PlaceId(root.path("zone").asText()));
    }

    public Ladder ladder() {
        return new Ladder(
                numbers(familyInfo.path("levelKb")),
                numbers(familyInfo.path("worthByRung")),
                familyInfo.path("stall").asDouble());
    }

    public LinkSettings linkSettings() {
        String weights = root.path("weights").asText();
        return new LinkSettings(
                familyInfo.path("allLinksKb").asDouble(),
                familyInfo.path("weightKb").asDouble(),
                familyInfo.path("rackKb").asDouble(),
                familyInfo.path("racks").asInt(),
                familyInfo.path("positions").asInt(),
                weights.equals("nominal") || weights.equals("rough"));
    }

    public RetryPolicy retryPolicy() {
        JsonNode retryBudget = rules.path("ratioSpan").asDouble() > 0 ? rules : MissingNode.getInstance();
        return new RetryPolicy(
                limits.path("tryLimit").asInt(1),
                retryBudget.path("spareAttempts").asDouble(),
                retryBudget.path("extraRatio").asDouble(-1),
                retryBudget.path("ratioSpan").asDouble());
    }

    public SlowStartPolicy slowStartPolicy() {
        return new SlowStartPolicy(
                rules.path("coldFrom").asDouble(1),
                rules.path("warmWithin").asDouble(),
                rules.path("fallMultiple").asDouble(1),
                rules.path("fall").asDouble());
    }

    public SheddingPolicy sheddingPolicy() {
        return new SheddingPolicy(
                limits.path("retryAfter").asBoolean()
                        ? limits.path("maxRetryAfter").asDouble()
                        : 0);
    }

    public LoadReportSettings loadReportSettings() {
        String mode = root.path("report").path("how").asText("off");
        return new LoadReportSettings(
                limits.path("probing").asBoolean() && !mode.equals("off"),
                fees.path("probe").asDouble(),
                familyInfo.path("toldLate").asDouble(),
                root.path("discovery").asText().equals("ask"),
                mode.equals("inline"));
    }

    public MoveCosts moveCosts() {
        return new MoveCosts(
                fees.path("moves").asDouble(), fees.path("crossZone").asDouble());
    }

    public List<TenantQuota> tenantQuotas() {
        List<TenantQuota> quotas = new ArrayList<>();
        for (JsonNode account : root.path("accounts")) {
            quotas.add(new TenantQuota(
                    new TenantId(account.path("name").asText()),
                    account.path("allowancePerS").asDouble(),
                    root.path("overShareWorth").asDouble(1)));
        }
        return quotas;
    }

    /**
     * Makes a desk with these settings.
     *
     * @param listener observes the calls and results of the desk; null for none
     */
    public Desk newDesk(long seed, GatewayActions actions, Listener listener) {
        return new Desk(
                identity(seed),
                ladder(),
                linkSettings(),
                retryPolicy(),
                slowStartPolicy(),
                sheddingPolicy(),
                loadReportSettings(),
                moveCosts(),
                tenantQuotas(),
                actions,
                listener);
    }

    // ---- Connections and load reports between programs

    /** Timeout for setting up a connection to a host, in ms; 0 if not given. */
    public double connectTimeoutMs() {
        return limits.path("dialTimeout").asDouble();
    }

    /** Time after which a host closes an idle connection, in ms; 0 if not given. */
    public double idleTimeoutMs() {
        return limits.path("keepalive").asDouble();
    }

    /** Interval at which a host reports its load to each gateway that has sessions on it, in ms; 0 for no reports. */
    public double loadReportIntervalMs() {
        return familyInfo.path("tell").asDouble();
    }

    /** How many set-ups may be in progress on one connection at the same time. */
    public int maxStreamsPerConnection() {
        return (int) Math.max(
                1, Math.min(Integer.MAX_VALUE, limits.path("streamsPerConn").asLong(1)));
    }

    /** Number of cells that the hosts are spread over. */
    public int cellCount() {
        return familyInfo.path("positions").asInt();
    }

    /** The place with this index in the list of places; an empty one where there is none. */
    public PlaceId place(int index) {
        return new PlaceId(root.path("localities").path(index).asText());
    }

    /** Maximum number of streams of a machine of the kind with this index; 0 if not given. */
    public int maxStreams(int kindIndex) {
        return maxStreams(root.path("kinds").path(kindIndex).asText());
    }

    /** Maximum number of streams of a machine of the kind with this name; 0 if not given. */
    public int maxStreams(String kind) {
        return maxStreamsByKind.getOrDefault(kind, 0);
    }

    /** All traffic classes by their names. */
    public Map<String, TrafficClass> trafficClasses() {
        return Collections.unmodifiableMap(trafficClassesByName);
    }

    /**
     * Builds a load report. The use of the CPU stands in for that of the link where the latter is not reported.
     *
     * @param value gives the value of a column; NaN where there is none
     */
    public LoadReport loadReport(ToDoubleFunction<String> value) {
        double linkUse = Double.NaN;
        double cpuUse = Double.NaN;
        double uplinkUse = Double.NaN;
        double activeStreams = Double.NaN;
        for (String column : loadColumns) {
            double columnValue = value.applyAsDouble(column);
            if (Double.isNaN(columnValue)) {
                continue;
            }
            switch (column) {
                case "x0":
                    linkUse = columnValue;
                    break;
                case "x1":
                    uplinkUse = columnValue;
                    break;
                case "cpu":
                    cpuUse = columnValue;
                    break;
                case "active":
                    activeStreams = columnValue;
                    break;
                default:
                    break;
            }
        }
        return new LoadReport(Double.isNaN(linkUse) ? cpuUse : linkUse, uplinkUse, activeStreams);
    }

    /** The columns of a load report, in the order in which a report lists its values. */
    public List<String> loadReportColumns() {
        return Collections.unmodifiableList(loadColumns);
    }
}
