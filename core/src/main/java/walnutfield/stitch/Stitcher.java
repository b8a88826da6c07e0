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
 * Decides for one gateway which inserts a viewing gets, when each is requested, and what is done where no host accepts
 * an insert or its host is lost. The Director decides which host serves an insert and at which rung: a request for an
 * insert is a play request like any other. Each method gets the time of its event; the class has no clock, thread or
 * I/O.
 */
public final class Stitcher {
    private static final double INSERT_WEIGHT_RATIO = 0.3; // relative to the weight of its play: plays take precedence
    private static final double MAX_START_WAIT_RATIO = 0.7; // share of the time to the start deadline for an insert
    private static final double REQUEST_LEAD_RATIO = 1.0; // lead time of a request as a multiple of the latency target
    private static final double RETRY_DELAY_MS = 300; // delay until a mandatory insert is requested again
    private static final int MAX_REQUESTS = 4; // per mandatory insert; each costs the Director a play request
    private static final int MAX_HOST_LOSS_RETRIES = 1; // per insert, to get its rest from another host
    private static final double HOUR_MS = 3_600_000;
    private static final int MAX_REMEMBERED_VIEWERS = 50_000; // the viewer unseen for the longest time is evicted first

    /** Why an insert was not shown in full. */
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

    /** Receives the reports on slots, each at most once per slot: started, and then completed or dropped. */
    public interface SlotListener {
        void started(Slot slot);

        void completed(Slot slot);

        void dropped(Slot slot, SkipReason reason);
    }

    /** One showing of an insert to a viewer. */
    private record Impression(InsertId insert, double time) {}

