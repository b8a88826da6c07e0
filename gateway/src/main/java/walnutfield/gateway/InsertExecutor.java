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
import walnutfield.loop.EventLoop;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher.SkipReason;

/**
 * Carries out the desk's decisions on inserts, on the event loop: each insert of a viewing is a play of its own,
 * whose segments are listed in the viewing's playlist. Makes no decisions itself.
 */
final class InsertExecutor implements InsertActions {
    private static final Logger LOG = LoggerFactory.getLogger("insert");
    private static final double POINT_CHECK_INTERVAL_MS = 100;
    private static final double MINUTE_TICK_MS = 60_000;

    /** What inserts need from the plays and their hosts. */
    interface PlayControl {
        /** Requests a play for an insert; the gateway assigns the play's id. */
        void requestInsertPlay(HlsViewing insertViewing);

        /** The inserts before the programme are placed or dropped: the viewer may be answered. */
        void onLeadingInsertsSettled(HlsViewing parent);

        /** Tells the programme's host that the viewer will not fetch from it for this long. */
        void pauseProgramme(HlsViewing parent, double durationMs);

        /** Cancels an insert's play. */
        void cancelInsertPlay(HlsViewing insertViewing);
    }

    /** State of the inserts of one viewing. */
    static final class ViewingInserts {
        private final List<Insert> planned; // by slot
        private final Map<Integer, HlsViewing> activePlays = new HashMap<>(); // plays of inserts, by slot
        private final Set<Integer> openSlots = new HashSet<>(); // slots without a final report
        // open slots before the programme that are not placed yet
        private final Set<Integer> openLeadingSlots = new HashSet<>();
        boolean viewerWaiting; // its viewer is answered once openLeadingSlots is empty

        private ViewingInserts(List<Insert> inserts) {
            this.planned = inserts;
            for (int slot = 0; slot < inserts.size(); slot++) {
                openSlots.add(slot);
                if (inserts.get(slot).place() == Insert.Place.BEFORE) {
                    openLeadingSlots.add(slot);
                }
            }
        }
    }

    private final EventLoop eventLoop;
    private final PlayControl plays;
    private final GatewayMetrics metrics;
    private final Consumer<Call> desk;
    // a viewing is removed when its last insert has its final report
    private final Map<PlayId, HlsViewing> viewingsByFirstPlay = new HashMap<>();
    private HlsViewing viewingBeingPlanned;
    private boolean recoveryAllowed;

    InsertExecutor(EventLoop eventLoop, PlayControl plays, GatewayMetrics metrics, Consumer<Call> desk) {
        this.eventLoop = eventLoop;
        this.plays = plays;
        this.metrics = metrics;
        this.desk = desk;
    }

    void scheduleMinuteTick() {
        eventLoop.scheduleRepeatedly(MINUTE_TICK_MS, () -> desk.accept(new Call.MinuteElapsed()));
    }

    void updateSchedule(Schedule schedule) {
        desk.accept(new Call.ScheduleUpdated(schedule));
        LOG.atInfo().addKeyValue("inserts", schedule.inserts().size()).log("schedule taken");
    }

    /** Asks the desk to plan the inserts of a viewing whose programme is served. */
    void planInserts(HlsViewing viewing, double lengthMs) {
        viewing.inserts = new ViewingInserts(List.of());
        viewingBeingPlanned = viewing;
        desk.accept(new Call.ViewingStarted(
                viewing.firstPlay,
                viewing.request.viewer(),
                viewing.request.tenant(),
                viewing.request.trafficClass(),
                viewing.admittedAt + viewing.request.trafficClass().latencyTargetMs(),
                lengthMs));
        viewingBeingPlanned = null;
    }

