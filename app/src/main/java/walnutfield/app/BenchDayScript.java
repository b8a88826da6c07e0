package walnutfield.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

/**
 * The script of a rehearsal that resembles a day of the bench: its fleet, load and faults, scaled down to what sockets
 * on one machine can carry. Everything that is scaled or left out is listed in the notes, so that nothing is dropped
 * silently.
 *
 * @param script the script as XML
 * @param notes  what was scaled, approximated or left out, a line each
 */
record BenchDayScript(String script, List<String> notes) {
    private static final double MAX_HOSTS = 24; // stand-ins that one machine can run beside the gateways and viewers
    private static final double MAX_GATEWAYS = 6;
    private static final double MAX_PLAYS_PER_S = 40;
    private static final double US_PER_S = 1e6;

    /** Converts the JSON of a bench day. */
    private static final class Builder {
        private final JsonNode day;
        private final List<String> notes = new ArrayList<>();
        private final StringBuilder faults = new StringBuilder();
        private final double lengthS;
        private final int servers;
        private final int hosts;
        private final int balancers;
        private final int gateways;

        Builder(JsonNode day) {
            this.day = day;
            lengthS = day.path("length").asDouble() / US_PER_S;
            servers = day.path("servers").size();
            balancers = day.path("balancers").size();
            hosts = (int) Math.min(MAX_HOSTS, servers);
            gateways = (int) Math.min(MAX_GATEWAYS, balancers);
        }

        private static String format(double value) {
            return String.format(Locale.ROOT, "%.3f", value);
        }

