package walnutfield.app;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import javax.xml.datatype.DatatypeConfigurationException;
import javax.xml.datatype.DatatypeFactory;
import walnutfield.gateway.Catalogue;
import walnutfield.gateway.Terms;
import walnutfield.net.Client;
import walnutfield.net.Clock;
import walnutfield.net.Limits;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlaceId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantId;
import walnutfield.play.TenantQuota;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.record.Making;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;

/** Cuts checked settings up into what each part takes; what the schema cannot say is refused here. */
final class Settings {
    private Settings() {}

    static Ladder ladder(XmlElement root) throws InvalidSettingsException {
        List<Double> kb = new ArrayList<>();
        List<Double> credit = new ArrayList<>();
        for (XmlElement r : root.one("rungs").all("rung")) {
            if (!kb.isEmpty() && r.number("kb") <= kb.get(kb.size() - 1)) {
                throw r.bad("a rung's rate is over that of the rung below");
            }
            kb.add(r.number("kb"));
            credit.add(r.number("credit"));
        }
        return new Ladder(kb, credit, root.one("rungs").number("stall"));
    }

    static Map<String, TrafficClass> bands(XmlElement root, int rungs) throws InvalidSettingsException {
        Map<String, TrafficClass> out = new LinkedHashMap<>();
        for (XmlElement b : root.one("bands").all("band")) {
            int top = Math.min(rungs - 1, b.whole("top"));
            TrafficClass band = new TrafficClass(
                    b.text("name"),
                    b.number("expected-ms"),
                    b.number("hard-stop-ms"),
                    b.number("credit"),
                    b.flag("paid"),
                    b.number("rates"),
                    b.whole("floor"),
                    top,
                    b.whole("seats"));
            if (band.minRung() > top) {
                throw b.bad("the floor of band " + band.name() + " is over its top rung, " + top);
            }
            if (band.latencyTargetMs() > band.deadlineMs() || band.deadlineMs() <= 0) {
                throw b.bad("the expected time of band " + band.name() + " is over its hard stop");
            }
            if (out.put(band.name(), band) != null) {
                throw b.bad("band " + band.name() + " is given twice");
            }
        }
        return out;
    }

    static RetryPolicy legs(XmlElement root) {
        XmlElement l = root.one("legs");
        return new RetryPolicy(l.whole("most"), l.number("spare"), l.number("share"), l.number("span-ms"));
    }

    static SlowStartPolicy cold(XmlElement root) {
        XmlElement c = root.one("cold");
        return new SlowStartPolicy(c.number("from"), c.number("warm-ms"), c.number("multiple"), c.number("fall-ms"));
    }

    /** How a desk is made of these settings for one gateway among its fellows. */
    static Making making(
            XmlElement root,
            String gateway,
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            List<TenantQuota> shares) {
        XmlElement r = root.one("reports");
        return new Making(
                gateway,
                Main.BUILD,
                Clock.now(),
                post,
                ladder,
                links,
                legs(root),
                cold(root),
                new SheddingPolicy(root.one("shed").number("most-hold-off-ms")),
                new LoadReportSettings(
                        r.flag("probes"),
                        r.number("probe-price"),
                        r.number("told-late-ms"),
                        r.flag("ask-for-list"),
                        r.flag("in-answers")),
                new MoveCosts(
                        root.one("moves").number("price"), root.one("moves").number("crossing-price")),
                shares);
    }

    /** The making of a gateway's own settings. */
    static Making making(XmlElement root) throws InvalidSettingsException {
        return making(root, root.text("name"), post(root), ladder(root), links(root), shares(root));
    }

    /** The whole of a gateway's settings, held against the rules. */
    static void check(XmlElement root) throws InvalidSettingsException {
        Ladder ladder = ladder(root);
        catalogue(root, ladder, bands(root, ladder.kb().size()));
        list(root);
        making(root);
        schedule(root);
    }

    static Terms.Front front(XmlElement root) {
        XmlElement f = root.one("front");
        Limits limits = new Limits(
                f.whole("connections"),
                f.whole("header-bytes"),
                f.whole("header-count"),
                f.whole("body-bytes"),
                f.number("request-ms"),
                f.number("idle-connection-ms"),
                f.number("unread-ms"),
                4);
        return new Terms.Front(
                f.whole("port"),
                f.whole("selectors"),
                limits,
                f.whole("queue"),
                f.number("untaken-ms"),
                f.whole("joined"),
                f.whole("retry-after-s"),
                f.number("ahead-s"),
                f.number("idle-ms"));
    }

    /** The front for calls; null where there is none. */
    static Terms.Sip sip(XmlElement root) {
        if (!root.has("sip")) {
            return null;
        }
        XmlElement s = root.one("sip");
        return new Terms.Sip(
                s.whole("port"),
                s.number("t1-ms"),
                s.whole("half-open"),
                s.whole("streams"),
                s.number("session-s") * 1000,
                s.flag("probes"));
    }

    static Terms.Hosts hosts(XmlElement root) {
        XmlElement h = root.one("host-client");
        return new Terms.Hosts(
                new Client.Terms(
                        h.number("dial-ms"),
                        h.number("idle-ms"),
                        h.whole("idle-most"),
                        h.whole("head-bytes"),
                        h.whole("body-bytes")),
                h.whole("selectors"),
                h.number("probe-ms"),
                h.number("silent-ms"));
    }

