package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.desk.CallHandler;
import walnutfield.desk.InsertActions;
import walnutfield.desk.ReentrancyGuard;
import walnutfield.gateway.Viewing.Came;
import walnutfield.gateway.Viewing.Phase;
import walnutfield.loop.DeskThread;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;

/**
 * The plays of one gateway, for all fronts: admits plays, keeps the waiting requesters, joins repeated requests to open
 * viewings, sends legs, answers each requester once and recovers interrupted plays. Notifies the desk of what happens
 * and carries out what it decides. All methods run on the desk's thread unless they say otherwise.
 */
final class Plays implements GatewayActions {
    private static final Logger LOG = LoggerFactory.getLogger(Plays.class);
    private static final double LEARNED_STATE_SAVE_INTERVAL_MS = 5_000;
    private static final Logger ACCESS = LoggerFactory.getLogger("access");

    /** Requests a host's load over whichever protocol the host speaks. */
    interface Prober {
        /** @param listener receives the result once, on any thread */
        void probe(InetSocketAddress host, Consumer<Came> listener);
    }

    private final DeskThread thread;
    private final Terms.Front frontSettings;
    private final Terms.Hosts hostSettings;
    private final String incarnation;
    private final CallHandler desk;
    private final Prober prober;
    private final GatewayMetrics metrics;
    private final Map<Viewing.Key, Viewing> openViewings = new HashMap<>(); // removed as viewings end
    private final Map<PlayId, Viewing> viewingsByPlay = new LinkedHashMap<>(); // removed as plays end
    private final Map<HostId, Double> probeSentAt = new HashMap<>(); // removed as results arrive
    private HostListClient hostList;
    private long nextPlayId = 1;
    private int unansweredRequests;
    private volatile int openPlayCount;

    /**
     * @param incarnation   name of this process lifetime; unique among gateways and restarts of this gateway
     * @param insertActions carries out the desk's decisions on inserts and recoveries
     */
    Plays(
            String incarnation,
            DeskThread thread,
            Prober prober,
            Terms.Front frontSettings,
            Terms.Hosts hostSettings,
            GatewayMetrics metrics,
            GatewayServer.DeskFactory deskFactory,
            InsertActions insertActions) {
        this.metrics = metrics;
        this.incarnation = incarnation;
        this.thread = thread;
        this.prober = prober;
        this.frontSettings = frontSettings;
        this.hostSettings = hostSettings;
        desk = new ReentrancyGuard(deskFactory.create(this, insertActions));
    }

    void start(HostListClient hostListClient) {
        hostList = hostListClient;
        hostList.loadPersistedList();
        thread.at(thread.now() + LEARNED_STATE_SAVE_INTERVAL_MS, this::saveLearnedStatePeriodically);
    }

    private void saveLearnedStatePeriodically() {
        saveLearnedState();
        thread.at(thread.now() + LEARNED_STATE_SAVE_INTERVAL_MS, this::saveLearnedStatePeriodically);
    }

    /** Saves the learned state; called periodically and once more when the gateway shuts down. */
    void saveLearnedState() {
        hostList.saveLearnedState(() -> desk.learnt(thread.now()));
    }

    void notifyDesk(Call call) {
        desk.handle(thread.now(), call);
        openPlayCount = viewingsByPlay.size();
    }

    /**
     * Called when the host list has changed. Cancels unsent legs that wait for a connection to a host that is no longer
     * ready, so that none is sent to a draining host. The cost: the host might still have served such a leg within its
     * grace period.
     */
    void onHostListChanged() {
        for (Viewing viewing : new ArrayList<>(viewingsByPlay.values())) {
            if (viewing.legOut
                    && viewing.leg != null
                    && !hostList.isReady(viewing.host)
                    && viewing.leg.callOffUnsent()) {
                onLegResult(viewing, viewing.play, viewing.legs - 1, Came.not(Outcome.NOT_SENT, "drains"));
            }
        }
    }

    /** Returns the number of requests that wait for their answer. */
    int unansweredRequests() {
        return unansweredRequests;
    }

    /** Returns the number of open plays; callable from any thread. */
    int countOpenPlays() {
        return openPlayCount;
    }

    /** Returns a host's address; null if the host is not listed. */
    InetSocketAddress address(HostId host) {
        return hostList.address(host);
    }

    /** Returns whether the play is the viewing's current one and is playing on a host that is being monitored. */
    boolean isPlaying(Viewing viewing, PlayId play) {
        return viewing.play.equals(play) && viewing.isListening() && viewing.phase == Phase.PLAYING;
    }

    // ---- Viewers