        BenchDayScript build() {
            JsonNode family = day.path("fam");
            JsonNode tier = day.path("tiers").path(0);
            JsonNode allow = day.path("allow");
            JsonNode budget = day.path("budget");
            double scale = hosts / (double) Math.max(1, servers);
            double playsPerS = day.path("traffic").path("load").asDouble()
                    * family.path("capacity").asDouble()
                    * scale;
            double loadScale = Math.min(1, MAX_PLAYS_PER_S / playsPerS);
            playsPerS *= loadScale;
            notes.add(String.format(
                    Locale.ROOT,
                    "%s %s: %d of %d hosts, %d of %d gateways, %.2f plays/s, scale %.3f",
                    day.path("site").asText(),
                    day.path("kind").asText(),
                    hosts,
                    servers,
                    gateways,
                    balancers,
                    playsPerS,
                    scale * loadScale));
            double meanCores = 0;
            for (JsonNode server : day.path("servers")) {
                meanCores += tier.path("kinds")
                                .path(server.path("kind").asInt())
                                .path("cores")
                                .asDouble(1)
                        * server.path("speed").asDouble(1)
                        / servers;
            }
            notes.add(
                    "not carried over: hosts of different sizes and speeds (their mean is taken), places, the shape of the "
                            + "day's load, plays under way at its start, attempt noise, connection limits");
            double linkKb = meanCores * family.path("core_kb").asDouble() * loadScale;
            double racks = Math.max(1, Math.min(hosts, family.path("racks").asInt(1)));
            double uplinkSumKb = 0;
            for (JsonNode uplink : family.path("uplink_kb")) {
                uplinkSumKb += uplink.asDouble();
            }
            double rackPart = uplinkSumKb > 0
                    ? uplinkSumKb / (meanCores * family.path("core_kb").asDouble() * servers)
                    : 0;
            double meanLifeS = 0;
            int classIndex = 0;
            StringBuilder trafficClasses = new StringBuilder();
            for (JsonNode trafficClass : day.path("classes")) {
                JsonNode classUse = family.path("uses").path(classIndex++);
                meanLifeS += trafficClass.path("share").asDouble()
                        * classUse.path("life").asDouble(1)
                        * family.path("life_s").asDouble();
                trafficClasses
                        .append("<band name='")
                        .append(trafficClass.path("name").asText())
                        .append("' expected-ms='")
                        .append(format(trafficClass.path("aim").asDouble() / 1000))
                        .append("' hard-stop-ms='")
                        .append(format(trafficClass.path("deadline").asDouble() / 1000))
                        .append("' credit='")
                        .append(trafficClass.path("worth").asDouble())
                        .append("' paid='")
                        .append(!trafficClass.path("effect").asText().equals("safe"))
                        .append("' rates='")
                        .append(classUse.path("scale").asDouble(1))
                        .append("' floor='")
                        .append(classUse.path("floor").asInt())
                        .append("' top='")
                        .append(classUse.path("top").asInt(31))
                        .append("' seats='")
                        .append(classUse.path("seats").asInt())
                        .append("' weight='")
                        .append(trafficClass.path("share").asDouble())
                        .append("'/>");
            }
            int segments = (int) Math.max(3, Math.round(meanLifeS));
            double linkReportIntervalS = family.path("tell").asDouble() / US_PER_S;
            day.path("troubles").forEach(this::addTrouble);
            StringBuilder rungs = new StringBuilder();
            for (int rung = 0; rung < family.path("rates").size(); rung++) {
                rungs.append("<rung kb='")
                        .append(family.path("rates").path(rung).asDouble())
                        .append("' credit='")
                        .append(family.path("worth").path(rung).asDouble())
                        .append("'/>");
            }
            boolean hasRetryBudget = budget.path("window").asDouble() > 0;
            boolean probes = allow.path("probes").asBoolean();
            // No copies means that every host holds every title.
            int holders = family.path("copies").asDouble(1) > 0 ? Math.min(hosts, 3) : hosts;
            String script = "<day xmlns='urn:walnutfield:1' seconds='" + format(lengthS) + "' seed='1' gateways='"
                    + gateways
                    + "' list-late-ms='"
                    + format(day.path("discovery").path("notice").asDouble() / 1000) + "'><rungs stall='"
                    + family.path("stall").asDouble() + "'>" + rungs + "</rungs><bands>" + trafficClasses
                    + "</bands><legs most='"
                    + allow.path("max_attempts").asInt(1) + "' spare='"
                    + budget.path("free").asDouble() + "' share='"
                    + (hasRetryBudget ? budget.path("share").asDouble() : -1) + "' span-ms='"
                    + format(hasRetryBudget ? budget.path("window").asDouble() / 1000 : 10_000) + "'/><cold from='"
                    + tier.path("stated_cold_from").asDouble(1) + "' warm-ms='"
                    + format(tier.path("stated_cold").asDouble() / 1000)
                    + "' multiple='" + day.path("fall_multiple").asDouble(3) + "' fall-ms='"
                    + format(day.path("fall_for").asDouble() / 1000) + "'/><drains grace-ms='"
                    + format(day.path("drain_grace").asDouble() / 1000) + "'/><shed most-hold-off-ms='"
                    + format(
                            allow.path("retry_after").asBoolean()
                                    ? day.path("clients")
                                                    .path("max_retry_after")
                                                    .asDouble()
                                            / 1000
                                    : 0)
                    + "'/><reports probes='" + probes + "' probe-price='"
                    + day.path("prices").path("probe").asDouble()
                    + "' told-late-ms='" + format(family.path("see").asDouble() / 1000) + "' ask-for-list='"
                    + day.path("discovery").path("ask").asBoolean() + "' in-answers='"
                    + tier.path("report_how").asText().equals("answers") + "'/><moves price='"
                    + day.path("prices").path("moves").asDouble() + "'/><front/><host-client/><fleet hosts='" + hosts
                    + "' racks='"
                    + (int) racks + "' slots='"
                    + Math.max(2, Math.round(family.path("core_slots").asDouble() * meanCores)) + "' link-kb='"
                    + format(linkKb) + "' link-spread='"
                    + format(Math.min(0.9, family.path("lean").asDouble())) + "' rack-part='" + format(rackPart)
                    + "' guard='" + family.path("guard").asDouble() + "' off-ladder='"
                    + format(family.path("vary").asDouble())
                    + "' refresh-ms='" + format(tier.path("report_period").asDouble(300_000) / 1000) + "' noise='"
                    + format(Math.min(1, tier.path("report_noise").asDouble())) + "' late-ms='"
                    + format(family.path("see").asDouble() / 1000)
                    + "' tell-ms='" + format(linkReportIntervalS * 1000) + "'/><titles count='"
                    + Math.max(1, family.path("titles").asInt(1))
                    + "' holders='" + holders + "' skew='"
                    + format(family.path("title_zipf").asDouble()) + "' segments='"
                    + segments + "'/><viewers per-s='" + format(playsPerS) + "' returns='"
                    + format(family.path("returns").asDouble(1))
                    + "' weakest='" + format(family.path("small_screens").asDouble()) + "'/><faults>" + faults
                    + "</faults></day>";
            return new BenchDayScript(script, List.copyOf(notes));
        }

