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
import walnutfield.gateway.Terms;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.PlaceId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.record.Making;
import walnutfield.record.Recorder;
import walnutfield.standin.HostPlan;
import walnutfield.standin.HostTerms;
import walnutfield.standin.Weather;
import walnutfield.standin.audit.Rules;
import walnutfield.standin.day.Crowd;
import walnutfield.standin.day.Day;
import walnutfield.standin.day.Fault;
import walnutfield.standin.day.Rig;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;

/** A day's script: what the stand-ins take of it, and how the gateways are set up for it. */
final class RehearsalScript {
    private static final String PLACE = "here";
    private static final long RECORD_BYTES = 1L << 30;
    private static final double RECORD_MS = 3_600_000;
    private final XmlElement root;
    private final Day day;
    private final Ladder ladder;
    private final Map<String, TrafficClass> bands;
    private final LinkSettings links;
    private final Catalogue catalogue;
    private final Schedule schedule;

    /** What the command line puts in place of the script's own; null for nothing. */
    record Instead(Long seed, Integer gateways, Integer hosts) {}

    RehearsalScript(XmlElement root, Instead instead) throws InvalidSettingsException {
        this.root = root;
        ladder = Settings.ladder(root);
        bands = Settings.bands(root, ladder.kb().size());
        long seed = instead.seed() != null ? instead.seed() : root.longWhole("seed");
        int gateways = instead.gateways() != null ? instead.gateways() : root.whole("gateways");
        XmlElement fleet = root.one("fleet");
        int count = instead.hosts() != null ? instead.hosts() : fleet.whole("hosts");
        int racks = Math.min(count, fleet.whole("racks"));
        SplittableRandom random = new SplittableRandom(seed);
        List<HostPlan> hosts = new ArrayList<>();
        double[] rackKb = new double[racks];
        double linkKb = fleet.number("link-kb");
        for (int i = 0; i < count; i++) {
            double kb = linkKb * (1 + fleet.number("link-spread") * (2 * random.nextDouble() - 1));
            hosts.add(new HostPlan("host-" + (i + 1), PLACE, i, i % racks, kb, fleet.whole("slots"), 1));
            rackKb[i % racks] += linkKb * fleet.number("rack-part");
        }
        double meanRack = 0;
        List<Double> uplinks = new ArrayList<>();
        for (int r = 0; r < racks; r++) {
            meanRack += rackKb[r] / racks;
            uplinks.add(rackKb[r] * (1 + fleet.number("rack-spread") * (2 * random.nextDouble() - 1)));
        }
        boolean uplinked = fleet.number("rack-part") > 0;
        links = new LinkSettings(linkKb * count, 0, uplinked ? meanRack : 0, racks, count, false);
        XmlElement titles = root.one("titles");
        List<Crowd.TitlePlan> plans = new ArrayList<>();
        Map<TitleId, Catalogue.Title> known = new HashMap<>();
        double length = titles.whole("segments") * titles.number("segment-s") * 1000;
        for (int i = 0; i < titles.whole("count"); i++) {
            int holders = Math.min(count, titles.whole("holders"));
            int cell = random.nextInt(count);
            plans.add(new Crowd.TitlePlan(i + 1, cell, holders));
            known.put(new TitleId(i + 1), new Catalogue.Title(new TitleId(i + 1), cell, holders, length));
        }
        catalogue = new Catalogue(known, bands, ladder);
        XmlElement viewers = root.one("viewers");
        Map<String, Double> mix = new LinkedHashMap<>();
        root.one("bands").all("band").forEach(b -> mix.put(b.text("name"), b.number("weight")));
        Crowd crowd = new Crowd(
                viewers.number("per-s"),
                mix,
                titles.number("skew"),
                viewers.number("returns"),
                viewers.number("twice"),
                viewers.number("impatient"),
                viewers.number("weakest"),
                calls(root),
                plans);
        schedule = Settings.schedule(root);
        Map<Long, HostTerms.Piece> pieces = new HashMap<>();
        for (XmlElement i : root.has("inserts") ? root.one("inserts").all("insert") : List.<XmlElement>of()) {
            pieces.put(
                    i.longWhole("title"),
                    new HostTerms.Piece(
                            i.number("duration-ms") / 1000,
                            i.whole("target-s"),
                            i.whole("top-rung"),
                            i.flag("damaged")));
        }
        Map<String, TrafficClass> all = new LinkedHashMap<>(bands); // inserts are placed under bands of their own
        for (Insert i : schedule.inserts()) {
            bands.values().forEach(b -> all.put(Insert.INSERT_BAND + b.name(), i.bandWithin(b, 1)));
        }
        HostTerms terms = new HostTerms(
                ladder,
                all,
                Settings.cold(root),
                uplinked ? uplinks : List.of(),
                fleet.number("guard"),
                fleet.number("work-ms"),
                fleet.number("off-ladder"),
                fleet.number("refresh-ms"),
                fleet.number("noise"),
                fleet.number("late-ms"),
                fleet.number("tell-ms"),
                titles.number("segment-s"),
                titles.whole("segments"),
                titles.whole("growing"),
                viewers.number("idle-ms"),
                pieces);
        Rules rules = new Rules(
                all,
                Settings.legs(root),
                Settings.cold(root),
                root.one("drains").number("grace-ms"),
                root.number("slack-ms"));
        double lengthMs = root.number("seconds") * 1000;
        List<Fault> faults = new ArrayList<>();
        for (XmlElement f : root.one("faults").all("fault")) {
            Fault.Kind kind =
                    Fault.Kind.valueOf(f.text("kind").toUpperCase(Locale.ROOT).replace('-', '_'));
            Fault fault = new Fault(
                    kind,
                    f.number("at-s") * 1000,
                    f.number("for-s") * 1000,
                    f.whole("first"),
                    f.whole("count"),
                    f.number("amount"));
            if (fault.atMs() + fault.forMs() > lengthMs) {
                throw f.bad("the fault " + f.text("kind") + " ends after the day");
            }
            faults.add(fault);
        }
        day = new Day(seed, lengthMs, gateways, root.number("list-late-ms"), hosts, terms, crowd, rules, faults);
    }

