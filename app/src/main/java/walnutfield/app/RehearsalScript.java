package walnutfield.app;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import walnutfield.gateway.Catalogue;
import walnutfield.gateway.GatewayServer;
import walnutfield.gateway.GatewaySettings;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.PlaceId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.record.DeskSetup;
import walnutfield.record.Recorder;
import walnutfield.standin.HostPlan;
import walnutfield.standin.ImpairedNetwork;
import walnutfield.standin.MediaHostSettings;
import walnutfield.standin.audit.Rules;
import walnutfield.standin.day.DayPlan;
import walnutfield.standin.day.Fault;
import walnutfield.standin.day.GatewayLauncher;
import walnutfield.standin.day.ViewerPopulation;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;

/**
 * The script of a rehearsal, converted into the {@link DayPlan} that the stand-ins play and the settings of the gateways
 * that take part in it.
 */
final class RehearsalScript {
    private static final String PLACE = "here"; // all hosts and gateways of a rehearsal are at one place
    private static final long MAX_RECORD_BYTES = 1L << 30;
    private static final double MAX_RECORD_MS = 3_600_000;
    private final XmlElement root;
    private final DayPlan day;
    private final Ladder ladder;
    private final Map<String, TrafficClass> trafficClasses;
    private final LinkSettings links;
    private final Catalogue catalogue;
    private final Schedule schedule;

    /** Values of the command line that replace those of the script; null for those that do not. */
    record Overrides(Long seed, Integer gateways, Integer hosts) {}

    RehearsalScript(XmlElement root, Overrides overrides) throws InvalidSettingsException {
        this.root = root;
        ladder = Settings.ladder(root);
        trafficClasses = Settings.trafficClasses(root, ladder.ratesKb().size());
        long seed = overrides.seed() != null ? overrides.seed() : root.getLong("seed");
        int gateways = overrides.gateways() != null ? overrides.gateways() : root.getInt("gateways");
        XmlElement fleet = root.child("fleet");
        int hostCount = overrides.hosts() != null ? overrides.hosts() : fleet.getInt("hosts");
        int racks = Math.min(hostCount, fleet.getInt("racks"));
        SplittableRandom random = new SplittableRandom(seed);
        List<HostPlan> hostPlans = new ArrayList<>();
        double[] rackKb = new double[racks];
        double linkKb = fleet.getDouble("link-kb");
        for (int i = 0; i < hostCount; i++) {
            double hostLinkKb = linkKb * (1 + fleet.getDouble("link-spread") * (2 * random.nextDouble() - 1));
            hostPlans.add(new HostPlan("host-" + (i + 1), PLACE, i, i % racks, hostLinkKb, fleet.getInt("slots"), 1));
            rackKb[i % racks] += linkKb * fleet.getDouble("rack-part");
        }
        double meanRackKb = 0;
        List<Double> uplinkKb = new ArrayList<>();
        for (int r = 0; r < racks; r++) {
            meanRackKb += rackKb[r] / racks;
            uplinkKb.add(rackKb[r] * (1 + fleet.getDouble("rack-spread") * (2 * random.nextDouble() - 1)));
        }
        boolean hasUplinks = fleet.getDouble("rack-part") > 0;
        links = new LinkSettings(linkKb * hostCount, 0, hasUplinks ? meanRackKb : 0, racks, hostCount, false);
        XmlElement titles = root.child("titles");
        List<ViewerPopulation.TitlePlacement> titlePlans = new ArrayList<>();
        Map<TitleId, Catalogue.Title> titlesById = new HashMap<>();
        double titleLengthMs = titles.getInt("segments") * titles.getDouble("segment-s") * 1000;
        for (int i = 0; i < titles.getInt("count"); i++) {
            int holders = Math.min(hostCount, titles.getInt("holders"));
            int cell = random.nextInt(hostCount);
            titlePlans.add(new ViewerPopulation.TitlePlacement(i + 1, cell, holders));
            titlesById.put(new TitleId(i + 1), new Catalogue.Title(new TitleId(i + 1), cell, holders, titleLengthMs));
        }
        catalogue = new Catalogue(titlesById, trafficClasses, ladder);
        XmlElement viewers = root.child("viewers");
        Map<String, Double> classWeights = new LinkedHashMap<>();
        root.child("bands").children("band").forEach(b -> classWeights.put(b.getString("name"), b.getDouble("weight")));
        ViewerPopulation crowd = new ViewerPopulation(
                viewers.getDouble("per-s"),
                classWeights,
                titles.getDouble("skew"),
                viewers.getDouble("returns"),
                viewers.getDouble("twice"),
                viewers.getDouble("impatient"),
                viewers.getDouble("weakest"),
                calls(root),
                titlePlans);
        schedule = Settings.schedule(root);
        Map<Long, MediaHostSettings.SpecialTitle> insertTitles = new HashMap<>();
        for (XmlElement insert :
                root.hasChild("inserts") ? root.child("inserts").children("insert") : List.<XmlElement>of()) {
            insertTitles.put(
                    insert.getLong("title"),
                    new MediaHostSettings.SpecialTitle(
                            insert.getDouble("duration-ms") / 1000,
                            insert.getInt("target-s"),
                            insert.getInt("top-rung"),
                            insert.getBoolean("damaged")));
        }
        // Inserts are placed under traffic classes of their own.
        Map<String, TrafficClass> withInsertClasses = new LinkedHashMap<>(trafficClasses);
        for (Insert insert : schedule.inserts()) {
            trafficClasses
                    .values()
                    .forEach(c ->
                            withInsertClasses.put(Insert.INSERT_CLASS_PREFIX + c.name(), insert.trafficClassFor(c, 1)));
        }
        MediaHostSettings hostTerms = new MediaHostSettings(
                ladder,
                withInsertClasses,
                Settings.slowStart(root),
                hasUplinks ? uplinkKb : List.of(),
                fleet.getDouble("guard"),
                fleet.getDouble("work-ms"),
                fleet.getDouble("off-ladder"),
                fleet.getDouble("refresh-ms"),
                fleet.getDouble("noise"),
                fleet.getDouble("late-ms"),
                fleet.getDouble("tell-ms"),
                titles.getDouble("segment-s"),
                titles.getInt("segments"),
                titles.getInt("growing"),
                viewers.getDouble("idle-ms"),
                insertTitles);
        Rules rules = new Rules(
                withInsertClasses,
                Settings.retryPolicy(root),
                Settings.slowStart(root),
                root.child("drains").getDouble("grace-ms"),
                root.getDouble("slack-ms"));
        double lengthMs = root.getDouble("seconds") * 1000;
        List<Fault> faults = new ArrayList<>();
        for (XmlElement element : root.child("faults").children("fault")) {
            Fault.Kind kind = Fault.Kind.valueOf(
                    element.getString("kind").toUpperCase(Locale.ROOT).replace('-', '_'));
            Fault fault = new Fault(
                    kind,
                    element.getDouble("at-s") * 1000,
                    element.getDouble("for-s") * 1000,
                    element.getInt("first"),
                    element.getInt("count"),
                    element.getDouble("amount"));
            if (fault.startMs() + fault.durationMs() > lengthMs) {
                throw element.invalid("the fault " + element.getString("kind") + " ends after the day");
            }
            faults.add(fault);
        }
        day = new DayPlan(
                seed, lengthMs, gateways, root.getDouble("list-late-ms"), hostPlans, hostTerms, crowd, rules, faults);
    }

