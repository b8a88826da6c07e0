package walnutfield.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walnutfield.desk.Desk;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.CustomerId;
import walnutfield.play.Gateway;
import walnutfield.play.Ladder;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.MoveTerms;
import walnutfield.play.PlaceId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;

/** The settings that come with the start of an instance, cut up into the parts' own. */
final class Settings {
    final Map<String, Band> bands = new LinkedHashMap<>();
    final Map<String, Integer> slots = new LinkedHashMap<>();
    final List<String> columns;
    private final JsonNode all;

    Settings(JsonNode all) {
        this.all = all;
        JsonNode fam = all.path("familyInfo");
        int i = 0;
        for (JsonNode c : all.path("classes")) {
            String name = c.path("name").asText();
            bands.put(name, new Band(name, c.path("onTime").asDouble(), c.path("giveUp").asDouble(),
                c.path("worth").asDouble(1), !c.path("repeat").asText().equals("repeatable"),
                at(fam, "scaleByClass", i, 1), (int) at(fam, "floorByClass", i, 0),
                (int) at(fam, "classTop", i, Integer.MAX_VALUE), (int) at(fam, "classSeats", i, 0)));
            i++;
        }
        i = 0;
        for (JsonNode k : all.path("kinds")) {
            slots.put(k.asText(), (int) at(fam, "kindSlots", i++, 0));
        }
        columns = new ArrayList<>();
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

    Desk desk(long seed, Gateway out, Ears ears, int number) {
        JsonNode fam = all.path("familyInfo");
        JsonNode limits = all.path("limits");
        JsonNode rules = all.path("rules");
        JsonNode fees = all.path("fees");
        String weights = all.path("weights").asText();
        String how = all.path("report").path("how").asText("off");
        List<Share> shares = new ArrayList<>();
        for (JsonNode a : all.path("accounts")) {
            shares.add(new Share(new CustomerId(a.path("name").asText()),
                a.path("allowancePerS").asDouble(), all.path("overShareWorth").asDouble(1)));
        }
        JsonNode ration = rules.path("ratioSpan").asDouble() > 0 ? rules : MissingNode.getInstance();
        Post post = new Post(seed, all.path("me").asInt(), Math.max(1, all.path("balancers").asInt(1)),
                new PlaceId(all.path("zone").asText()));
        Ladder ladder = new Ladder(row(fam.path("levelKb")), row(fam.path("worthByRung")),
                fam.path("stall").asDouble());
        LinkTerms links = new LinkTerms(fam.path("allLinksKb").asDouble(), fam.path("weightKb").asDouble(),
                fam.path("rackKb").asDouble(), fam.path("racks").asInt(), fam.path("positions").asInt(),
                weights.equals("nominal") || weights.equals("rough"));
        LegTerms legs = new LegTerms(limits.path("tryLimit").asInt(1), ration.path("spareAttempts").asDouble(),
                ration.path("extraRatio").asDouble(-1), ration.path("ratioSpan").asDouble());
        ColdTerms cold = new ColdTerms(rules.path("coldFrom").asDouble(1), rules.path("warmWithin").asDouble(),
                rules.path("fallMultiple").asDouble(1), rules.path("fall").asDouble());
        ShedTerms sheds = new ShedTerms(limits.path("retryAfter").asBoolean() ? limits.path("maxRetryAfter").asDouble() : 0);
        ReportTerms reports = new ReportTerms(limits.path("probing").asBoolean() && !how.equals("off"),
                fees.path("probe").asDouble(),
                fam.path("toldLate").asDouble(), all.path("discovery").asText().equals("ask"), how.equals("inline"));
        MoveTerms moves = new MoveTerms(fees.path("moves").asDouble(), fees.path("crossZone").asDouble());
        try {
            return new Desk(post, ladder, links, legs, cold, sheds, reports, moves, shares, out,
                ears.of(number, post, ladder, links, legs, cold, sheds, reports, moves, shares));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