    private static Crowd.Calls calls(XmlElement root) throws InvalidSettingsException {
        if (!root.has("calls")) {
            return Crowd.Calls.NONE;
        }
        XmlElement c = root.one("calls");
        if (!root.has("sip")) {
            throw c.bad("calls need a gateway's front for them: sip");
        }
        return new Crowd.Calls(
                c.number("part"),
                c.number("mean-s") * 1000,
                c.number("mute"),
                c.number("hammers"),
                root.one("sip").number("t1-ms"),
                new Weather.Sky(c.number("loss"), c.number("twice"), c.number("late-ms")));
    }

    Schedule schedule() {
        return schedule;
    }

    Day day() {
        return day;
    }

    /**
     * Gateways as they are.
     *
     * @param records where each life of a gateway leaves its record; null for none
     */
    Rig rig(Path records) {
        return rig(records, schedule, new SimpleMeterRegistry());
    }

    /** The same with another schedule, and figures kept in one registry. */
    Rig rig(Path records, Schedule inserts, MeterRegistry registry) {
        Terms.Front front = Settings.front(root);
        Terms.Hosts hosts = Settings.hosts(root);
        Terms.Sip sip = Settings.sip(root);
        int[] lives = new int[day.gateways()];
        return (name, me, service) -> {
            GatewayIdentity post = new GatewayIdentity(day.seed() * 1000 + me, me, day.gateways(), new PlaceId(PLACE));
            Making making = Settings.making(root, name, post, ladder, links, List.of());
            int life = ++lives[me];
            Recorder recorder = records == null
                    ? null
                    : new Recorder(
                            records.resolve(name + (life > 1 ? "-" + life : "") + ".record"),
                            making,
                            RECORD_BYTES,
                            RECORD_MS);
            GatewayServer g = new GatewayServer(
                    name,
                    front,
                    sip,
                    hosts,
                    new Terms.Lists(service, null, 500, null),
                    catalogue,
                    registry,
                    () -> "",
                    (out, beside) -> making.desk(out, beside, recorder));
            g.schedule(inserts);
            return new Gate(g, g.start(), recorder);
        };
    }

    /** A gateway that runs in a rehearsal. */
    private record Gate(GatewayServer server, int port, Recorder recorder) implements Rig.Running {
        @Override
        public void kill() throws java.io.IOException {
            server.close();
            ended();
        }

        private void ended() throws java.io.IOException {
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
        public void drain(double mostMs) throws java.io.IOException {
            server.drain(mostMs);
            ended();
        }
    }
}
