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
import walnutfield.gateway.GatewaySettings;
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
import walnutfield.record.DeskSetup;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;

/**
 * Converts validated settings into the objects that each module takes. Rules that the schema cannot express are checked
 * here.
 */
final class Settings {
    private Settings() {}

    static Ladder ladder(XmlElement root) throws InvalidSettingsException {
        List<Double> kb = new ArrayList<>();
        List<Double> credits = new ArrayList<>();
        for (XmlElement rung : root.child("rungs").children("rung")) {
            if (!kb.isEmpty() && rung.getDouble("kb") <= kb.get(kb.size() - 1)) {
                throw rung.invalid("the kb of a rung must be greater than that of the rung before it");
            }
            kb.add(rung.getDouble("kb"));
            credits.add(rung.getDouble("credit"));
        }
        return new Ladder(kb, credits, root.child("rungs").getDouble("stall"));
    }

    static Map<String, TrafficClass> trafficClasses(XmlElement root, int rungCount) throws InvalidSettingsException {
        Map<String, TrafficClass> byName = new LinkedHashMap<>();
        for (XmlElement band : root.child("bands").children("band")) {
            int maxRung = Math.min(rungCount - 1, band.getInt("top"));
            TrafficClass trafficClass = new TrafficClass(
                    band.getString("name"),
                    band.getDouble("expected-ms"),
                    band.getDouble("hard-stop-ms"),
                    band.getDouble("credit"),
                    band.getBoolean("paid"),
                    band.getDouble("rates"),
                    band.getInt("floor"),
                    maxRung,
                    band.getInt("seats"));
            if (trafficClass.minRung() > maxRung) {
                throw band.invalid("the floor of band " + trafficClass.name() + " is above its top rung, " + maxRung);
            }
            if (trafficClass.latencyTargetMs() > trafficClass.deadlineMs() || trafficClass.deadlineMs() <= 0) {
                throw band.invalid("expected-ms of band " + trafficClass.name()
                        + " must not exceed its hard-stop-ms, which must be greater than 0");
            }
            if (byName.put(trafficClass.name(), trafficClass) != null) {
                throw band.invalid("band " + trafficClass.name() + " is given twice");
            }
        }
        return byName;
    }

    static RetryPolicy retryPolicy(XmlElement root) {
        XmlElement legs = root.child("legs");
        return new RetryPolicy(
                legs.getInt("most"), legs.getDouble("spare"), legs.getDouble("share"), legs.getDouble("span-ms"));
    }

    static SlowStartPolicy slowStart(XmlElement root) {
        XmlElement cold = root.child("cold");
        return new SlowStartPolicy(
                cold.getDouble("from"),
                cold.getDouble("warm-ms"),
                cold.getDouble("multiple"),
                cold.getDouble("fall-ms"));
    }

    /** The construction settings of the desk of one gateway. */
    static DeskSetup deskSettings(
            XmlElement root,
            String gateway,
            GatewayIdentity identity,
            Ladder ladder,
            LinkSettings links,
            List<TenantQuota> quotas) {
        XmlElement reports = root.child("reports");
        return new DeskSetup(
                gateway,
                Main.BUILD,
                Clock.now(),
                identity,
                ladder,
                links,
                retryPolicy(root),
                slowStart(root),
                new SheddingPolicy(root.child("shed").getDouble("most-hold-off-ms")),
                new LoadReportSettings(
                        reports.getBoolean("probes"),
                        reports.getDouble("probe-price"),
                        reports.getDouble("told-late-ms"),
                        reports.getBoolean("ask-for-list"),
                        reports.getBoolean("in-answers")),
                new MoveCosts(
                        root.child("moves").getDouble("price"),
                        root.child("moves").getDouble("crossing-price")),
                quotas);
    }

    /** The construction settings of the desk of the gateway whose settings these are. */
    static DeskSetup deskSettings(XmlElement root) throws InvalidSettingsException {
        return deskSettings(
                root,
                root.getString("name"),
                gatewayIdentity(root),
                ladder(root),
                linkSettings(root),
                tenantQuotas(root));
    }

