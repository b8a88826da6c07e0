package walnutfield.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.play.Band;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Slot;
import walnutfield.stitch.Stitcher;
import walnutfield.stitch.Stitcher.Why;

/**
 * Carries out what is decided on inserts, on the desk's thread: each insert of a viewing is a play of its own at the
 * desk, and its pieces go into the viewing's playlist. Decides nothing.
 */
final class Inserts implements Stitcher.Reports {
    private static final Logger LOG = LoggerFactory.getLogger("insert");
    private static final double LOOK_MS = 100;
    private static final double TIDY_MS = 60_000;

    /** Makes an insert's play, and lets go of what the viewing was held for. */
    interface Host {
        /** A wish for an insert; the play's number in the desk's words is the gateway's to choose. */
        void want(Viewing insert);

        /** The viewing's first insert is settled: its viewer may be answered. */
        void settled(Viewing main);

        /** The programme's host is told that nobody fetches from it for so long. */
        void pause(Viewing main, double ms);

        /** An insert's play is of no use any more. */
        void let(Viewing insert);
    }

    /** What is known of the inserts of one viewing. */
    static final class Stitched {
        final List<Slot> slots;
        final Map<Integer, Viewing> parts = new HashMap<>(); // one for each insert under way
        boolean waits;

        Stitched(List<Slot> slots) {
            this.slots = slots;
        }
    }

    private final DeskThread thread;
    private final Host host;
    private final Figures figures;
    private final Stitcher stitcher = new Stitcher(this);
    private final Map<Slot, Viewing> of = new HashMap<>(); // whose slot it is; emptied as slots end and viewings do

    Inserts(DeskThread thread, Host host, Figures figures) {
        this.thread = thread;
        this.host = host;
        this.figures = figures;
    }

    void begin() {
        thread.at(thread.now() + TIDY_MS, this::tidy);
    }

    private void tidy() {
        stitcher.tidy(thread.now());
        thread.at(thread.now() + TIDY_MS, this::tidy);
    }

    void schedule(Schedule next) {
        stitcher.schedule(next);
        LOG.atInfo().addKeyValue("inserts", next.inserts().size()).log("schedule taken");
    }

    /** Plans a viewing whose programme is served; true where its viewer waits for an insert before it. */
    boolean plan(Viewing v, double lengthMs) {
        List<Slot> slots = stitcher.plan(thread.now(), v.asked.viewer(), v.asked.customer(), v.asked.band(),
            v.takenAt + v.asked.band().expectedMs(), lengthMs);
        v.stitched = new Stitched(slots);
        for (Slot s : slots) {
            Insert i = s.insert();
            v.playlist.place(s.number(), i.id().value(), i.atMs(), i.insteadMs(), i.targetS());
            of.put(s, v);
        }
        return !slots.isEmpty() && slots.get(0).insert().place() == Insert.Place.BEFORE;
    }

    /** The programme has its source: inserts are asked for as their places come near. */
    void follow(Viewing v) {
        for (Slot s : v.stitched.slots) {
            if (s.insert().place() == Insert.Place.BEFORE) {
                v.stitched.waits = true;
                ask(v, s);
            } else {
                look(v, s);
            }
        }
    }

    private void look(Viewing v, Slot s) {
        if (s.isOver() || v.phase == Viewing.Phase.OVER) {
            return;
        }
        double due = v.playlist.reaches(s.number()) - stitcher.leadMs(v.asked.band());
        if (thread.now() >= due) {
            ask(v, s);
        } else {
            thread.at(Math.max(due, thread.now() + LOOK_MS), () -> look(v, s));
        }
    }

    private void ask(Viewing v, Slot s) {
        if (v.phase == Viewing.Phase.OVER) {
            return;
        }
        Band band = stitcher.ask(thread.now(), s, v.asked.band());
        if (band == null) {
            return;
        }
        Insert i = s.insert();
        Viewing part = new Viewing(new Viewing.Asked(v.asked.viewer(), i.title(), band, v.asked.customer(),
            Math.min(v.asked.bestRung(), i.topRung())), v.id, thread.now(), 0);
        part.main = v;
        part.slot = s;
        v.stitched.parts.put(s.number(), part);
        host.want(part);
        if (v.stitched.waits && s.insert().place() == Insert.Place.BEFORE) {
            double most = v.takenAt + v.asked.band().expectedMs();
            thread.at(Math.max(thread.now(), most), () -> late(v, s));
        }
    }

    /** A viewer who waits is answered by the expected time, come what may. */
    private void late(Viewing v, Slot s) {
        if (s.state() == Slot.State.ASKED || s.state() == Slot.State.PLANNED) {
            letGo(v, s);
            stitcher.drop(s, Why.LATE);
        }
    }