    @Override
    public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
        HlsViewing planned = viewingBeingPlanned;
        viewingsByFirstPlay.put(viewing, planned);
        planned.inserts = new ViewingInserts(inserts);
        for (int slot = 0; slot < inserts.size(); slot++) {
            Insert insert = inserts.get(slot);
            planned.playlist.addInsertPoint(
                    slot, insert.id().value(), insert.atMs(), insert.replacedMs(), insert.targetDurationS());
        }
    }

    /** Starts checking when inserts are due, once the programme's playlist has its source. */
    void scheduleInserts(HlsViewing viewing) {
        viewing.inserts.viewerWaiting = !viewing.inserts.openLeadingSlots.isEmpty();
        for (int slot = 0; slot < viewing.inserts.planned.size(); slot++) {
            if (viewing.inserts.openLeadingSlots.contains(slot)) {
                reportDue(viewing, slot);
                int leadingSlot = slot;
                viewing.timers.schedule(
                        viewing.admittedAt + viewing.request.trafficClass().latencyTargetMs(),
                        () -> onStartDeadline(viewing, leadingSlot));
            } else {
                checkInsertPoint(viewing, slot);
            }
        }
    }

    /** Reports an insert as due one latency target before the listing reaches its place. */
    private void checkInsertPoint(HlsViewing viewing, int slot) {
        if (!viewing.inserts.openSlots.contains(slot) || viewing.phase == Viewing.Phase.ENDED) {
            return;
        }
        double dueAt = viewing.playlist.insertReachedAt(slot)
                - viewing.request.trafficClass().latencyTargetMs();
        if (eventLoop.now() >= dueAt) {
            reportDue(viewing, slot);
        } else {
            viewing.timers.schedule(
                    Math.max(dueAt, eventLoop.now() + POINT_CHECK_INTERVAL_MS), () -> checkInsertPoint(viewing, slot));
        }
    }

    private void reportDue(HlsViewing viewing, int slot) {
        if (viewing.phase != Viewing.Phase.ENDED) {
            desk.accept(new Call.InsertDue(viewing.firstPlay, slot, viewing.request.trafficClass()));
        }
    }

    @Override
    public void requestInsert(PlayId viewing, int slot, TrafficClass trafficClass) {
        HlsViewing target = viewingsByFirstPlay.get(viewing);
        if (target != null) {
            eventLoop.post(() -> startInsertPlay(target, slot, trafficClass)); // after the desk's current call
        }
    }

    private void startInsertPlay(HlsViewing viewing, int slot, TrafficClass trafficClass) {
        if (viewing.phase == Viewing.Phase.ENDED || !viewing.inserts.openSlots.contains(slot)) {
            return;
        }
        Insert insert = viewing.inserts.planned.get(slot);
        HlsViewing insertViewing = new HlsViewing(
                viewing,
                insert,
                slot,
                new Viewing.Request(
                        viewing.request.viewer(),
                        insert.title(),
                        trafficClass,
                        viewing.request.tenant(),
                        Math.min(viewing.request.highestRung(), insert.maxRung())),
                eventLoop.now());
        viewing.inserts.activePlays.put(slot, insertViewing);
        plays.requestInsertPlay(insertViewing);
    }

    @Override
    public void retryInsert(PlayId viewing, int slot, double time) {
        HlsViewing target = viewingsByFirstPlay.get(viewing);
        if (target != null) {
            target.timers.schedule(time, () -> reportDue(target, slot));
        }
    }

    /** Makes sure that a waiting viewer is answered by the latency target, whatever has become of the insert. */
    private void onStartDeadline(HlsViewing viewing, int slot) {
        if (viewing.inserts.openLeadingSlots.contains(slot)) {
            HlsViewing insertViewing = viewing.inserts.activePlays.get(slot);
            desk.accept(new Call.InsertLate(viewing.firstPlay, slot));
            if (insertViewing != null && !viewing.inserts.openSlots.contains(slot)) {
                plays.cancelInsertPlay(insertViewing);
            }
        }
    }

    /** Called when an insert's leg was served; returns false if its playlist cannot be stitched in. */
    boolean onInsertServed(HlsViewing insertViewing, HostClient.Reply reply) {
        HlsViewing viewing = insertViewing.parent;
        if (!viewing.inserts.openSlots.contains(insertViewing.slot) || viewing.phase == Viewing.Phase.ENDED) {
            return false;
        }
        if (!setInsertSource(insertViewing, reply)) {
            rejectInsert(insertViewing, SkipReason.MALFORMED);
            return false;
        }
        desk.accept(new Call.InsertPlaced(viewing.firstPlay, insertViewing.slot));
        plays.pauseProgramme(viewing, insertViewing.insert.durationMs());
        settleLeadingInsert(viewing, insertViewing.slot);
        return true;
    }

    /** Lists an insert from this reply, from the next segment on; returns false if it cannot be stitched in. */
    boolean setInsertSource(HlsViewing insertViewing, HostClient.Reply reply) {
        return insertViewing.parent.playlist.setInsertSource(
                insertViewing.slot,
                reply.playlist(),
                HostClient.baseUri(insertViewing.address),
                insertViewing.confirmedRung,
                insertViewing.sessionId);
    }

    /** Reports that no host accepted an insert, or that its playlist cannot be used. */
    void rejectInsert(HlsViewing insertViewing, SkipReason reason) {
        insertViewing.parent.inserts.activePlays.remove(insertViewing.slot, insertViewing);
        desk.accept(new Call.InsertRejected(insertViewing.parent.firstPlay, insertViewing.slot, reason));
    }

    /** Called when the host of a playing insert was lost. */
    void onInsertLost(HlsViewing insertViewing) {
        HlsViewing viewing = insertViewing.parent;
        reportStartedInserts(viewing);
        viewing.inserts.activePlays.remove(insertViewing.slot, insertViewing);
        double unlistedMs = viewing.playlist.unlistedInsertMs(insertViewing.slot);
        if (unlistedMs > 0) {
            viewing.playlist.clearInsertSource(insertViewing.slot);
        }
        desk.accept(new Call.InsertLost(viewing.firstPlay, insertViewing.slot, unlistedMs));
    }

    /** Called when an insert's host reports that the viewer has received everything or has stopped fetching. */
    void onInsertEnded(HlsViewing insertViewing, boolean complete) {
        reportStartedInserts(insertViewing.parent);
        insertViewing.parent.inserts.activePlays.remove(insertViewing.slot, insertViewing);
        desk.accept(new Call.InsertEnded(insertViewing.parent.firstPlay, insertViewing.slot, complete));
    }

    /** Reports inserts whose first segment has been listed since the last call. */
    void reportStartedInserts(HlsViewing viewing) {
        for (int slot = viewing.playlist.nextStartedInsert(); slot >= 0; slot = viewing.playlist.nextStartedInsert()) {
            desk.accept(new Call.InsertStarted(viewing.firstPlay, slot, viewing.request.viewer()));
        }
    }

    /** Called when a viewing has ended: its inserts end too, except those listed completely and still being fetched. */
    void onViewingEnded(HlsViewing viewing) {
        if (viewing.inserts == null || viewing.inserts.planned.isEmpty()) {
            return;
        }
        reportStartedInserts(viewing);
        boolean complete = viewing.playlist.isComplete();
        notifyAndCancelDropped(
                viewing,
                new Call.ViewingEnded(
                        viewing.firstPlay, complete ? Set.copyOf(viewing.inserts.activePlays.keySet()) : Set.of()));
    }

    /** Called when the length of a growing programme has become known. */
    void onProgrammeEnded(HlsViewing viewing) {
        if (viewing.inserts != null && !viewing.inserts.planned.isEmpty()) {
            reportStartedInserts(viewing);
            notifyAndCancelDropped(viewing, new Call.ProgrammeEnded(viewing.firstPlay, viewing.playlist.lengthMs()));
        }
    }

    /** Notifies the desk and cancels the plays of inserts that it drops in response. */
    private void notifyAndCancelDropped(HlsViewing viewing, Call call) {
        Map<Integer, HlsViewing> playsBefore = new HashMap<>(viewing.inserts.activePlays);
        desk.accept(call);
        playsBefore.forEach((slot, insertViewing) -> {
            if (!viewing.inserts.openSlots.contains(slot)) {
                plays.cancelInsertPlay(insertViewing);
            }
        });
    }

    /** Asks the desk whether a play whose host was lost is recovered. */
    boolean decideRecovery(Viewing viewing, double unlistedMs) {
        recoveryAllowed = false;
        desk.accept(new Call.PlayInterrupted(
                viewing.play,
                viewing.request.trafficClass(),
                viewing.recoveries,
                eventLoop.now() - viewing.startedAt,
                unlistedMs));
        return recoveryAllowed;
    }

    @Override
    public void playRecovery(PlayId play, boolean allowed) {
        recoveryAllowed = allowed;
    }

    /** Answers the viewer once no insert before the programme is open. */
    private void settleLeadingInsert(HlsViewing viewing, int slot) {
        viewing.inserts.openLeadingSlots.remove(slot);
        if (viewing.inserts.viewerWaiting && viewing.inserts.openLeadingSlots.isEmpty()) {
            viewing.inserts.viewerWaiting = false;
            plays.onLeadingInsertsSettled(viewing);
        }
    }

    @Override
    public void insertReported(PlayId viewing, int slot, InsertId insert, String result) {
        metrics.countInsert(result, insert.value());
        HlsViewing target = viewingsByFirstPlay.get(viewing);
        LOG.atInfo()
                .addKeyValue("insert", insert.value())
                .addKeyValue("what", result)
                .addKeyValue("viewing", viewing.value())
                .log("insert");
        if (target == null || result.equals("started")) {
            return;
        }
        target.inserts.openSlots.remove(slot);
        if (!result.equals("completed")) {
            target.playlist.closeInsert(slot);
        }
        settleLeadingInsert(target, slot);
        if (target.inserts.openSlots.isEmpty()) {
            viewingsByFirstPlay.remove(viewing);
        }
    }
}