    /** Checks all settings of a gateway against the rules that the schema cannot express. */
    static void validate(XmlElement root) throws InvalidSettingsException {
        Ladder ladder = ladder(root);
        catalogue(root, ladder, trafficClasses(root, ladder.ratesKb().size()));
        listService(root);
        deskSettings(root);
        schedule(root);
    }

    static GatewaySettings.Front front(XmlElement root) {
        XmlElement front = root.child("front");
        Limits limits = new Limits(
                front.getInt("connections"),
                front.getInt("header-bytes"),
                front.getInt("header-count"),
                front.getInt("body-bytes"),
                front.getDouble("request-ms"),
                front.getDouble("idle-connection-ms"),
                front.getDouble("unread-ms"),
                4);
        return new GatewaySettings.Front(
                front.getInt("port"),
                front.getInt("selectors"),
                limits,
                front.getInt("queue"),
                front.getDouble("untaken-ms"),
                front.getInt("joined"),
                front.getInt("retry-after-s"),
                front.getDouble("ahead-s"),
                front.getDouble("idle-ms"));
    }

    /** Settings of the SIP front; null where there is none. */
    static GatewaySettings.Sip sip(XmlElement root) {
        if (!root.hasChild("sip")) {
            return null;
        }
        XmlElement sip = root.child("sip");
        return new GatewaySettings.Sip(
                sip.getInt("port"),
                sip.getDouble("t1-ms"),
                sip.getInt("half-open"),
                sip.getInt("streams"),
                sip.getDouble("session-s") * 1000,
                sip.getBoolean("probes"));
    }

    static GatewaySettings.Hosts hostClient(XmlElement root) {
        XmlElement hostClient = root.child("host-client");
        return new GatewaySettings.Hosts(
                new Client.Settings(
                        hostClient.getDouble("dial-ms"),
                        hostClient.getDouble("idle-ms"),
                        hostClient.getInt("idle-most"),
                        hostClient.getInt("head-bytes"),
                        hostClient.getInt("body-bytes")),
                hostClient.getInt("selectors"),
                hostClient.getDouble("probe-ms"),
                hostClient.getDouble("silent-ms"));
    }