        /** Adds the faults of a rehearsal that come closest to a trouble of the bench. */
        private void addTrouble(JsonNode trouble) {
            String kind = trouble.path("kind").asText();
            double atS = trouble.path("at").asDouble() / US_PER_S;
            double durationS = trouble.path("len").asDouble() / US_PER_S;
            double size = trouble.path("size").asDouble();
            double extra = trouble.path("extra").asDouble();
            switch (kind) {
                case "crash" -> addHostFaults(trouble, "dead", atS, durationS, 0);
                case "vanish" -> addHostFaults(trouble, "silent", atS, durationS, 0);
                case "hang" -> addHostFaults(trouble, "standing", atS, durationS, 0);
                case "slow" -> addHostFaults(trouble, "weak-link", atS, durationS, 1 / Math.max(1, size));
                case "neighbour" -> { // other users take this share of the link for onS in every 2 * onS
                    double onS = Math.max(1, extra);
                    for (double startS = atS; startS < atS + durationS; startS += 2 * onS) {
                        addHostFaults(
                                trouble,
                                "weak-link",
                                startS,
                                Math.min(onS, atS + durationS - startS),
                                1 - Math.min(0.99, size));
                    }
                }
                case "zone_loss" -> {
                    addHostFaults(trouble, extra > 0.5 ? "silent" : "dead", atS, durationS, 0);
                    for (int gateway = 0; size > 0.5 && gateway < gateways; gateway++) {
                        if (day.path("balancers").path(gateway).path("zone").asInt()
                                == trouble.path("which").asInt()) {
                            addFault("gateway-killed", atS, durationS, gateway, 1, 0);
                        }
                    }
                }
                case "hot_key" -> {
                    notes.add("hot_key: as more viewers for all titles");
                    addFault("crowd", atS, durationS, 0, 1, 1 / (1 - Math.min(0.9, size)));
                }
                case "fast_errors" -> addHostFaults(trouble, "failing", atS, durationS, size);
                case "answer_lost" -> {
                    notes.add("answer_lost: all answers of its hosts are lost, the bench loses " + format(size)
                            + " of them");
                    addHostFaults(trouble, "answers-lost", atS, durationS, 0);
                }
                case "shared_slow" -> addFault("weak-link", atS, durationS, 0, hosts, 1 / Math.max(1, size));
                case "ageing" -> {
                    notes.add("ageing: as slow set-ups that grow in two steps, then a crash");
                    addHostFaults(trouble, "slow", atS, durationS / 2, 100 * size / 2);
                    addHostFaults(trouble, "slow", atS + durationS / 2, durationS / 2, 100 * size);
                    addHostFaults(trouble, "dead", atS + durationS, Math.max(0.5, extra), 0);
                }
                case "report_late" -> addFault("reports-late", atS, durationS, 0, 1, size * 1000);
                case "discovery_down" -> addFault("list-lost", atS, durationS, 0, 1, 0);
                case "discovery_stale" -> addFault("list-late", atS, durationS, 0, 1, size * 1000);
                case "deploy", "preempt" -> {
                    notes.add(kind + ": its waves come back at their old addresses, cold, after 2 s");
                    for (JsonNode step : trouble.path("steps")) {
                        affectedIndices(step.path("stop"), hosts)
                                .forEach(index -> addFault(
                                        "drain",
                                        step.path("at").asDouble() / US_PER_S,
                                        Math.max(0.3, kind.equals("deploy") ? extra : size),
                                        index,
                                        1,
                                        2000));
                    }
                }
                case "balancer_roll" -> {
                    for (JsonNode step : trouble.path("steps")) {
                        affectedIndices(step.path("stop"), gateways)
                                .forEach(index -> addFault(
                                        "gateway-killed",
                                        step.path("at").asDouble() / US_PER_S,
                                        Math.max(0.2, extra),
                                        index,
                                        1,
                                        0));
                    }
                }
                case "balancer_stall" -> {
                    for (double startS = atS; startS < atS + durationS; startS += Math.max(1, extra)) {
                        addFault("gateway-stalled", startS, Math.max(0.1, size / 1000), 0, gateways, 0);
                    }
                }
                default -> notes.add("not carried over: the trouble " + kind);
            }
        }

        private void addHostFaults(JsonNode trouble, String kind, double atS, double durationS, double amount) {
            Set<Integer> affected = affectedIndices(trouble.path("on"), hosts);
            if (affected.isEmpty() && !trouble.path("on").isEmpty()) {
                affected.add(trouble.path("on").path(0).asInt() % hosts); // a fault affects at least one host
            }
            affected.forEach(host -> addFault(kind, atS, durationS, host, 1, amount));
        }

        /**
         * Those of the numbers that are below the limit. The rehearsal has the first hosts or gateways of a larger
         * fleet, so that about the same share of them is affected as on the bench.
         */
        private static Set<Integer> affectedIndices(JsonNode numbers, int limit) {
            Set<Integer> affected = new TreeSet<>();
            numbers.forEach(number -> affected.add(number.asInt()));
            affected.removeIf(index -> index >= limit);
            return affected;
        }

        private void addFault(String kind, double atS, double durationS, int first, int count, double amount) {
            if (atS >= lengthS) {
                notes.add("not carried over: " + kind + " after the day's end");
                return;
            }
            faults.append("<fault kind='")
                    .append(kind)
                    .append("' at-s='")
                    .append(format(atS))
                    .append("' for-s='")
                    .append(format(Math.min(durationS, lengthS - atS - 0.01)))
                    .append("' first='")
                    .append(first)
                    .append("' count='")
                    .append(count)
                    .append("' amount='")
                    .append(format(amount))
                    .append("'/>");
        }
    }

    /** Reads a day that the bench wrote as JSON. */
    static BenchDayScript read(Path file) throws InvalidSettingsException {
        JsonNode day;
        try {
            day = new ObjectMapper().readTree(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    file.toString(),
                    0,
                    "is not a day of the bench in JSON: " + e.getMessage().replaceAll("\\s+", " "));
        }
        if (!day.path("fam").isObject()
                || !day.path("servers").isArray()
                || day.path("balancers").isEmpty()
                || day.path("classes").isEmpty()) {
            throw new InvalidSettingsException(
                    file.toString(),
                    0,
                    "is not a bench day of video sessions: fam, servers, balancers or classes are missing");
        }
        return new Builder(day).build();
    }
}
