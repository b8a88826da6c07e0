package walnutfield.desk;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.resume.RecoveryPolicy;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Slot;
import walnutfield.stitch.Stitcher;

/**
 * Makes the decisions of one desk outside the Director: on inserts, by keeping the slots of the viewings in progress,
 * and on the recovery of plays whose host was lost. Only the desk makes one.
 */
public final class InsertCoordinator implements Stitcher.SlotListener {
    private final InsertActions actions;
    private final Stitcher stitcher = new Stitcher(this);
    private final Map<PlayId, List<Slot>> slotsByViewing = new HashMap<>(); // until the viewing and its slots end
    private final Map<Slot, PlayId> viewingBySlot = new HashMap<>(); // until the viewing and its slots end
    private final Set<PlayId> endedViewings = new HashSet<>(); // those that still have unfinished slots
    private PlayId viewingInPlanning;

    InsertCoordinator(InsertActions actions) {
        this.actions = actions;
    }

    void updateSchedule(Schedule schedule) {
        stitcher.updateSchedule(schedule);
    }

    void viewingStarted(double now, Call.ViewingStarted event) {
        viewingInPlanning = event.viewing();
        List<Slot> slots = stitcher.plan(
                now, event.viewer(), event.tenant(), event.trafficClass(), event.startDeadline(), event.lengthMs());
        viewingInPlanning = null;
        List<Insert> inserts = new ArrayList<>();
        for (Slot slot : slots) {
            viewingBySlot.put(slot, event.viewing());
            inserts.add(slot.insert());
        }
        if (!slots.isEmpty()) {
            slotsByViewing.put(event.viewing(), slots);
            actions.insertsPlanned(event.viewing(), inserts);
        }
    }

    /** The slot with this number, or null where there is none. */
    private Slot slot(PlayId viewing, int number) {
        List<Slot> slots = slotsByViewing.get(viewing);
        return slots == null || number < 0 || number >= slots.size() ? null : slots.get(number);
    }

    void insertDue(double now, PlayId viewing, int number, TrafficClass playClass) {
        Slot slot = slot(viewing, number);
        TrafficClass insertClass = slot == null ? null : stitcher.request(now, slot, playClass);
        if (insertClass != null) {
            actions.requestInsert(viewing, number, insertClass);
        }
    }

    void insertRejected(double now, PlayId viewing, int number, Stitcher.SkipReason reason) {
        Slot slot = slot(viewing, number);
        double retryAt = slot == null ? Double.NaN : stitcher.rejected(now, slot, reason);
        if (!Double.isNaN(retryAt)) {
            actions.retryInsert(viewing, number, retryAt);
        }
    }

    void insertPlaced(PlayId viewing, int number) {
        Slot slot = slot(viewing, number);
        if (slot != null) {
            stitcher.placed(slot);
        }
    }

    void insertStarted(double now, PlayId viewing, int number, ViewerId viewer) {
        Slot slot = slot(viewing, number);
        if (slot != null) {
            stitcher.started(now, slot, viewer);
        }
    }

    void insertEnded(PlayId viewing, int number, boolean complete) {
        Slot slot = slot(viewing, number);
        if (slot != null && complete) {
            stitcher.completed(slot);
        }
        if (slot != null) {
            stitcher.drop(slot, Stitcher.SkipReason.VIEWER_LEFT);
        }
    }

    void insertLost(double now, PlayId viewing, int number, double unlistedMs) {
        Slot slot = slot(viewing, number);
        if (slot != null && stitcher.hostLost(now, slot, unlistedMs)) {
            actions.retryInsert(viewing, number, now);
        }
    }

    void insertLate(PlayId viewing, int number) {
        Slot slot = slot(viewing, number);
        if (slot != null) {
            stitcher.dropIfUnplaced(slot);
        }
    }

    void programmeEnded(PlayId viewing, double lengthMs) {
        List<Slot> slots = slotsByViewing.get(viewing);
        if (slots != null) {
            List.copyOf(slots).forEach(slot -> stitcher.programmeEnded(slot, lengthMs));
        }
    }

    void viewingEnded(PlayId viewing, Set<Integer> stillFetched) {
        List<Slot> slots = slotsByViewing.get(viewing);
        if (slots != null) {
            endedViewings.add(viewing);
            List.copyOf(slots).forEach(slot -> stitcher.viewingEnded(slot, stillFetched.contains(slot.number())));
            removeIfFinished(viewing);
        }
    }

    void minuteElapsed(double now) {
        stitcher.removeExpiredHistory(now);
    }

    void playInterrupted(Call.PlayInterrupted event) {
        actions.playRecovery(
                event.play(),
                RecoveryPolicy.shouldRecover(
                        event.trafficClass(), event.priorRecoveries(), event.sinceStartMs(), event.unlistedMs()));
    }

    private void removeIfFinished(PlayId viewing) {
        List<Slot> slots = slotsByViewing.get(viewing);
        if (slots != null && endedViewings.contains(viewing) && slots.stream().allMatch(Slot::isFinished)) {
            slots.forEach(viewingBySlot::remove);
            slotsByViewing.remove(viewing);
            endedViewings.remove(viewing);
        }
    }

    /** Number of viewings whose slots are kept. */
    int viewingCount() {
        return slotsByViewing.size();
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
    public void dropped(Slot slot, Stitcher.SkipReason reason) {
        report(slot, "dropped-" + reason.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }

    /** Reports on a slot; one without a viewing was dropped while its viewing was being planned. */
    private void report(Slot slot, String report) {
        PlayId viewing = viewingBySlot.get(slot);
        actions.insertReported(
                viewing == null ? viewingInPlanning : viewing,
                viewing == null ? -1 : slot.number(),
                slot.insert().id(),
                report);
        if (viewing != null) {
            removeIfFinished(viewing);
        }
    }
}