    static GatewaySettings.Lists listService(XmlElement root) throws InvalidSettingsException {
        XmlElement list = root.child("list");
        String address = list.getString("address");
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw list.invalid("port " + port + " is not between 1 and 65535");
        }
        String persistedListFile = list.getString("kept");
        String learnedStateFile = list.getString("learnt");
        if (!learnedStateFile.isEmpty()
                && Path.of(learnedStateFile)
                        .normalize()
                        .equals(Path.of(persistedListFile).normalize())) {
            throw list.invalid("kept and learnt must be different files, but both are " + persistedListFile);
        }
        return new GatewaySettings.Lists(
                new InetSocketAddress(address.substring(0, colon), port),
                optionalPath(persistedListFile),
                list.getDouble("retry-ms"),
                optionalPath(learnedStateFile));
    }

    /** The path of an optional file; null where the name is empty. */
    private static Path optionalPath(String name) {
        return name.isEmpty() ? null : Path.of(name);
    }

    static Catalogue catalogue(XmlElement root, Ladder ladder, Map<String, TrafficClass> trafficClasses)
            throws InvalidSettingsException {
        Map<TitleId, Catalogue.Title> titles = new HashMap<>();
        for (XmlElement title : root.child("titles").children("title")) {
            TitleId id = new TitleId(title.getLong("id"));
            if (titles.put(
                            id,
                            new Catalogue.Title(
                                    id,
                                    title.getInt("first-cell"),
                                    title.getInt("holders"),
                                    title.getDouble("length-ms")))
                    != null) {
                throw title.invalid("title " + id.value() + " is given twice");
            }
        }
        return new Catalogue(titles, trafficClasses, ladder);
    }

    /**
     * Reads a schedule of inserts. A schedule with one invalid insert is rejected as a whole.
     *
     * @param trafficClasses those that inserts may name, by name
     */
    static Schedule schedule(XmlElement parent, Map<String, TrafficClass> trafficClasses)
            throws InvalidSettingsException {
        List<XmlElement> elements = parent.children("insert");
        List<Insert> inserts = new ArrayList<>();
        for (XmlElement element : elements) {
            Set<String> bandNames = splitNames(element.getString("bands"));
            for (String bandName : bandNames) {
                if (!trafficClasses.containsKey(bandName)) {
                    throw element.invalid("insert " + element.getString("id") + " is for band " + bandName
                            + ", which is not defined");
                }
            }
            inserts.add(new Insert(
                    new InsertId(element.getString("id")),
                    new TitleId(element.getLong("title")),
                    element.getInt("first-cell"),
                    element.getInt("holders"),
                    element.getInt("top-rung"),
                    element.getDouble("duration-ms"),
                    element.getInt("target-s"),
                    Insert.Place.valueOf(element.getString("place").toUpperCase(Locale.ROOT)),
                    element.getDouble("at-ms"),
                    element.getDouble("instead-ms"),
                    element.getBoolean("must"),
                    bandNames,
                    splitNames(element.getString("customers")).stream()
                            .map(TenantId::new)
                            .collect(Collectors.toSet()),
                    dateTimeMs(element, "from"),
                    dateTimeMs(element, "until"),
                    element.getInt("per-hour")));
        }
        Schedule schedule = new Schedule(inserts);
        Schedule.Fault fault = schedule.fault().orElse(null);
        if (fault != null) {
            throw elements.get(fault.insertIndex()).invalid(fault.reason());
        }
        return schedule;
    }

    /** The schedule of inserts within the settings of a gateway or within a script; none where they have none. */
    static Schedule schedule(XmlElement root) throws InvalidSettingsException {
        return root.hasChild("inserts")
                ? schedule(
                        root.child("inserts"),
                        trafficClasses(root, ladder(root).ratesKb().size()))
                : Schedule.NONE;
    }

    private static Set<String> splitNames(String names) {
        return names.isBlank() ? Set.of() : new TreeSet<>(List.of(names.strip().split("\\s+")));
    }

    private static double dateTimeMs(XmlElement element, String attribute) throws InvalidSettingsException {
        try {
            return DatatypeFactory.newInstance()
                    .newXMLGregorianCalendar(element.getString(attribute))
                    .toGregorianCalendar()
                    .getTimeInMillis();
        } catch (DatatypeConfigurationException | IllegalArgumentException e) {
            throw element.invalid(attribute + " is not a valid date and time");
        }
    }

    static LinkSettings linkSettings(XmlElement root) {
        XmlElement links = root.child("links");
        return new LinkSettings(
                links.getDouble("all-kb"),
                links.getDouble("unit-kb"),
                links.getDouble("rack-kb"),
                links.getInt("racks"),
                links.getInt("cells"),
                links.getBoolean("size-listed"));
    }

    static List<TenantQuota> tenantQuotas(XmlElement root) throws InvalidSettingsException {
        Map<String, TenantQuota> byTenant = new LinkedHashMap<>();
        for (XmlElement share :
                root.hasChild("shares") ? root.child("shares").children("share") : List.<XmlElement>of()) {
            String tenant = share.getString("customer");
            if (byTenant.put(
                            tenant,
                            new TenantQuota(
                                    new TenantId(tenant), share.getDouble("plays-per-s"), share.getDouble("beyond")))
                    != null) {
                throw share.invalid("customer " + tenant + " is given twice");
            }
        }
        return List.copyOf(byTenant.values());
    }

    static GatewayIdentity gatewayIdentity(XmlElement root) throws InvalidSettingsException {
        if (root.getInt("me") >= root.getInt("gateways")) {
            throw root.invalid("gateway number me=" + root.getInt("me") + " must be less than gateways="
                    + root.getInt("gateways") + ", as numbers begin at 0");
        }
        return new GatewayIdentity(
                root.getLong("seed"), root.getInt("me"), root.getInt("gateways"), new PlaceId(root.getString("place")));
    }
}