    /** Handles a viewer's request that was received at the given time; a request for an open viewing joins it. */
    void asked(Asker requester, Viewing.Key key, double receivedAt, Supplier<Viewing> factory) {
        Viewing viewing = openViewings.get(key);
        if (viewing != null && viewing.answered) {
            viewing.answer(requester);
            return;
        }
        if (viewing != null) {
            if (viewing.waiting.size() >= frontSettings.joined()) {
                requester.refuse(429, null, 0);
            } else {
                addRequester(requester, viewing);
            }
            return;
        }
        viewing = requester.isDone() ? null : factory.get();
        double remainingMs = viewing == null ? 0 : viewing.asked.band().deadlineMs() - (thread.now() - receivedAt);
        if (remainingMs <= 0) { // its deadline passed while it was queued for the desk: not admitted
            if (!requester.isDone()) {
                requester.refuse(503, null, frontSettings.retryAfterS() * 1000.0);
            }
            return;
        }
        openViewings.put(key, viewing);
        Viewing admitted = viewing;
        thread.at(receivedAt + viewing.asked.band().deadlineMs(), () -> onDeadline(admitted));
        assignNewPlay(viewing);
        addRequester(requester, viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, false, remainingMs)));
    }

    /** Requests a play on behalf of the gateway itself. */
    void requestOwnPlay(Viewing viewing) {
        double remainingMs = viewing.asked.band().deadlineMs();
        assignNewPlay(viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, false, remainingMs)));
    }

    private void addRequester(Asker requester, Viewing viewing) {
        viewing.waiting.add(requester);
        unansweredRequests++;
        requester.onGone(() -> thread.post(() -> onRequesterGone(requester, viewing)));
    }

    private void assignNewPlay(Viewing viewing) {
        viewing.play = new PlayId(nextPlayId++);
        viewing.first = viewing.first == null ? viewing.play : viewing.first;
        viewing.session = incarnation + "-" + viewing.play.value();
        viewing.legs = 0;
        viewing.rung = viewing.asked.band().minRung(); // the desk calls setRung only for a different rung
        viewing.servedRung = viewing.rung;
        viewingsByPlay.put(viewing.play, viewing);
    }

    private PlayRequest playRequest(Viewing viewing, boolean moved, double remainingMs) {
        Viewing.Asked request = viewing.asked;
        Viewing.Piece remainder = viewing.piece();
        return new PlayRequest(
                viewing.play,
                request.viewer(),
                request.title(),
                request.customer(),
                request.band(),
                remainder.firstCell(),
                remainder.holders(),
                request.bestRung(),
                moved,
                remainder.lengthMs(),
                remainingMs,
                viewing.isOwn() || viewing.phase == Phase.PLAYING);
    }

    private void onRequesterGone(Asker requester, Viewing viewing) {
        if (!viewing.waiting.remove(requester)) {
            return;
        }
        unansweredRequests--;
        if (viewing.waiting.isEmpty() && viewing.phase == Phase.ASKED) {
            abandon(viewing, "viewer-gone");
        }
    }

    /** Answers requesters that a gateway defect left waiting past the deadline; no effect in normal operation. */
    private void onDeadline(Viewing viewing) {
        if (!viewing.waiting.isEmpty()) {
            LOG.atError().addKeyValue("play", viewing.session).log("no answer by the hard stop");
            answerAll(viewing, requester -> requester.refuse(504, viewing.session, 0));
            if (viewing.phase == Phase.ASKED) {
                abandon(viewing, "overdue");
            }
        }
    }

    /** Ends a viewing that nobody waits for any more and that is not playing. */
    void abandon(Viewing viewing, String reason) {
        PlayId play = viewing.play;
        viewingsByPlay.remove(play);
        closeViewing(viewing, reason);
        withdraw(viewing, play);
    }

    /** Ends a viewing that its viewer has left, together with its session at the host. */
    void leave(Viewing viewing, String reason) {
        if (!viewing.isListening()) { // it is being recovered and has no host yet
            abandon(viewing, reason);
            return;
        }
        PlayId play = viewing.play;
        viewingsByPlay.remove(play);
        viewing.leave(true);
        closeViewing(viewing, reason);
        reportCancelledLeg(viewing, play);
    }

    /** Cancels a play that the gateway itself requested. */
    void cancelOwnPlay(Viewing viewing) {
        PlayId play = viewing.play;
        if (viewingsByPlay.remove(play) == null) {
            return;
        }
        boolean played = viewing.isListening();
        viewing.phase = Phase.OVER;
        if (played) {
            viewing.leave(true);
            reportCancelledLeg(viewing, play);
        } else {
            withdraw(viewing, play);
        }
    }

    /** Withdraws a play that has not started, and cancels its pending leg if there is one. */
    private void withdraw(Viewing viewing, PlayId play) {
        notifyDesk(new Call.ViewerLeft(play));
        if (viewing.legOut) {
            viewing.legOut = false;
            if (viewing.leg != null) {
                viewing.leg.callOff();
            }
            reportCancelledLeg(viewing, play);
        }
    }

    private void reportCancelledLeg(Viewing viewing, PlayId play) {
        notifyDesk(new Call.LegEnded(
                play,
                viewing.legs - 1,
                viewing.host,
                Outcome.CANCELLED,
                true,
                thread.now() - viewing.sentAt,
                LoadReport.NONE));
    }

    private void answerAll(Viewing viewing, Consumer<Asker> answer) {
        List<Asker> requesters = new ArrayList<>(viewing.waiting);
        viewing.waiting.clear();
        unansweredRequests -= requesters.size();
        for (Asker requester : requesters) {
            if (!requester.isDone()) {
                answer.accept(requester);
            }
        }
    }

    /** Answers all waiting requesters that the play has started; later ones are answered immediately. */
    void answerAll(Viewing viewing) {
        viewing.answered = true;
        answerAll(viewing, viewing::answer);
    }

    /** Closes a viewing and writes its line to the access log. */
    private void closeViewing(Viewing viewing, String reason) {
        viewing.phase = Phase.OVER;
        // requesters may still wait for a leading insert when the play is lost
        answerAll(viewing, requester -> requester.refuse(502, viewing.session, 0));
        viewing.over();
        openViewings.remove(viewing.key(), viewing);
        metrics.countEnd(reason, viewing.asked.band().name());
        ACCESS.atInfo()
                .addKeyValue("play", viewing.session)
                .addKeyValue("end", reason)
                .addKeyValue("front", viewing.key().front())
                .addKeyValue("band", viewing.asked.band().name())
                .addKeyValue("title", viewing.asked.title().value())
                .addKeyValue("host", viewing.host == null ? "-" : viewing.host.value())
                .addKeyValue("legs", viewing.legs)
                .addKeyValue("rung", viewing.servedRung)
                .addKeyValue("startMs", viewing.startedAt > 0 ? Math.round(viewing.startedAt - viewing.takenAt) : -1)
                .addKeyValue("totalMs", Math.round(thread.now() - viewing.takenAt))
                .addKeyValue("comebacks", viewing.comebacks)
                .log("play");
    }

    // ---- Decisions of the desk

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null) {
            return;
        }
        int leg = viewing.legs++;
        viewing.host = host;
        viewing.address = hostList.address(host);
        viewing.sentAt = thread.now();
        viewing.legOut = true;
        viewing.leg = null;
        if (viewing.address == null) {
            thread.post(() -> onLegResult(viewing, play, leg, Came.not(Outcome.NOT_SENT, "no address")));
            return;
        }
        viewing.leg = viewing.send(leg, result -> thread.post(() -> onLegResult(viewing, play, leg, result)));
        thread.at(thread.now() + timeoutMs, () -> {
            if (isLegPending(viewing, play, leg)) {
                viewing.leg.callOff();
                onLegResult(
                        viewing,
                        play,
                        leg,
                        Came.not(viewing.leg.wentOut() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, "patience"));
            }
        });
    }

    private boolean isLegPending(Viewing viewing, PlayId play, int leg) {
        return viewing.legOut && viewing.play.equals(play) && viewing.legs == leg + 1;
    }

    private void onLegResult(Viewing viewing, PlayId play, int leg, Came result) {
        if (!isLegPending(viewing, play, leg)) {
            return; // its result arrived after the leg's timeout or the viewer's departure
        }
        viewing.legOut = false;
        double elapsedMs = thread.now() - viewing.sentAt;
        if (result.how() != Outcome.SERVED) {
            LOG.atDebug()
                    .addKeyValue("play", viewing.session)
                    .addKeyValue("leg", leg)
                    .addKeyValue("host", viewing.host.value())
                    .addKeyValue("how", result.how())
                    .addKeyValue("why", result.why())
                    .log("leg failed");
            notifyDesk(new Call.LegEnded(play, leg, viewing.host, result.how(), false, elapsedMs, result.load()));
            return;
        }
        boolean resumed = viewing.phase == Phase.PLAYING;
        viewing.phase = Phase.PLAYING;
        viewing.startedAt = thread.now();
        viewing.servedRung = viewing.rung;
        if (!result.carry().getAsBoolean()) {
            // unusable answer: the leg counts as failed and its session at the host ends
            viewing.leave(true);
            viewing.phase = resumed ? Phase.PLAYING : Phase.ASKED;
            notifyDesk(new Call.LegEnded(
                    play, leg, viewing.host, Outcome.FAILED, viewing.isOwn(), elapsedMs, result.load()));
            if (viewing.isOwn()) {
                viewingsByPlay.remove(play);
            }
            return;
        }
        viewing.listen();
        viewing.started(resumed, elapsedMs);
        if (!resumed && !viewing.isOwn()) {
            metrics.recordServed(elapsedMs, viewing.startedAt - viewing.takenAt);
        }
        notifyDesk(new Call.LegStarted(play, leg, viewing.host, elapsedMs));
        if (result.load() != LoadReport.NONE) {
            notifyDesk(new Call.LoadReported(viewing.host, result.load()));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null) {
            return;
        }
        viewing.rung = rung;
        if (viewing.phase == Phase.PLAYING && viewing.isListening()) { // otherwise the next set-up carries the rung
            viewing.change();
        }
    }

    /** Handles the result of a rung change; ignored if another change or another play has superseded it. */
    void rungServed(Viewing viewing, PlayId play, int rung, Came result) {
        if (!isPlaying(viewing, play) || viewing.rung != rung) {
            return;
        }
        int previousRung = viewing.servedRung;
        viewing.servedRung = rung;
        if (result.how() != Outcome.SERVED || !result.carry().getAsBoolean()) {
            viewing.servedRung = previousRung;
            viewing.rung = previousRung;
            notifyDesk(new Call.RungReported(play, previousRung));
        }
    }

    @Override
    public void movePlay(PlayId play) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null || viewing.phase != Phase.PLAYING || !viewing.isListening()) {
            return;
        }
        viewing.leave(true);
        thread.post(() -> recover(viewing, play, Outcome.CANCELLED, true));
    }

    @Override
    public void shedPlay(PlayId play, double retryAfterMs) {
        terminate(play, 503, retryAfterMs, "shed");
    }

    @Override
    public void failPlay(PlayId play) {
        terminate(play, 502, 0, "errored");
    }

    private void terminate(PlayId play, int status, double retryAfterMs, String reason) {
        Viewing viewing = viewingsByPlay.remove(play);
        if (viewing == null || viewing.refused()) {
            return;
        }
        answerAll(viewing, requester -> requester.refuse(status, viewing.session, retryAfterMs));
        viewing.ended(status, retryAfterMs);
        closeViewing(viewing, viewing.phase == Phase.PLAYING ? reason + "-again" : reason);
    }

    @Override
    public void probeHost(HostId host) {
        InetSocketAddress address = hostList.address(host);
        double sentAt = thread.now();
        probeSentAt.put(host, sentAt);
        if (address == null) {
            thread.post(() -> onProbeResult(host, sentAt, Came.not(Outcome.NOT_SENT, "")));
            return;
        }
        prober.probe(address, result -> thread.post(() -> onProbeResult(host, sentAt, result)));
        thread.at(sentAt + hostSettings.probeMs(), () -> onProbeResult(host, sentAt, Came.not(Outcome.TIMED_OUT, "")));
    }

    private void onProbeResult(HostId host, double sentAt, Came result) {
        if (probeSentAt.remove(host, sentAt)) {
            notifyDesk(new Call.ProbeCompleted(host, result.how(), thread.now() - sentAt, result.load()));
        }
    }

    @Override
    public void watchHostList() {
        thread.post(hostList::connect);
    }

    @Override
    public void setTimer(double time, String timer) {
        thread.at(time, () -> notifyDesk(new Call.TimerFired(timer)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    // ---- Playing plays

    /** Called when the host reports that the viewer has received everything or has left. */
    void hostEnded(Viewing viewing, PlayId play, boolean complete) {
        if (!viewing.play.equals(play) || !viewing.isListening()) {
            return;
        }
        viewing.leave(false);
        viewingsByPlay.remove(play);
        viewing.hostEnded(complete);
        if (!viewing.isOwn()) {
            closeViewing(viewing, "served");
        }
        notifyDesk(new Call.LegEnded(
                play,
                viewing.legs - 1,
                viewing.host,
                Outcome.SERVED,
                true,
                thread.now() - viewing.sentAt,
                LoadReport.NONE));
    }

    /** Called when the connection to the host was lost while the play was playing. */
    void broke(Viewing viewing, PlayId play) {
        if (viewing.play.equals(play) && viewing.isListening()) {
            viewing.leave(false);
            recover(viewing, play, Outcome.CONNECTION_LOST, false);
        }
    }

    /** Ends the old play and continues the viewing as a new play if allowed; otherwise ends it with an error status. */
    private void recover(Viewing viewing, PlayId oldPlay, Outcome outcome, boolean moved) {
        viewingsByPlay.remove(oldPlay);
        viewing.paused();
        boolean recovers = viewing.comesBack(moved);
        notifyDesk(new Call.LegEnded(
                oldPlay,
                viewing.legs - 1,
                viewing.host,
                outcome,
                true,
                thread.now() - viewing.sentAt,
                LoadReport.NONE));
        if (!recovers) {
            viewing.brokenOff();
            if (!viewing.isOwn()) {
                closeViewing(viewing, "broken");
            }
            return;
        }
        viewing.comebacks++;
        double remainingMs = viewing.asked.band().deadlineMs();
        assignNewPlay(viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, moved, remainingMs)));
    }
}
