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
 * A rehearsal of the same kinds of trouble as a day that the bench drew: its fleet, load and troubles as far as
 * sockets on one machine can carry them. What is scaled or left out is told, never dropped in silence.
 */
record BenchDayScript(String script, List<String> notes) {
    private static final double MOST_HOSTS = 24; // what one machine plays beside its gateways and viewers
    private static final double MOST_GATEWAYS = 6;
    private static final double MOST_PER_S = 40;
    private static final double US = 1e6;

    /** Builds the script while reading. */
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
            lengthS = day.path("length").asDouble() / US;
            servers = day.path("servers").size();
            balancers = day.path("balancers").size();
            hosts = (int) Math.min(MOST_HOSTS, servers);
            gateways = (int) Math.min(MOST_GATEWAYS, balancers);
        }

        private static String n(double v) {
            return String.format(Locale.ROOT, "%.3f", v);
        }

        BenchDayScript build() {
            JsonNode fam = day.path("fam");
            JsonNode tier = day.path("tiers").path(0);
            JsonNode allow = day.path("allow");
            JsonNode budget = day.path("budget");
            double scale = hosts / (double) Math.max(1, servers);
            double perS = day.path("traffic").path("load").asDouble()
                    * fam.path("capacity").asDouble()
                    * scale;
            double lower = Math.min(1, MOST_PER_S / perS);
            perS *= lower;
            notes.add(String.format(
                    Locale.ROOT,
                    "%s %s: %d of %d hosts, %d of %d gateways, %.2f plays/s, scale %.3f",
                    day.path("site").asText(),
                    day.path("kind").asText(),
                    hosts,
                    servers,
                    gateways,
                    balancers,
                    perS,
                    scale * lower));
            double cores = 0;
            for (JsonNode s : day.path("servers")) {
                cores += tier.path("kinds")
                                .path(s.path("kind").asInt())
                                .path("cores")
                                .asDouble(1)
                        * s.path("speed").asDouble(1)
                        / servers;
            }
            notes.add(
                    "not carried over: hosts of different sizes and speeds (their mean is taken), places, the shape of the "
                            + "day's load, plays under way at its start, attempt noise, connection limits");
            double link = cores * fam.path("core_kb").asDouble() * lower;
            double racks = Math.max(1, Math.min(hosts, fam.path("racks").asInt(1)));
            double uplinks = 0;
            for (JsonNode u : fam.path("uplink_kb")) {
                uplinks += u.asDouble();
            }
            double rackPart =
                    uplinks > 0 ? uplinks / (cores * fam.path("core_kb").asDouble() * servers) : 0;
            double life = 0;
            int i = 0;
            StringBuilder bands = new StringBuilder();
            for (JsonNode c : day.path("classes")) {
                JsonNode use = fam.path("uses").path(i++);
                life += c.path("share").asDouble()
                        * use.path("life").asDouble(1)
                        * fam.path("life_s").asDouble();
                bands.append("<band name='")
                        .append(c.path("name").asText())
                        .append("' expected-ms='")
                        .append(n(c.path("aim").asDouble() / 1000))
                        .append("' hard-stop-ms='")
                        .append(n(c.path("deadline").asDouble() / 1000))
                        .append("' credit='")
                        .append(c.path("worth").asDouble())
                        .append("' paid='")
                        .append(!c.path("effect").asText().equals("safe"))
                        .append("' rates='")
                        .append(use.path("scale").asDouble(1))
                        .append("' floor='")
                        .append(use.path("floor").asInt())
                        .append("' top='")
                        .append(use.path("top").asInt(31))
                        .append("' seats='")
                        .append(use.path("seats").asInt())
                        .append("' weight='")
                        .append(c.path("share").asDouble())
                        .append("'/>");
            }
            int segments = (int) Math.max(3, Math.round(life));
            double tellS = fam.path("tell").asDouble() / US;
            day.path("troubles").forEach(this::trouble);
            StringBuilder rungs = new StringBuilder();
            for (int r = 0; r < fam.path("rates").size(); r++) {
                rungs.append("<rung kb='")
                        .append(fam.path("rates").path(r).asDouble())
                        .append("' credit='")
                        .append(fam.path("worth").path(r).asDouble())
                        .append("'/>");
            }
            boolean rationed = budget.path("window").asDouble() > 0;
            boolean probes = allow.path("probes").asBoolean();
            int holders = fam.path("copies").asDouble(1) > 0 ? Math.min(hosts, 3) : hosts; // 0: all hold all
            String script = "<day xmlns='urn:walnutfield:1' seconds='" + n(lengthS) + "' seed='1' gateways='" + gateways
                    + "' list-late-ms='"
                    + n(day.path("discovery").path("notice").asDouble() / 1000) + "'><rungs stall='"
                    + fam.path("stall").asDouble() + "'>" + rungs + "</rungs><bands>" + bands + "</bands><legs most='"
                    + allow.path("max_attempts").asInt(1) + "' spare='"
                    + budget.path("free").asDouble() + "' share='"
                    + (rationed ? budget.path("share").asDouble() : -1) + "' span-ms='"
                    + n(rationed ? budget.path("window").asDouble() / 1000 : 10_000) + "'/><cold from='"
                    + tier.path("stated_cold_from").asDouble(1) + "' warm-ms='"
                    + n(tier.path("stated_cold").asDouble() / 1000)
                    + "' multiple='" + day.path("fall_multiple").asDouble(3) + "' fall-ms='"
                    + n(day.path("fall_for").asDouble() / 1000) + "'/><drains grace-ms='"
                    + n(day.path("drain_grace").asDouble() / 1000) + "'/><shed most-hold-off-ms='"
                    + n(
                            allow.path("retry_after").asBoolean()
                                    ? day.path("clients")
                                                    .path("max_retry_after")
                                                    .asDouble()
                                            / 1000
                                    : 0)
                    + "'/><reports probes='" + probes + "' probe-price='"
                    + day.path("prices").path("probe").asDouble()
                    + "' told-late-ms='" + n(fam.path("see").asDouble() / 1000) + "' ask-for-list='"
                    + day.path("discovery").path("ask").asBoolean() + "' in-answers='"
                    + tier.path("report_how").asText().equals("answers") + "'/><moves price='"
                    + day.path("prices").path("moves").asDouble() + "'/><front/><host-client/><fleet hosts='" + hosts
                    + "' racks='"
                    + (int) racks + "' slots='"
                    + Math.max(2, Math.round(fam.path("core_slots").asDouble() * cores)) + "' link-kb='"
                    + n(link) + "' link-spread='"
                    + n(Math.min(0.9, fam.path("lean").asDouble())) + "' rack-part='" + n(rackPart)
                    + "' guard='" + fam.path("guard").asDouble() + "' off-ladder='"
                    + n(fam.path("vary").asDouble())
                    + "' refresh-ms='" + n(tier.path("report_period").asDouble(300_000) / 1000) + "' noise='"
                    + n(Math.min(1, tier.path("report_noise").asDouble())) + "' late-ms='"
                    + n(fam.path("see").asDouble() / 1000)
                    + "' tell-ms='" + n(tellS * 1000) + "'/><titles count='"
                    + Math.max(1, fam.path("titles").asInt(1))
                    + "' holders='" + holders + "' skew='"
                    + n(fam.path("title_zipf").asDouble()) + "' segments='"
                    + segments + "'/><viewers per-s='" + n(perS) + "' returns='"
                    + n(fam.path("returns").asDouble(1))
                    + "' weakest='" + n(fam.path("small_screens").asDouble()) + "'/><faults>" + faults
                    + "</faults></day>";
            return new BenchDayScript(script, List.copyOf(notes));
        }

        private void trouble(JsonNode t) {
            String kind = t.path("kind").asText();
            double at = t.path("at").asDouble() / US;
            double forS = t.path("len").asDouble() / US;
            double size = t.path("size").asDouble();
            double extra = t.path("extra").asDouble();
            switch (kind) {
                case "crash" -> hosts(t, "dead", at, forS, 0);
                case "vanish" -> hosts(t, "silent", at, forS, 0);
                case "hang" -> hosts(t, "standing", at, forS, 0);
                case "slow" -> hosts(t, "weak-link", at, forS, 1 / Math.max(1, size));
                case "neighbour" -> { // it takes this share of the link, on and off
                    double on = Math.max(1, extra);
                    for (double s = at; s < at + forS; s += 2 * on) {
                        hosts(t, "weak-link", s, Math.min(on, at + forS - s), 1 - Math.min(0.99, size));
                    }
                }
                case "zone_loss" -> {
                    hosts(t, extra > 0.5 ? "silent" : "dead", at, forS, 0);
                    for (int g = 0; size > 0.5 && g < gateways; g++) {
                        if (day.path("balancers").path(g).path("zone").asInt()
                                == t.path("which").asInt()) {
                            fault("gateway-killed", at, forS, g, 1, 0);
                        }
                    }
                }
                case "hot_key" -> {
                    notes.add("hot_key: as more viewers for all titles");
                    fault("crowd", at, forS, 0, 1, 1 / (1 - Math.min(0.9, size)));
                }
                case "fast_errors" -> hosts(t, "failing", at, forS, size);
                case "answer_lost" -> {
                    notes.add(
                            "answer_lost: all answers of its hosts are lost, the bench loses " + n(size) + " of them");
                    hosts(t, "answers-lost", at, forS, 0);
                }
                case "shared_slow" -> fault("weak-link", at, forS, 0, hosts, 1 / Math.max(1, size));
                case "ageing" -> {
                    notes.add("ageing: as slow set-ups that grow in two steps, then a crash");
                    hosts(t, "slow", at, forS / 2, 100 * size / 2);
                    hosts(t, "slow", at + forS / 2, forS / 2, 100 * size);
                    hosts(t, "dead", at + forS, Math.max(0.5, extra), 0);
                }
                case "report_late" -> fault("reports-late", at, forS, 0, 1, size * 1000);
                case "discovery_down" -> fault("list-lost", at, forS, 0, 1, 0);
                case "discovery_stale" -> fault("list-late", at, forS, 0, 1, size * 1000);
                case "deploy", "preempt" -> {
                    notes.add(kind + ": its waves come back at their old addresses, cold, after 2 s");
                    for (JsonNode step : t.path("steps")) {
                        befallen(step.path("stop"), hosts)
                                .forEach(s -> fault(
                                        "drain",
                                        step.path("at").asDouble() / US,
                                        Math.max(0.3, kind.equals("deploy") ? extra : size),
                                        s,
                                        1,
                                        2000));
                    }
                }
                case "balancer_roll" -> {
                    for (JsonNode step : t.path("steps")) {
                        befallen(step.path("stop"), gateways)
                                .forEach(s -> fault(
                                        "gateway-killed",
                                        step.path("at").asDouble() / US,
                                        Math.max(0.2, extra),
                                        s,
                                        1,
                                        0));
                    }
                }
                case "balancer_stall" -> {
                    for (double s = at; s < at + forS; s += Math.max(1, extra)) {
                        fault("gateway-stalled", s, Math.max(0.1, size / 1000), 0, gateways, 0);
                    }
                }
                default -> notes.add("not carried over: the trouble " + kind);
            }
        }

        private void hosts(JsonNode t, String kind, double at, double forS, double amount) {
            Set<Integer> on = befallen(t.path("on"), hosts);
            if (on.isEmpty() && !t.path("on").isEmpty()) {
                on.add(t.path("on").path(0).asInt() % hosts); // one at least
            }
            on.forEach(s -> fault(kind, at, forS, s, 1, amount));
        }

        /** Those of a larger fleet that are kept here: its first ones, so that the same part of it is befallen. */
        private static Set<Integer> befallen(JsonNode numbers, int kept) {
            Set<Integer> on = new TreeSet<>();
            numbers.forEach(s -> on.add(s.asInt()));
            on.removeIf(s -> s >= kept);
            return on;
        }

        private void fault(String kind, double at, double forS, int first, int count, double amount) {
            if (at >= lengthS) {
                notes.add("not carried over: " + kind + " after the day's end");
                return;
            }
            faults.append("<fault kind='")
                    .append(kind)
                    .append("' at-s='")
                    .append(n(at))
                    .append("' for-s='")
                    .append(n(Math.min(forS, lengthS - at - 0.01)))
                    .append("' first='")
                    .append(first)
                    .append("' count='")
                    .append(count)
                    .append("' amount='")
                    .append(n(amount))
                    .append("'/>");
        }
    }

    static BenchDayScript read(Path file) throws InvalidSettingsException {
        JsonNode day;
        try {
            day = new ObjectMapper().readTree(Files.readString(file));
        } catch (IOException e) {
            throw new InvalidSettingsException(
                    file.toString(),
                    0,
                    "is no day of the bench: " + e.getMessage().replaceAll("\\s+", " "));
        }
        if (!day.path("fam").isObject()
                || !day.path("servers").isArray()
                || day.path("balancers").isEmpty()
                || day.path("classes").isEmpty()) {
            throw new InvalidSettingsException(
                    file.toString(), 0, "is no day of video sessions: fam, servers, balancers or classes lack");
        }
        return new Builder(day).build();
    }
}