    static Terms.Lists list(XmlElement root) throws InvalidSettingsException {
        XmlElement l = root.one("list");
        String a = l.text("address");
        int colon = a.lastIndexOf(':');
        int port = Integer.parseInt(a.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw l.bad("port " + port + " is none");
        }
        String kept = l.text("kept");
        String learnt = l.text("learnt");
        if (!learnt.isEmpty()
                && Path.of(learnt).normalize().equals(Path.of(kept).normalize())) {
            throw l.bad("the list and what was learnt are kept in one file, " + kept);
        }
        return new Terms.Lists(
                new InetSocketAddress(a.substring(0, colon), port), file(kept), l.number("retry-ms"), file(learnt));
    }

    /** A file that is kept; null for none. */
    private static Path file(String name) {
        return name.isEmpty() ? null : Path.of(name);
    }

    static Catalogue catalogue(XmlElement root, Ladder ladder, Map<String, TrafficClass> bands)
            throws InvalidSettingsException {
        Map<TitleId, Catalogue.Title> titles = new HashMap<>();
        for (XmlElement t : root.one("titles").all("title")) {
            TitleId id = new TitleId(t.longWhole("id"));
            if (titles.put(
                            id,
                            new Catalogue.Title(id, t.whole("first-cell"), t.whole("holders"), t.number("length-ms")))
                    != null) {
                throw t.bad("title " + id.value() + " is given twice");
            }
        }
        return new Catalogue(titles, bands, ladder);
    }

    /** The schedule of inserts, which is taken as a whole or refused by the line of what is wrong in it. */
    static Schedule schedule(XmlElement parent, Map<String, TrafficClass> bands) throws InvalidSettingsException {
        List<XmlElement> all = parent.all("insert");
        List<Insert> inserts = new ArrayList<>();
        for (XmlElement i : all) {
            Set<String> named = words(i.text("bands"));
            for (String b : named) {
                if (!bands.containsKey(b)) {
                    throw i.bad("insert " + i.text("id") + " is for band " + b + ", which is none");
                }
            }
            inserts.add(new Insert(
                    new InsertId(i.text("id")),
                    new TitleId(i.longWhole("title")),
                    i.whole("first-cell"),
                    i.whole("holders"),
                    i.whole("top-rung"),
                    i.number("duration-ms"),
                    i.whole("target-s"),
                    Insert.Place.valueOf(i.text("place").toUpperCase(Locale.ROOT)),
                    i.number("at-ms"),
                    i.number("instead-ms"),
                    i.flag("must"),
                    named,
                    words(i.text("customers")).stream().map(TenantId::new).collect(Collectors.toSet()),
                    time(i, "from"),
                    time(i, "until"),
                    i.whole("per-hour")));
        }
        Schedule s = new Schedule(inserts);
        Schedule.Fault f = s.fault().orElse(null);
        if (f != null) {
            throw all.get(f.insert()).bad(f.reason());
        }
        return s;
    }

    /** The schedule in a file of its own or of other settings. */
    static Schedule schedule(XmlElement root) throws InvalidSettingsException {
        return root.has("inserts")
                ? schedule(root.one("inserts"), bands(root, ladder(root).kb().size()))
                : Schedule.NONE;
    }

    private static Set<String> words(String text) {
        return text.isBlank() ? Set.of() : new TreeSet<>(List.of(text.strip().split("\\s+")));
    }

    private static double time(XmlElement i, String name) throws InvalidSettingsException {
        try {
            return DatatypeFactory.newInstance()
                    .newXMLGregorianCalendar(i.text(name))
                    .toGregorianCalendar()
                    .getTimeInMillis();
        } catch (DatatypeConfigurationException | IllegalArgumentException e) {
            throw i.bad(name + " is no time");
        }
    }

    static LinkSettings links(XmlElement root) {
        XmlElement l = root.one("links");
        return new LinkSettings(
                l.number("all-kb"),
                l.number("unit-kb"),
                l.number("rack-kb"),
                l.whole("racks"),
                l.whole("cells"),
                l.flag("size-listed"));
    }

    static List<TenantQuota> shares(XmlElement root) throws InvalidSettingsException {
        Map<String, TenantQuota> out = new LinkedHashMap<>();
        for (XmlElement s : root.has("shares") ? root.one("shares").all("share") : List.<XmlElement>of()) {
            String name = s.text("customer");
            if (out.put(name, new TenantQuota(new TenantId(name), s.number("plays-per-s"), s.number("beyond")))
                    != null) {
                throw s.bad("customer " + name + " is given twice");
            }
        }
        return List.copyOf(out.values());
    }

    static GatewayIdentity post(XmlElement root) throws InvalidSettingsException {
        if (root.whole("me") >= root.whole("gateways")) {
            throw root.bad("gateway " + root.whole("me") + " is not among " + root.whole("gateways")
                    + ", which are numbered from 0");
        }
        return new GatewayIdentity(
                root.longWhole("seed"), root.whole("me"), root.whole("gateways"), new PlaceId(root.text("place")));
    }
}
