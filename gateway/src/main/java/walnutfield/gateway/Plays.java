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
import walnutfield.gateway.Viewing.LegResult;
import walnutfield.gateway.Viewing.Phase;
import walnutfield.loop.EventLoop;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;

/**
 * The plays of one gateway, for all fronts: admits plays, keeps the waiting requesters, joins repeated requests to open
 * viewings, sends legs, answers each requester once and recovers interrupted plays. Notifies the desk of what happens
 * and carries out what it decides. All methods run on the event loop unless they say otherwise.
 */
final class Plays implements GatewayActions {
    private static final Logger LOG = LoggerFactory.getLogger(Plays.class);
    private static final double LEARNED_STATE_SAVE_INTERVAL_MS = 5_000;
    private static final Logger ACCESS = LoggerFactory.getLogger("access");

    /** Requests a host's load over whichever protocol the host speaks. */
    interface Prober {
        /** @param listener receives the result once, on any thread */
        void probe(InetSocketAddress host, Consumer<LegResult> listener);
    }

    private final EventLoop eventLoop;
    private final GatewaySettings.Front frontSettings;
    private final GatewaySettings.Hosts hostSettings;
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
            EventLoop eventLoop,
            Prober prober,
            GatewaySettings.Front frontSettings,
            GatewaySettings.Hosts hostSettings,
            GatewayMetrics metrics,
            GatewayServer.DeskFactory deskFactory,
            InsertActions insertActions) {
        this.metrics = metrics;
        this.incarnation = incarnation;
        this.eventLoop = eventLoop;
        this.prober = prober;
        this.frontSettings = frontSettings;
        this.hostSettings = hostSettings;
        desk = new ReentrancyGuard(deskFactory.create(this, insertActions));
    }

    void start(HostListClient hostListClient) {
        hostList = hostListClient;
        hostList.loadPersistedList();
        eventLoop.scheduleRepeatedly(LEARNED_STATE_SAVE_INTERVAL_MS, this::saveLearnedState);
    }

    /** Saves the learned state; called periodically and once more when the gateway shuts down. */
    void saveLearnedState() {
        hostList.saveLearnedState(() -> desk.learnedState(eventLoop.now()));
    }

    void notifyDesk(Call call) {
        desk.handle(eventLoop.now(), call);
        openPlayCount = viewingsByPlay.size();
    }

    /**
     * Called when the host list has changed. Cancels unsent legs that wait for a connection to a host that is no longer
     * ready, so that none is sent to a draining host. The cost: the host might still have served such a leg within its
     * grace period.
     */
    void onHostListChanged() {
        for (Viewing viewing : new ArrayList<>(viewingsByPlay.values())) {
            if (viewing.legPending
                    && viewing.leg != null
                    && !hostList.isReady(viewing.host)
                    && viewing.leg.cancelIfUnsent()) {
                onLegResult(viewing, viewing.play, viewing.legCount - 1, LegResult.failed(Outcome.NOT_SENT, "drains"));
            } else if (viewing.isMonitoring() && isHostReplaced(viewing)) {
                viewing.stopMonitoring(true); // in case the listed start is later than the actual one
                recover(viewing, viewing.play, Outcome.CANCELLED, false); // says nothing about the host listed now
            }
        }
    }

    /** Returns whether the process that listens at the host's address started after the session was set up. */
    private boolean isHostReplaced(Viewing viewing) {
        HostDescriptor holder = hostList.holder(viewing.address);
        if (holder == null) {
            return false;
        }
        return holder.startedAt() > viewing.legSentAt
                || holder.startedAt() == 0 && !holder.host().equals(viewing.host);
    }

    /** Returns the host that a report from a viewing's host concerns: the one that holds the address by now. */
    HostId reportingHost(Viewing viewing) {
        HostDescriptor holder = hostList.holder(viewing.address);
        return holder == null ? viewing.host : holder.host();
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
        return viewing.play.equals(play) && viewing.isMonitoring() && viewing.phase == Phase.PLAYING;
    }

    // ---- Viewers

    /** Handles a viewer's request that was received at the given time; a request for an open viewing joins it. */
    void requestPlay(Requester requester, Viewing.Key key, double receivedAt, Supplier<Viewing> factory) {
        Viewing viewing = openViewings.get(key);
        if (viewing != null && viewing.answered) {
            viewing.answer(requester);
            return;
        }
        if (viewing != null) {
            if (viewing.requesters.size() >= frontSettings.maxJoinedRequests()) {
                requester.refuse(429, null, 0);
            } else {
                addRequester(requester, viewing);
            }
            return;
        }
        viewing = requester.isDone() ? null : factory.get();
        double remainingMs =
                viewing == null ? 0 : viewing.request.trafficClass().deadlineMs() - (eventLoop.now() - receivedAt);
        if (remainingMs <= 0) { // its deadline passed while it was queued for the desk: not admitted
            if (!requester.isDone()) {
                requester.refuse(503, null, frontSettings.retryAfterS() * 1000.0);
            }
            return;
        }
        openViewings.put(key, viewing);
        Viewing admitted = viewing;
        viewing.timers.schedule(receivedAt + viewing.request.trafficClass().deadlineMs(), () -> onDeadline(admitted));
        assignNewPlay(viewing);
        addRequester(requester, viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, false, remainingMs)));
    }

    /** Requests a play on behalf of the gateway itself. */
    void requestOwnPlay(Viewing viewing) {
        double remainingMs = viewing.request.trafficClass().deadlineMs();
        assignNewPlay(viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, false, remainingMs)));
    }

    private void addRequester(Requester requester, Viewing viewing) {
        viewing.requesters.add(requester);
        unansweredRequests++;
        requester.onGone(() -> eventLoop.post(() -> onRequesterGone(requester, viewing)));
    }

    private void assignNewPlay(Viewing viewing) {
        viewing.play = new PlayId(nextPlayId++);
        viewing.firstPlay = viewing.firstPlay == null ? viewing.play : viewing.firstPlay;
        viewing.sessionId = incarnation + "-" + viewing.play.value();
        viewing.legCount = 0;
        viewing.targetRung =
                viewing.request.trafficClass().minRung(); // the desk calls setRung only for a different rung
        viewing.confirmedRung = viewing.targetRung;
        viewingsByPlay.put(viewing.play, viewing);
    }

    private PlayRequest playRequest(Viewing viewing, boolean moved, double remainingMs) {
        Viewing.Request request = viewing.request;
        Viewing.Remainder remainder = viewing.remainder();
        return new PlayRequest(
                viewing.play,
                request.viewer(),
                request.title(),
                request.tenant(),
                request.trafficClass(),
                remainder.firstCell(),
                remainder.holderCount(),
                request.highestRung(),
                moved,
                remainder.lengthMs(),
                remainingMs,
                viewing.isGatewayInitiated() || viewing.phase == Phase.PLAYING);
    }

    private void onRequesterGone(Requester requester, Viewing viewing) {
        if (!viewing.requesters.remove(requester)) {
            return;
        }
        unansweredRequests--;
        if (viewing.requesters.isEmpty() && viewing.phase == Phase.REQUESTED) {
            abandon(viewing, "viewer-gone");
        }
    }

    /** Answers requesters that a gateway defect left waiting past the deadline; no effect in normal operation. */
    private void onDeadline(Viewing viewing) {
        if (!viewing.requesters.isEmpty()) {
            LOG.atError().addKeyValue("play", viewing.sessionId).log("no answer by the hard stop");
            answerAll(viewing, requester -> requester.refuse(504, viewing.sessionId, 0));
            if (viewing.phase == Phase.REQUESTED) {
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
    void endViewing(Viewing viewing, String reason) {
        if (!viewing.isMonitoring()) { // it is being recovered and has no host yet
            abandon(viewing, reason);
            return;
        }
        PlayId play = viewing.play;
        viewingsByPlay.remove(play);
        viewing.stopMonitoring(true);
        closeViewing(viewing, reason);
        reportCancelledLeg(viewing, play);
    }

    /** Cancels a play that the gateway itself requested. */
    void cancelOwnPlay(Viewing viewing) {
        PlayId play = viewing.play;
        if (viewingsByPlay.remove(play) == null) {
            return;
        }
        boolean played = viewing.isMonitoring();
        viewing.end();
        if (played) {
            viewing.stopMonitoring(true);
            reportCancelledLeg(viewing, play);
        } else {
            withdraw(viewing, play);
        }
    }

    /** Withdraws a play that has not started, and cancels its pending leg if there is one. */
    private void withdraw(Viewing viewing, PlayId play) {
        notifyDesk(new Call.ViewerLeft(play));
        if (viewing.legPending) {
            viewing.legPending = false;
            viewing.cancelLegTimeout();
            if (viewing.leg != null) {
                viewing.leg.cancel();
            }
            reportCancelledLeg(viewing, play);
        }
    }

    private void reportCancelledLeg(Viewing viewing, PlayId play) {
        notifyDesk(new Call.LegEnded(
                play,
                viewing.legCount - 1,
                viewing.host,
                Outcome.CANCELLED,
                true,
                eventLoop.now() - viewing.legSentAt,
                LoadReport.NONE));
    }

    private void answerAll(Viewing viewing, Consumer<Requester> answer) {
        List<Requester> requesters = new ArrayList<>(viewing.requesters);
        viewing.requesters.clear();
        unansweredRequests -= requesters.size();
        for (Requester requester : requesters) {
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
        viewing.end();
        // requesters may still wait for a leading insert when the play is lost
        answerAll(viewing, requester -> requester.refuse(502, viewing.sessionId, 0));
        viewing.onClosed();
        openViewings.remove(viewing.key(), viewing);
        metrics.countEnd(reason, viewing.request.trafficClass().name());
        ACCESS.atInfo()
                .addKeyValue("play", viewing.sessionId)
                .addKeyValue("end", reason)
                .addKeyValue("front", viewing.key().front())
                .addKeyValue("band", viewing.request.trafficClass().name())
                .addKeyValue("title", viewing.request.title().value())
                .addKeyValue("host", viewing.host == null ? "-" : viewing.host.value())
                .addKeyValue("legs", viewing.legCount)
                .addKeyValue("rung", viewing.confirmedRung)
                .addKeyValue("startMs", viewing.startedAt > 0 ? Math.round(viewing.startedAt - viewing.admittedAt) : -1)
                .addKeyValue("totalMs", Math.round(eventLoop.now() - viewing.admittedAt))
                .addKeyValue("comebacks", viewing.recoveries)
                .log("play");
    }

    // ---- Decisions of the desk

    @Override
    public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null) {
            return;
        }
        int leg = viewing.legCount++;
        viewing.host = host;
        viewing.address = hostList.address(host);
        viewing.legSentAt = eventLoop.now();
        viewing.legPending = true;
        viewing.leg = null;
        if (viewing.address == null) {
            eventLoop.post(() -> onLegResult(viewing, play, leg, LegResult.failed(Outcome.NOT_SENT, "no address")));
            return;
        }
        viewing.leg = viewing.sendLeg(leg, result -> eventLoop.post(() -> onLegResult(viewing, play, leg, result)));
        viewing.legTimeout = eventLoop.schedule(eventLoop.now() + timeoutMs, () -> {
            if (isLegPending(viewing, play, leg)) {
                viewing.leg.cancel();
                onLegResult(
                        viewing,
                        play,
                        leg,
                        LegResult.failed(viewing.leg.wasSent() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, "patience"));
            }
        });
    }

    private boolean isLegPending(Viewing viewing, PlayId play, int leg) {
        return viewing.legPending && viewing.play.equals(play) && viewing.legCount == leg + 1;
    }

    private void onLegResult(Viewing viewing, PlayId play, int leg, LegResult result) {
        if (!isLegPending(viewing, play, leg)) {
            return; // its result arrived after the leg's timeout or the viewer's departure
        }
        viewing.legPending = false;
        viewing.cancelLegTimeout();
        double elapsedMs = eventLoop.now() - viewing.legSentAt;
        if (result.outcome() != Outcome.SERVED) {
            LOG.atDebug()
                    .addKeyValue("play", viewing.sessionId)
                    .addKeyValue("leg", leg)
                    .addKeyValue("host", viewing.host.value())
                    .addKeyValue("how", result.outcome())
                    .addKeyValue("why", result.reason())
                    .log("leg failed");
            notifyDesk(new Call.LegEnded(play, leg, viewing.host, result.outcome(), false, elapsedMs, result.load()));
            return;
        }
        boolean resumed = viewing.phase == Phase.PLAYING;
        viewing.phase = Phase.PLAYING;
        viewing.startedAt = eventLoop.now();
        viewing.confirmedRung = viewing.targetRung;
        if (!result.apply().getAsBoolean()) {
            // unusable answer: the leg counts as failed and its session at the host ends
            viewing.stopMonitoring(true);
            viewing.phase = resumed ? Phase.PLAYING : Phase.REQUESTED;
            notifyDesk(new Call.LegEnded(
                    play, leg, viewing.host, Outcome.FAILED, viewing.isGatewayInitiated(), elapsedMs, result.load()));
            if (viewing.isGatewayInitiated()) {
                viewingsByPlay.remove(play);
            }
            return;
        }
        viewing.startMonitoring();
        viewing.onStarted(resumed, elapsedMs);
        if (!resumed && !viewing.isGatewayInitiated()) {
            metrics.recordServed(elapsedMs, viewing.startedAt - viewing.admittedAt);
        }
        notifyDesk(new Call.LegStarted(play, leg, viewing.host, elapsedMs));
        if (result.load() != LoadReport.NONE) {
            notifyDesk(new Call.LoadReported(reportingHost(viewing), result.load()));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null) {
            return;
        }
        viewing.targetRung = rung;
        if (viewing.phase == Phase.PLAYING && viewing.isMonitoring()) { // otherwise the next set-up carries the rung
            viewing.changeRung();
        }
    }

    /** Handles the result of a rung change; ignored if another change or another play has superseded it. */
    void onRungChangeResult(Viewing viewing, PlayId play, int rung, LegResult result) {
        if (!isPlaying(viewing, play) || viewing.targetRung != rung) {
            return;
        }
        int previousRung = viewing.confirmedRung;
        viewing.confirmedRung = rung;
        if (result.outcome() != Outcome.SERVED || !result.apply().getAsBoolean()) {
            viewing.confirmedRung = previousRung;
            viewing.targetRung = previousRung;
            notifyDesk(new Call.RungReported(play, previousRung));
        }
    }

    @Override
    public void movePlay(PlayId play) {
        Viewing viewing = viewingsByPlay.get(play);
        if (viewing == null || viewing.phase != Phase.PLAYING || !viewing.isMonitoring()) {
            return;
        }
        viewing.stopMonitoring(true);
        eventLoop.post(() -> recover(viewing, play, Outcome.CANCELLED, true));
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
        if (viewing == null || viewing.onRefused()) {
            return;
        }
        answerAll(viewing, requester -> requester.refuse(status, viewing.sessionId, retryAfterMs));
        viewing.onFailed(status, retryAfterMs);
        closeViewing(viewing, viewing.phase == Phase.PLAYING ? reason + "-again" : reason);
    }

    @Override
    public void probeHost(HostId host) {
        InetSocketAddress address = hostList.address(host);
        double sentAt = eventLoop.now();
        probeSentAt.put(host, sentAt);
        if (address == null) {
            eventLoop.post(() -> onProbeResult(host, sentAt, LegResult.failed(Outcome.NOT_SENT, "")));
            return;
        }
        prober.probe(address, result -> eventLoop.post(() -> onProbeResult(host, sentAt, result)));
        eventLoop.schedule(
                sentAt + hostSettings.probeTimeoutMs(),
                () -> onProbeResult(host, sentAt, LegResult.failed(Outcome.TIMED_OUT, "")));
    }

    private void onProbeResult(HostId host, double sentAt, LegResult result) {
        if (probeSentAt.remove(host, sentAt)) {
            notifyDesk(new Call.ProbeCompleted(host, result.outcome(), eventLoop.now() - sentAt, result.load()));
        }
    }

    @Override
    public void watchHostList() {
        eventLoop.post(hostList::connect);
    }

    @Override
    public void setTimer(double time, String timer) {
        eventLoop.schedule(time, () -> notifyDesk(new Call.TimerFired(timer)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    // ---- Playing plays

    /** Called when the host reports that the viewer has received everything or has left. */
    void onSessionEnded(Viewing viewing, PlayId play, boolean complete) {
        if (!viewing.play.equals(play) || !viewing.isMonitoring()) {
            return;
        }
        viewing.stopMonitoring(false);
        viewingsByPlay.remove(play);
        viewing.onHostEnded(complete);
        if (!viewing.isGatewayInitiated()) {
            closeViewing(viewing, "served");
        }
        notifyDesk(new Call.LegEnded(
                play,
                viewing.legCount - 1,
                viewing.host,
                Outcome.SERVED,
                true,
                eventLoop.now() - viewing.legSentAt,
                LoadReport.NONE));
    }

    /** Called when the connection to the host was lost while the play was playing. */
    void onConnectionLost(Viewing viewing, PlayId play) {
        if (viewing.play.equals(play) && viewing.isMonitoring()) {
            viewing.stopMonitoring(false);
            recover(viewing, play, Outcome.CONNECTION_LOST, false);
        }
    }

    /** Ends the old play and continues the viewing as a new play if allowed; otherwise ends it with an error status. */
    private void recover(Viewing viewing, PlayId oldPlay, Outcome outcome, boolean moved) {
        viewingsByPlay.remove(oldPlay);
        viewing.onInterrupted();
        boolean recovers = viewing.canRecover(moved);
        notifyDesk(new Call.LegEnded(
                oldPlay,
                viewing.legCount - 1,
                viewing.host,
                outcome,
                true,
                eventLoop.now() - viewing.legSentAt,
                LoadReport.NONE));
        if (!recovers) {
            viewing.onNotRecovered();
            if (!viewing.isGatewayInitiated()) {
                closeViewing(viewing, "broken");
            }
            return;
        }
        viewing.recoveries++;
        double remainingMs = viewing.request.trafficClass().deadlineMs();
        assignNewPlay(viewing);
        notifyDesk(new Call.PlayRequested(playRequest(viewing, moved, remainingMs)));
    }
}