    private static ViewerPopulation.CallerPopulation calls(XmlElement root) throws InvalidSettingsException {
        if (!root.hasChild("calls")) {
            return ViewerPopulation.CallerPopulation.NONE;
        }
        XmlElement calls = root.child("calls");
        if (!root.hasChild("sip")) {
            throw calls.invalid("<calls> requires a <sip> element, which gives the gateways a SIP front");
        }
        return new ViewerPopulation.CallerPopulation(
                calls.getDouble("part"),
                calls.getDouble("mean-s") * 1000,
                calls.getDouble("mute"),
                calls.getDouble("hammers"),
                root.child("sip").getDouble("t1-ms"),
                new ImpairedNetwork.Impairments(
                        calls.getDouble("loss"), calls.getDouble("twice"), calls.getDouble("late-ms")));
    }

    Schedule schedule() {
        return schedule;
    }

    DayPlan day() {
        return day;
    }

    /**
     * A rig that starts the gateways with the inserts of the script.
     *
     * @param recordDir directory in which each start of a gateway begins a record of its own; null for none
     */
    GatewayLauncher rig(Path recordDir) {
        return rig(recordDir, schedule, new SimpleMeterRegistry());
    }

    /**
     * A rig that starts the gateways with other inserts than those of the script.
     *
     * @param recordDir directory for the records of the gateways; null for none
     * @param inserts   replaces the schedule of the script
     * @param registry  collects the metrics of all gateways
     */
    GatewayLauncher rig(Path recordDir, Schedule inserts, MeterRegistry registry) {
        GatewaySettings.Front front = Settings.front(root);
        GatewaySettings.Hosts hostClient = Settings.hostClient(root);
        GatewaySettings.Sip sip = Settings.sip(root);
        int[] startCounts = new int[day.gateways()];
        return (name, index, listService) -> {
            GatewayIdentity identity =
                    new GatewayIdentity(day.seed() * 1000 + index, index, day.gateways(), new PlaceId(PLACE));
            DeskSetup deskSettings = Settings.deskSettings(root, name, identity, ladder, links, List.of());
            int startNumber = ++startCounts[index];
            Recorder recorder = recordDir == null
                    ? null
                    : new Recorder(
                            recordDir.resolve(name + (startNumber > 1 ? "-" + startNumber : "") + ".record"),
                            deskSettings,
                            MAX_RECORD_BYTES,
                            MAX_RECORD_MS);
            GatewayServer gateway = new GatewayServer(
                    name,
                    front,
                    sip,
                    hostClient,
                    new GatewaySettings.Lists(listService, null, 500, null),
                    catalogue,
                    registry,
                    () -> "",
                    (actions, insertActions) -> deskSettings.createDesk(actions, insertActions, recorder));
            gateway.updateInsertSchedule(inserts);
            return new RunningGateway(gateway, gateway.start(), recorder);
        };
    }

    /** A running gateway of a rehearsal; its record, where it keeps one, is closed with it. */
    private record RunningGateway(GatewayServer server, int port, Recorder recorder)
            implements GatewayLauncher.RunningGateway {
        @Override
        public void kill() throws java.io.IOException {
            server.close();
            closeRecorder();
        }

        private void closeRecorder() throws java.io.IOException {
            if (recorder != null) {
                recorder.close();
            }
        }

        @Override
        public int sipPort() {
            return server.sipPort();
        }

        @Override
        public void stall(double ms) {
            server.stall(ms);
        }

        @Override
        public void drain(double maxMs) throws java.io.IOException {
            server.drain(maxMs);
            closeRecorder();
        }
    }
}