    private final SlotListener listener;
    private final Map<ViewerId, List<Impression>> impressions =
            new LinkedHashMap<>(64, 0.75f, true) { // of the last hour
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<ViewerId, List<Impression>> eldest) {
                    return size() > MAX_REMEMBERED_VIEWERS;
                }
            };
    private Schedule schedule = Schedule.NONE;

    public Stitcher(SlotListener listener) {
        this.listener = listener;
    }

    /** Replaces the schedule for viewings that are planned from now on; slots already planned keep their inserts. */
    public void updateSchedule(Schedule newSchedule) {
        schedule = newSchedule;
    }

    /** Whether the schedule still has the insert unchanged; if not, it is dropped unless it was requested before. */
    private boolean isScheduled(Insert insert) {
        return schedule.inserts().contains(insert);
    }

    /**
     * Plans the inserts of a viewing that begins, in the order of their positions.
     *
     * @param startDeadline time by which the viewer should see the first picture
     * @param lengthMs      length of the programme
     */
    public List<Slot> plan(
            double now,
            ViewerId viewer,
            TenantId tenant,
            TrafficClass trafficClass,
            double startDeadline,
            double lengthMs) {
        List<Slot> slots = new ArrayList<>();
        for (Insert insert : schedule.inserts()) {
            if (!insert.appliesTo(trafficClass, tenant, now)) {
                continue;
            }
            Slot slot = new Slot(insert);
            slot.deadline = insert.place() == Insert.Place.BEFORE
                    ? now + MAX_START_WAIT_RATIO * Math.max(0, startDeadline - now)
                    : Double.POSITIVE_INFINITY;
            if (insert.maxRung() < trafficClass.minRung()) { // keeps the class's minimum rung; costs only the insert
                drop(slot, SkipReason.UNDER_FLOOR);
            } else if (insert.atMs() > lengthMs) {
                drop(slot, SkipReason.PAST_THE_END);
            } else if (insert.maxPerHour() > 0 && timesShown(viewer, insert.id(), now) >= insert.maxPerHour()) {
                drop(slot, SkipReason.SHOWN_BEFORE);
            } else {
                slots.add(slot);
            }
        }
        slots.sort((a, b) -> Double.compare(a.insert.atMs(), b.insert.atMs()));
        for (int n = 0; n < slots.size(); n++) {
            slots.get(n).number = n;
        }
        return slots;
    }

    private int timesShown(ViewerId viewer, InsertId insert, double now) {
        List<Impression> history = impressions.get(viewer);
        if (history == null) {
            return 0;
        }
        history.removeIf(impression -> impression.time() <= now - HOUR_MS);
        if (history.isEmpty()) {
            impressions.remove(viewer);
        }
        return (int) history.stream()
                .filter(impression -> impression.insert().equals(insert))
                .count();
    }

    /** How long before its position is reached an insert is requested. */
    public double leadMs(TrafficClass trafficClass) {
        return REQUEST_LEAD_RATIO * trafficClass.latencyTargetMs();
    }

    /**
     * Handles that an insert is due. Returns the traffic class in which it is to be requested, or null where it must
     * not be requested any more.
     *
     * @param playClass traffic class of the play that gets the insert
     */
    public TrafficClass request(double now, Slot slot, TrafficClass playClass) {
        if (slot.isFinished() || slot.state == Slot.State.PLACED || slot.state == Slot.State.STARTED) {
            return null;
        }
        if (slot.requests == 0 && !isScheduled(slot.insert)) {
            drop(slot, SkipReason.WITHDRAWN);
            return null;
        }
        if (now >= slot.deadline) {
            drop(slot, SkipReason.LATE);
            return null;
        }
        slot.state = Slot.State.REQUESTED;
        slot.requests++;
        return slot.insert.trafficClassFor(playClass, INSERT_WEIGHT_RATIO);
    }

    /**
     * Handles that no host accepted the insert. Returns when to request it again, or NaN where it is dropped. An
     * optional insert is dropped immediately, so that the programme goes on; a mandatory one is waited for as long as
     * its position allows.
     */
    public double rejected(double now, Slot slot, SkipReason reason) {
        if (slot.isFinished()) {
            return Double.NaN;
        }
        if (slot.insert.mandatory()
                && reason != SkipReason.MALFORMED
                && slot.requests < MAX_REQUESTS
                && now + RETRY_DELAY_MS < slot.deadline) {
            slot.state = Slot.State.PLANNED;
            return now + RETRY_DELAY_MS;
        }
        drop(slot, reason);
        return Double.NaN;
    }

    /** Handles that a host serves the insert. */
    public void placed(Slot slot) {
        if (!slot.isFinished()) {
            slot.state = slot.hasStarted ? Slot.State.STARTED : Slot.State.PLACED;
        }
    }

    /** Handles that the first segment of the insert was listed in the viewer's playlist. */
    public void started(double now, Slot slot, ViewerId viewer) {
        if (slot.state == Slot.State.PLACED) {
            slot.state = Slot.State.STARTED;
            slot.hasStarted = true;
            impressions.computeIfAbsent(viewer, k -> new ArrayList<>()).add(new Impression(slot.insert.id(), now));
            listener.started(slot);
        }
    }

    /** Handles that the viewer fetched all of the insert. */
    public void completed(Slot slot) {
        if (slot.state == Slot.State.STARTED) {
            slot.state = Slot.State.COMPLETED;
            listener.completed(slot);
        }
    }

    /**
     * Handles that the host of the insert was lost. Returns true where the rest is to be requested from another host;
     * otherwise the insert is cut short and dropped, so that the programme does not stall for it. The drawback: another
     * holder might have become available a little later.
     *
     * @param unlistedMs length of the rest that is not listed yet
     */
    public boolean hostLost(double now, Slot slot, double unlistedMs) {
        if (slot.isFinished()) {
            return false;
        }
        if (unlistedMs > 0 && slot.hostLossRetries < MAX_HOST_LOSS_RETRIES && now < slot.deadline) {
            slot.hostLossRetries++;
            slot.state = Slot.State.PLANNED;
            return true;
        }
        drop(slot, SkipReason.HOST_LOST);
        return false;
    }

    /** Handles that the viewer must be answered now: an insert that is not placed yet is dropped. */
    public void dropIfUnplaced(Slot slot) {
        if (slot.state == Slot.State.PLANNED || slot.state == Slot.State.REQUESTED) {
            drop(slot, SkipReason.LATE);
        }
    }

    /**
     * Handles that the length of a growing programme is now known: an insert positioned after its end is dropped unless
     * it has started, even if it is placed.
     */
    public void programmeEnded(Slot slot, double lengthMs) {
        if (!slot.hasStarted && slot.insert.atMs() > lengthMs) {
            drop(slot, SkipReason.PAST_THE_END);
        }
    }

    /**
     * Handles the end of the viewing: the insert is dropped unless all of it is listed and the viewer still fetches it.
     *
     * @param stillFetched the insert is listed completely and its host has not reported that the viewer is through
     */
    public void viewingEnded(Slot slot, boolean stillFetched) {
        if (!(stillFetched && slot.state == Slot.State.STARTED)) {
            drop(slot, SkipReason.VIEWER_LEFT);
        }
    }

    /** Drops the insert: it is not shown, or not in full. */
    public void drop(Slot slot, SkipReason reason) {
        if (!slot.isFinished()) {
            slot.state = Slot.State.DROPPED;
            listener.dropped(slot, reason);
        }
    }

    /** Removes impressions older than an hour, and the viewers that have none left. */
    public void removeExpiredHistory(double now) {
        for (Iterator<List<Impression>> histories = impressions.values().iterator(); histories.hasNext(); ) {
            List<Impression> history = histories.next();
            history.removeIf(impression -> impression.time() <= now - HOUR_MS);
            if (history.isEmpty()) {
                histories.remove();
            }
        }
    }

    /** Number of viewers whose impressions are kept. */
    int rememberedViewers() {
        return impressions.size();
    }
}