    /** Its leg was served; false where its playlist cannot be stitched in. */
    boolean placed(Viewing part, HostClient.Reply reply) {
        Viewing v = part.main;
        if (part.slot.isOver() || v.phase == Viewing.Phase.OVER) {
            return false;
        }
        if (!v.playlist.fill(part.slot.number(), reply.playlist(), HostClient.base(part.address), part.servedRung,
            part.session)) {
            notTaken(part, Why.MALFORMED);
            return false;
        }
        stitcher.placed(part.slot);
        host.pause(v, part.slot.insert().durationMs());
        settle(v);
        return true;
    }

    /** Its host serves it at another rung from the next segment on; false where that cannot be stitched in. */
    boolean rung(Viewing part, HostClient.Reply reply) {
        return part.main.playlist.fill(part.slot.number(), reply.playlist(), HostClient.base(part.address), part.servedRung,
            part.session);
    }

    /** No host took it. */
    void notTaken(Viewing part, Why why) {
        Viewing v = part.main;
        v.stitched.parts.remove(part.slot.number(), part);
        double again = stitcher.notTaken(thread.now(), part.slot, why);
        if (!Double.isNaN(again)) {
            thread.at(again, () -> ask(v, part.slot));
        }
    }

    /** Its host was lost while it played. */
    void broke(Viewing part) {
        Viewing v = part.main;
        int n = part.slot.number();
        v.stitched.parts.remove(n, part);
        double left = v.playlist.unlistedOf(n);
        if (left <= 0) { // all of it was listed: its viewer has it or not
            stitcher.drop(part.slot, Why.HOST_LOST);
            return;
        }
        v.playlist.unfill(n);
        if (stitcher.resumes(thread.now(), part.slot, left)) {
            ask(v, part.slot);
        }
    }

    /** Its host says that the viewer has had all of it, or fetches no more. */
    void ended(Viewing part, boolean whole) {
        part.main.stitched.parts.remove(part.slot.number(), part);
        begun(part.main);
        if (whole) {
            stitcher.completed(part.slot);
        } else {
            stitcher.drop(part.slot, Why.VIEWER_LEFT);
        }
        forget(part.main);
    }

    /** Tells of inserts whose first segment was listed since. */
    void begun(Viewing v) {
        int n = v.playlist.newlyBegun();
        if (n >= 0) {
            v.stitched.slots.stream().filter(s -> s.number() == n)
                .forEach(s -> stitcher.started(thread.now(), s, v.asked.viewer()));
        }
    }

    /** The viewing is over: what has not been shown is dropped, what the viewer still fetches ends with its host's word. */
    void over(Viewing v) {
        if (v.stitched == null) {
            return;
        }
        begun(v);
        for (Slot s : v.stitched.slots) {
            boolean fetched = s.state() == Slot.State.STARTED && v.stitched.parts.containsKey(s.number());
            if (!s.isOver() && !(fetched && v.playlist.isWhole())) {
                letGo(v, s);
                stitcher.drop(s, Why.VIEWER_LEFT);
            }
        }
        forget(v);
    }

    private void letGo(Viewing v, Slot s) {
        Viewing part = v.stitched.parts.remove(s.number());
        if (part != null) {
            host.let(part);
        }
    }

    private void forget(Viewing v) {
        if (v.phase == Viewing.Phase.OVER) {
            v.stitched.slots.stream().filter(Slot::isOver).forEach(of::remove);
        }
    }

    /** Once none before the programme is open, its viewer is answered. */
    private void settle(Viewing v) {
        boolean open = v.stitched.slots.stream().anyMatch(s -> s.insert().place() == Insert.Place.BEFORE
            && (s.state() == Slot.State.PLANNED || s.state() == Slot.State.ASKED));
        if (v.stitched.waits && !open) {
            v.stitched.waits = false;
            host.settled(v);
        }
    }

    @Override
    public void started(Slot slot) {
        report(slot, "started");
    }

    @Override
    public void completed(Slot slot) {
        report(slot, "completed");
    }

    @Override
    public void dropped(Slot slot, Why why) {
        report(slot, "dropped-" + why.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        Viewing v = of.get(slot);
        if (v != null) {
            v.playlist.close(slot.number());
            settle(v);
        }
    }

    private void report(Slot slot, String what) {
        Viewing v = of.get(slot);
        figures.insert(what, slot.insert().id().value());
        LOG.atInfo().addKeyValue("insert", slot.insert().id().value()).addKeyValue("what", what)
            .addKeyValue("viewing", v == null ? "-" : v.id).log("insert");
    }

    /** Slots that are still known. */
    int known() {
        return of.size();
    }
}
