package walnutfield.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.desk.InsertActions;
import walnutfield.loop.DeskThread;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher.SkipReason;

/**
 * Carries out what the desk decides on inserts, on its thread: each insert of a viewing is a play of its own, and its
 * pieces go into the viewing's playlist. Decides nothing.
 */
final class Inserts implements InsertActions {
    private static final Logger LOG = LoggerFactory.getLogger("insert");
    private static final double LOOK_MS = 100;
    private static final double MINUTE_MS = 60_000;

    /** What inserts ask of the plays. */
    interface Host {
        /** A wish for an insert; the play's number is the gateway's to choose. */
        void want(HlsViewing insert);

        /** The viewing's first insert is settled: its viewer may be answered. */
        void settled(HlsViewing main);

        /** The programme's host is told that nobody fetches from it for so long. */
        void pause(HlsViewing main, double ms);

        /** An insert's play is of no use any more. */
        void let(HlsViewing insert);
    }

    /** What is known of the inserts of one viewing. */
    static final class Stitched {
        private final List<Insert> inserts;
        private final Map<Integer, HlsViewing> parts = new HashMap<>(); // inserts under way
        private final Set<Integer> open = new HashSet<>(); // that have no last report yet
        private final Set<Integer> before = new HashSet<>(); // of these, before the programme and not placed
        boolean waits;

        private Stitched(List<Insert> inserts) {
            this.inserts = inserts;
            for (int n = 0; n < inserts.size(); n++) {
                open.add(n);
                if (inserts.get(n).place() == Insert.Place.BEFORE) {
                    before.add(n);
                }
            }
        }
    }

    private final DeskThread thread;
    private final Host host;
    private final Figures figures;
    private final Consumer<Call> desk;
    private final Map<PlayId, HlsViewing> viewings =
            new HashMap<>(); // by first play; emptied as their last insert is reported
    private HlsViewing planning;
    private boolean back;

    Inserts(DeskThread thread, Host host, Figures figures, Consumer<Call> desk) {
        this.thread = thread;
        this.host = host;
        this.figures = figures;
        this.desk = desk;
    }

    void begin() {
        thread.at(thread.now() + MINUTE_MS, this::minute);
    }

    private void minute() {
        desk.accept(new Call.MinuteElapsed());
        begin();
    }

    void schedule(Schedule next) {
        desk.accept(new Call.ScheduleUpdated(next));
        LOG.atInfo().addKeyValue("inserts", next.inserts().size()).log("schedule taken");
    }

    /** Plans a viewing whose programme is served. */
    void plan(HlsViewing v, double lengthMs) {
        v.stitched = new Stitched(List.of());
        planning = v;
        desk.accept(new Call.ViewingStarted(
                v.first,
                v.asked.viewer(),
                v.asked.customer(),
                v.asked.band(),
                v.takenAt + v.asked.band().latencyTargetMs(),
                lengthMs));
        planning = null;
    }

