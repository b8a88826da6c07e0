package walnutfield.stitch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walnutfield.play.TenantId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/**
 * Decides for one gateway which inserts a viewing gets, when each is asked for, and what is done where no host takes it
 * or one is lost with it. On which host and rung a piece is taken is the module's to decide: each ask is a wish like
 * any other. Called with the time of each thing; it holds no clock, thread or I/O.
 */
public final class Stitcher {
    private static final double CREDIT_PART = 0.3; // of its play's credit: an insert gives way to plays
    private static final double START_SHARE =
            0.7; // a play's start waits for an insert before it this part of its expected time
    private static final double LEAD_SHARE = 1.0; // one within is asked for so many expected times ahead
    private static final double AGAIN_MS = 300; // one that must play is asked for again after this
    private static final int ASKS_MOST = 4; // and so often at most: each costs the module a wish
    private static final int RESUMES_MOST = 1; // one whose host is lost is taken up elsewhere so often
    private static final double HOUR_MS = 3_600_000;
    private static final int VIEWERS_MOST = 50_000; // viewers remembered; the one longest unseen goes first

    /** Why an insert was not shown whole. */
    public enum SkipReason {
        UNDER_FLOOR,
        SHOWN_BEFORE,
        PAST_THE_END,
        NO_HOST,
        LATE,
        MALFORMED,
        HOST_LOST,
        VIEWER_LEFT,
        WITHDRAWN
    }

    /** What an insert came to, each at most once for each slot: started, and then completed or dropped. */
    public interface Reports {
        void started(Slot slot);

        void completed(Slot slot);

        void dropped(Slot slot, SkipReason why);
    }

    /** When an insert was shown to a viewer. */
    private record Shown(InsertId insert, double at) {}