    @Override
    public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
        HlsViewing v = planning;
        viewings.put(viewing, v);
        v.stitched = new Stitched(inserts);
        for (int n = 0; n < inserts.size(); n++) {
            Insert i = inserts.get(n);
            v.playlist.place(n, i.id().value(), i.atMs(), i.replacedMs(), i.targetDurationS());
        }
    }

    /** The programme has its source: inserts are due as their places come near. */
    void follow(HlsViewing v) {
        v.stitched.waits = !v.stitched.before.isEmpty();
        for (int n = 0; n < v.stitched.inserts.size(); n++) {
            if (v.stitched.before.contains(n)) {
                due(v, n);
                int late = n;
                thread.at(v.takenAt + v.asked.band().latencyTargetMs(), () -> late(v, late));
            } else {
                look(v, n);
            }
        }
    }

    /** A place is due one expected time before listing comes to it. */
    private void look(HlsViewing v, int n) {
        if (!v.stitched.open.contains(n) || v.phase == Viewing.Phase.OVER) {
            return;
        }
        double at = v.playlist.reaches(n) - v.asked.band().latencyTargetMs();
        if (thread.now() >= at) {
            due(v, n);
        } else {
            thread.at(Math.max(at, thread.now() + LOOK_MS), () -> look(v, n));
        }
    }

    private void due(HlsViewing v, int n) {
        if (v.phase != Viewing.Phase.OVER) {
            desk.accept(new Call.InsertDue(v.first, n, v.asked.band()));
        }
    }

    @Override
    public void requestInsert(PlayId viewing, int n, TrafficClass band) {
        HlsViewing v = viewings.get(viewing);
        if (v != null) {
            thread.post(() -> want(v, n, band)); // after the desk's present call
        }
    }

    private void want(HlsViewing v, int n, TrafficClass band) {
        if (v.phase == Viewing.Phase.OVER || !v.stitched.open.contains(n)) {
            return;
        }
        Insert i = v.stitched.inserts.get(n);
        HlsViewing part = new HlsViewing(
                v,
                i,
                n,
                new Viewing.Asked(
                        v.asked.viewer(),
                        i.title(),
                        band,
                        v.asked.customer(),
                        Math.min(v.asked.bestRung(), i.maxRung())),
                thread.now());
        v.stitched.parts.put(n, part);
        host.want(part);
    }

    @Override
    public void retryInsert(PlayId viewing, int n, double at) {
        HlsViewing v = viewings.get(viewing);
        if (v != null) {
            thread.at(at, () -> due(v, n));
        }
    }

    /** A viewer who waits is answered by the expected time, come what may. */
    private void late(HlsViewing v, int n) {
        if (v.stitched.before.contains(n)) {
            HlsViewing part = v.stitched.parts.get(n);
            desk.accept(new Call.InsertLate(v.first, n));
            if (part != null && !v.stitched.open.contains(n)) {
                host.let(part);
            }
        }
    }

    /** Its leg was served; false where its playlist cannot be stitched in. */
    boolean placed(HlsViewing part, HostClient.Reply reply) {
        HlsViewing v = part.main;
        if (!v.stitched.open.contains(part.slot) || v.phase == Viewing.Phase.OVER) {
            return false;
        }
        if (!fill(part, reply)) {
            notTaken(part, SkipReason.MALFORMED);
            return false;
        }
        desk.accept(new Call.InsertPlaced(v.first, part.slot));
        host.pause(v, part.insert.durationMs());
        settle(v, part.slot);
        return true;
    }

    /** Its host serves it, or serves it at another rung from the next segment on; false where that cannot be stitched in. */
    boolean fill(HlsViewing part, HostClient.Reply reply) {
        return part.main.playlist.fill(
                part.slot, reply.playlist(), HostClient.base(part.address), part.servedRung, part.session);
    }

    /** No host took it. */
    void notTaken(HlsViewing part, SkipReason why) {
        part.main.stitched.parts.remove(part.slot, part);
        desk.accept(new Call.InsertRejected(part.main.first, part.slot, why));
    }

    /** Its host was lost while it played. */
    void broke(HlsViewing part) {
        HlsViewing v = part.main;
        begun(v);
        v.stitched.parts.remove(part.slot, part);
        double left = v.playlist.unlistedOf(part.slot);
        if (left > 0) {
            v.playlist.unfill(part.slot);
        }
        desk.accept(new Call.InsertLost(v.first, part.slot, left));
    }

    /** Its host says that the viewer has had all of it, or fetches no more. */
    void ended(HlsViewing part, boolean whole) {
        begun(part.main);
        part.main.stitched.parts.remove(part.slot, part);
        desk.accept(new Call.InsertEnded(part.main.first, part.slot, whole));
    }

    /** Tells of inserts whose first segment was listed since. */
    void begun(HlsViewing v) {
        for (int n = v.playlist.newlyBegun(); n >= 0; n = v.playlist.newlyBegun()) {
            desk.accept(new Call.InsertStarted(v.first, n, v.asked.viewer()));
        }
    }

    /** The viewing is over: inserts end with it, but for those that are listed whole and still fetched. */
    void over(HlsViewing v) {
        if (v.stitched == null || v.stitched.inserts.isEmpty()) {
            return;
        }
        begun(v);
        boolean whole = v.playlist.isWhole();
        tellAndLet(v, new Call.ViewingEnded(v.first, whole ? Set.copyOf(v.stitched.parts.keySet()) : Set.of()));
    }

    /** The length of a programme that grew is known by now. */
    void programmeEnded(HlsViewing v) {
        if (v.stitched != null && !v.stitched.inserts.isEmpty()) {
            begun(v);
            tellAndLet(v, new Call.ProgrammeEnded(v.first, v.playlist.lengthMs()));
        }
    }

    /** Tells it to the desk; the plays of inserts that are dropped by it are let go. */
    private void tellAndLet(HlsViewing v, Call call) {
        Map<Integer, HlsViewing> parts = new HashMap<>(v.stitched.parts);
        desk.accept(call);
        parts.forEach((n, part) -> {
            if (!v.stitched.open.contains(n)) {
                host.let(part);
            }
        });
    }

    /** Whether a play whose host was lost comes back. */
    boolean comesBack(Viewing v, double unlistedMs) {
        back = false;
        desk.accept(
                new Call.PlayInterrupted(v.play, v.asked.band(), v.comebacks, thread.now() - v.startedAt, unlistedMs));
        return back;
    }

    @Override
    public void playRecovery(PlayId play, boolean decided) {
        back = decided;
    }

    /** Once none before the programme is open, its viewer is answered. */
    private void settle(HlsViewing v, int n) {
        v.stitched.before.remove(n);
        if (v.stitched.waits && v.stitched.before.isEmpty()) {
            v.stitched.waits = false;
            host.settled(v);
        }
    }

    @Override
    public void insertReported(PlayId viewing, int n, InsertId insert, String what) {
        figures.insert(what, insert.value());
        HlsViewing v = viewings.get(viewing);
        LOG.atInfo()
                .addKeyValue("insert", insert.value())
                .addKeyValue("what", what)
                .addKeyValue("viewing", viewing.value())
                .log("insert");
        if (v == null || what.equals("started")) {
            return;
        }
        v.stitched.open.remove(n);
        if (!what.equals("completed")) {
            v.playlist.close(n);
        }
        settle(v, n);
        if (v.stitched.open.isEmpty()) {
            viewings.remove(viewing);
        }
    }
}