    private final Reports reports;
    private final Map<ViewerId, List<Shown>> shown = new LinkedHashMap<>(64, 0.75f, true) { // emptied as an hour passes
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<ViewerId, List<Shown>> eldest) {
                    return size() > VIEWERS_MOST;
                }
            };
    private Schedule schedule = Schedule.NONE;

    public Stitcher(Reports reports) {
        this.reports = reports;
    }

    /** From now on this is the schedule; what was planned before stays as it was. */
    public void schedule(Schedule next) {
        schedule = next;
    }

    /** Whether an insert is still in the schedule as it was planned; one that is not yet asked for is dropped else. */
    private boolean stands(Insert i) {
        return schedule.inserts().contains(i);
    }

    /**
     * The inserts of a viewing that begins, in the order of their places.
     *
     * @param startBy  the viewer wants to see something by then
     * @param lengthMs of the programme
     */
    public List<Slot> plan(
            double now, ViewerId viewer, TenantId customer, TrafficClass band, double startBy, double lengthMs) {
        List<Slot> out = new ArrayList<>();
        for (Insert i : schedule.inserts()) {
            if (!i.isFor(band, customer, now)) {
                continue;
            }
            Slot s = new Slot(i);
            s.deadline = i.place() == Insert.Place.BEFORE
                    ? now + START_SHARE * Math.max(0, startBy - now)
                    : Double.POSITIVE_INFINITY;
            if (i.maxRung() < band.minRung()) { // guards the band's floor; it harms nothing but the insert
                drop(s, SkipReason.UNDER_FLOOR);
            } else if (i.atMs() > lengthMs) {
                drop(s, SkipReason.PAST_THE_END);
            } else if (i.maxPerHour() > 0 && times(viewer, i.id(), now) >= i.maxPerHour()) {
                drop(s, SkipReason.SHOWN_BEFORE);
            } else {
                out.add(s);
            }
        }
        out.sort((a, b) -> Double.compare(a.insert.atMs(), b.insert.atMs()));
        for (int n = 0; n < out.size(); n++) {
            out.get(n).number = n;
        }
        return out;
    }

    private int times(ViewerId viewer, InsertId insert, double now) {
        List<Shown> all = shown.get(viewer);
        if (all == null) {
            return 0;
        }
        all.removeIf(s -> s.at() <= now - HOUR_MS);
        if (all.isEmpty()) {
            shown.remove(viewer);
        }
        return (int) all.stream().filter(s -> s.insert().equals(insert)).count();
    }

    /** How long before its place is reached an insert is asked for. */
    public double leadMs(TrafficClass band) {
        return LEAD_SHARE * band.latencyTargetMs();
    }

    /**
     * It is time to ask for it: the band under which, or null where it is not to be asked for any more.
     */
    public TrafficClass ask(double now, Slot s, TrafficClass play) {
        if (s.isOver() || s.state == Slot.State.PLACED || s.state == Slot.State.STARTED) {
            return null;
        }
        if (s.asks == 0 && !stands(s.insert)) {
            drop(s, SkipReason.WITHDRAWN);
            return null;
        }
        if (now >= s.deadline) {
            drop(s, SkipReason.LATE);
            return null;
        }
        s.state = Slot.State.ASKED;
        s.asks++;
        return s.insert.bandWithin(play, CREDIT_PART);
    }

    /**
     * No host took it. Returns when to ask again, or NaN where it is dropped: one that may be dropped is, at once, so
     * that the programme goes on; one that must play is waited for as long as its place allows.
     */
    public double notTaken(double now, Slot s, SkipReason why) {
        if (s.isOver()) {
            return Double.NaN;
        }
        if (s.insert.mandatory() && why != SkipReason.MALFORMED && s.asks < ASKS_MOST && now + AGAIN_MS < s.deadline) {
            s.state = Slot.State.PLANNED;
            return now + AGAIN_MS;
        }
        drop(s, why);
        return Double.NaN;
    }

    /** A host serves it. */
    public void placed(Slot s) {
        if (!s.isOver()) {
            s.state = s.begun ? Slot.State.STARTED : Slot.State.PLACED;
        }
    }

    /** Its first segment was listed. */
    public void started(double now, Slot s, ViewerId viewer) {
        if (s.state == Slot.State.PLACED) {
            s.state = Slot.State.STARTED;
            s.begun = true;
            shown.computeIfAbsent(viewer, k -> new ArrayList<>()).add(new Shown(s.insert.id(), now));
            reports.started(s);
        }
    }

    /** The viewer has had all of it. */
    public void completed(Slot s) {
        if (s.state == Slot.State.STARTED) {
            s.state = Slot.State.COMPLETED;
            reports.completed(s);
        }
    }

    /**
     * Its host was lost. True where the rest is to be asked for elsewhere; else it is cut short and dropped. Guards
     * against a programme that stands still for an insert; it harms where another holder would have come a little later.
     *
     * @param leftMs what of it is not yet listed
     */
    public boolean resumes(double now, Slot s, double leftMs) {
        if (s.isOver()) {
            return false;
        }
        if (leftMs > 0 && s.resumes < RESUMES_MOST && now < s.deadline) {
            s.resumes++;
            s.state = Slot.State.PLANNED;
            return true;
        }
        drop(s, SkipReason.HOST_LOST);
        return false;
    }

    /** Its viewer must be answered now: one that is not placed yet is dropped. */
    public void late(Slot s) {
        if (s.state == Slot.State.PLANNED || s.state == Slot.State.ASKED) {
            drop(s, SkipReason.LATE);
        }
    }

    /** Its programme, which grew, is only so long: one whose place lies beyond that is dropped, placed or not. */
    public void programmeEnds(Slot s, double lengthMs) {
        if (!s.begun && s.insert.atMs() > lengthMs) {
            drop(s, SkipReason.PAST_THE_END);
        }
    }

    /**
     * Its viewing is over: it is dropped unless its viewer still fetches what was listed whole.
     *
     * @param fetched its host has not said that the viewer is through
     */
    public void over(Slot s, boolean fetched) {
        if (!(fetched && s.state == Slot.State.STARTED)) {
            drop(s, SkipReason.VIEWER_LEFT);
        }
    }

    /** It is not to be shown, or not whole. */
    public void drop(Slot s, SkipReason why) {
        if (!s.isOver()) {
            s.state = Slot.State.DROPPED;
            reports.dropped(s, why);
        }
    }

    /** Forgets viewers to whom nothing was shown for an hour. */
    public void tidy(double now) {
        for (Iterator<List<Shown>> all = shown.values().iterator(); all.hasNext(); ) {
            List<Shown> l = all.next();
            l.removeIf(s -> s.at() <= now - HOUR_MS);
            if (l.isEmpty()) {
                all.remove();
            }
        }
    }

    /** Viewers remembered. */
    int remembered() {
        return shown.size();
    }
}
