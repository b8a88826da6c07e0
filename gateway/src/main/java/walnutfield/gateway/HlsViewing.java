package walnutfield.gateway;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.net.Client;
import walnutfield.orca.LoadField;
import walnutfield.play.HostId;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.sse.Event;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Stitcher;

/** A viewing over HLS, or an insert that is stitched into such a viewing. */
final class HlsViewing extends Viewing {
    static final String FRONT = "hls";
    private static final Logger LOG = LoggerFactory.getLogger(HlsViewing.class);

    final String id; // in the viewer's URIs
    final SessionPlaylist playlist;
    final HlsViewing parent; // the viewing that an insert is stitched into; null for a programme
    final Insert insert; // null for a programme
    final int slot; // number of an insert within its viewing; -1 for a programme
    InsertExecutor.ViewingInserts inserts; // of a programme, null before it is served; unused in an insert
    private final HlsSessions hls;
    private Client.PendingRequest eventStream;
    private double lastActivityAt;
    private boolean programmeGrowing; // the programme was still growing when served, and its end is not reported yet

    HlsViewing(HlsSessions hls, Request request, String id, double admittedAt, double lookaheadS) {
        super(request, admittedAt, hls.eventLoop);
        this.hls = hls;
        this.id = id;
        playlist = new SessionPlaylist(id, admittedAt, lookaheadS);
        parent = null;
        insert = null;
        slot = -1;
    }

    /** Creates an insert of a viewing. */
    HlsViewing(HlsViewing parent, Insert insert, int slot, Request request, double admittedAt) {
        super(request, admittedAt, parent.hls.eventLoop);
        hls = parent.hls;
        id = parent.id;
        playlist = null;
        this.parent = parent;
        this.insert = insert;
        this.slot = slot;
    }

    @Override
    Key key() {
        return new Key(FRONT, request.viewer(), request.title());
    }

    @Override
    boolean isGatewayInitiated() {
        return parent != null;
    }

    @Override
    Remainder remainder() {
        if (isGatewayInitiated()) {
            return new Remainder(insert.durationMs(), insert.firstCell(), insert.holderCount());
        }
        Catalogue.Title title = hls.catalogue.titles().get(request.title());
        return new Remainder(
                phase == Phase.PLAYING ? unlistedMs() : title.lengthMs(), title.firstCell(), title.holderCount());
    }

    /** Returns how many milliseconds of the programme are still to be listed. */
    private double unlistedMs() {
        return playlist.unlistedMs(hls.catalogue.titles().get(request.title()).lengthMs());
    }

    @Override
    Leg sendLeg(int legNumber, Consumer<LegResult> listener) {
        Client.PendingRequest sent = hls.hostClient.setUpSession(
                address,
                sessionId,
                "title=" + request.title().value() + "&rung=" + targetRung + "&band="
                        + request.trafficClass().name() + "&leg=" + legNumber + "&viewer="
                        + request.viewer().value(),
                reply -> listener.accept(reply.toLegResult(() -> applyReply(reply))));
        return new Leg() {
            @Override
            public void cancel() {
                sent.cancel();
            }

            @Override
            public boolean cancelIfUnsent() {
                return sent.cancelIfUnsent();
            }

            @Override
            public boolean wasSent() {
                return sent.isSent();
            }
        };
    }

    private boolean applyReply(HostClient.Reply reply) {
        if (isGatewayInitiated()) {
            return hls.inserts.onInsertServed(this, reply);
        }
        if (inserts == null) {
            programmeGrowing = !reply.playlist().ended();
            hls.inserts.planInserts(
                    this,
                    programmeGrowing
                            ? Double.POSITIVE_INFINITY
                            : reply.playlist().durationS() * 1000);
        }
        return playlist.setSource(
                hls.eventLoop.now(), reply.playlist(), HostClient.baseUri(address), confirmedRung, sessionId);
    }

    @Override
    void startMonitoring() {
        PlayId currentPlay = play;
        lastActivityAt = hls.eventLoop.now();
        eventStream = hls.hostClient.openEventStream(address, sessionId, new HostClient.SessionListener() {
            @Override
            public void onActivity() {
                hls.eventLoop.offer(() -> lastActivityAt = hls.eventLoop.now());
            }

            @Override
            public void onEvent(Event event) {
                if (event.type().equals("end")) {
                    hls.eventLoop.post(() -> hls.plays()
                            .onSessionEnded(
                                    HlsViewing.this, currentPlay, event.data().equals("whole")));
                } else {
                    hls.eventLoop.offer(() -> onHostEvent(currentPlay, event));
                }
            }

            @Override
            public void onStreamLost() {
                hls.eventLoop.post(() -> hls.plays().onConnectionLost(HlsViewing.this, currentPlay));
            }
        });
        timers.schedule(hls.eventLoop.now() + hls.hostSettings.silenceTimeoutMs(), () -> checkHostSilence(currentPlay));
    }

    @Override
    boolean isMonitoring() {
        return eventStream != null;
    }

    @Override
    void stopMonitoring(boolean notifyHost) {
        if (eventStream != null) {
            eventStream.cancel();
            eventStream = null;
        }
        if (notifyHost) {
            hls.hostClient.endSession(address, sessionId);
        }
    }

    @Override
    void onStarted(boolean resumed, double elapsedMs) {
        if (isGatewayInitiated()) {
            return;
        }
        scheduleReload(play, playlist.targetDurationMs());
        hls.playlists.put(id, playlist);
        hls.playingViewings.add(this);
        if (!resumed) {
            hls.inserts.scheduleInserts(this);
        }
        if (!inserts.viewerWaiting) {
            hls.plays().answerAll(this);
        }
    }

    @Override
    void changeRung() {
        PlayId currentPlay = play;
        int requestedRung = targetRung;
        hls.hostClient.setRung(
                address,
                sessionId,
                requestedRung,
                reply -> hls.eventLoop.post(() -> hls.plays()
                        .onRungChangeResult(
                                this,
                                currentPlay,
                                requestedRung,
                                reply.toLegResult(() -> isGatewayInitiated()
                                        ? hls.inserts.setInsertSource(this, reply)
                                        : playlist.setSource(
                                                hls.eventLoop.now(),
                                                reply.playlist(),
                                                HostClient.baseUri(address),
                                                confirmedRung,
                                                sessionId)))));
    }

    @Override
    void answer(Requester requester) {
        int maxRung = Math.max(
                request.trafficClass().minRung(),
                Math.min(
                        request.highestRung(),
                        Math.min(
                                request.trafficClass().maxRung(),
                                hls.catalogue.ladder().ratesKb().size() - 1)));
        requester.serve(
                sessionId, HttpResponses.multivariant(id, hls.catalogue.ladder(), request.trafficClass(), maxRung));
    }

    @Override
    boolean onRefused() {
        if (isGatewayInitiated()) {
            end();
            // posted, to run after the desk's current call
            hls.eventLoop.post(() -> hls.inserts.rejectInsert(this, Stitcher.SkipReason.NO_HOST));
        }
        return isGatewayInitiated();
    }

    @Override
    void onFailed(int status, double retryAfterMs) {
        playlist.terminate(status, (int) Math.ceil(retryAfterMs / 1000));
    }

    @Override
    void onInterrupted() {
        if (isGatewayInitiated()) {
            end();
        } else {
            playlist.suspendProgramme();
        }
    }

    @Override
    boolean canRecover(boolean moved) {
        return !isGatewayInitiated() && (moved || hls.inserts.decideRecovery(this, unlistedMs()));
    }

    @Override
    void onNotRecovered() {
        if (isGatewayInitiated()) {
            hls.inserts.onInsertLost(this);
        } else {
            playlist.terminate(502, 0);
        }
    }

    @Override
    void onHostEnded(boolean complete) {
        if (isGatewayInitiated()) {
            end();
            hls.inserts.onInsertEnded(this, complete);
            return;
        }
        if (complete) {
            playlist.finishProgramme();
            onProgrammeEnd();
        }
        playlist.terminate(404, 0);
    }

    @Override
    void onClosed() {
        hls.playingViewings.remove(this);
        hls.eventLoop.post(() -> hls.inserts.onViewingEnded(this)); // posted, to run after the desk's current call
    }

    // ---- Monitoring of a playing session

    private void checkHostSilence(PlayId monitoredPlay) {
        if (!hls.plays().isPlaying(this, monitoredPlay)) {
            return;
        }
        if (hls.eventLoop.now() - lastActivityAt >= hls.hostSettings.silenceTimeoutMs()) {
            hls.plays().onConnectionLost(this, monitoredPlay);
        } else {
            timers.schedule(
                    lastActivityAt + hls.hostSettings.silenceTimeoutMs(), () -> checkHostSilence(monitoredPlay));
        }
    }

    private void onHostEvent(PlayId monitoredPlay, Event event) {
        if (!play.equals(monitoredPlay) || eventStream == null) {
            return;
        }
        HostId reporter = hls.plays().reportingHost(this);
        if (event.type().equals("load")) {
            hls.plays().notifyDesk(new Call.LoadReported(reporter, LoadField.read(event.data())));
        } else if (event.type().equals("share")) {
            try {
                double share = Double.parseDouble(event.data());
                if (share >= 0 && share <= 1) {
                    hls.plays().notifyDesk(new Call.DeliveredShareReported(reporter, share));
                }
            } catch (NumberFormatException invalid) {
                LOG.atWarn().addKeyValue("host", host.value()).log("delivered share is not a number");
            }
        }
    }

    /** Reloads the playlist of a programme that still grows at its host, as RFC 8216, section 6.3.4 describes. */
    private void scheduleReload(PlayId monitoredPlay, double delayMs) {
        if (!playlist.isGrowing()) {
            onProgrammeEnd();
            return;
        }
        timers.schedule(hls.eventLoop.now() + delayMs, () -> {
            if (hls.plays().isPlaying(this, monitoredPlay)) {
                int requestedRung = confirmedRung;
                hls.hostClient.reloadPlaylist(
                        address,
                        sessionId,
                        reply -> hls.eventLoop.post(() -> onReloaded(monitoredPlay, requestedRung, reply)));
            }
        });
    }

    private void onReloaded(PlayId monitoredPlay, int requestedRung, HostClient.Reply reply) {
        if (!hls.plays().isPlaying(this, monitoredPlay)) {
            return;
        }
        double previousLengthMs = playlist.lengthMs();
        boolean rungUnchanged = confirmedRung == requestedRung
                && targetRung == requestedRung; // otherwise it may be the playlist of another rung
        if (reply.outcome() == Outcome.SERVED && rungUnchanged && !playlist.extendProgramme(reply.playlist())) {
            LOG.atWarn()
                    .addKeyValue("play", sessionId)
                    .addKeyValue("host", host.value())
                    .log("reloaded playlist does not continue the previous one");
            hls.hostClient.endSession(address, sessionId);
            // Leaving the host avoids a wait for segments that never come; the cost: one accidental bad answer loses it
            // too.
            hls.plays().onConnectionLost(this, monitoredPlay);
            return;
        }
        scheduleReload(monitoredPlay, playlist.targetDurationMs() / (playlist.lengthMs() > previousLengthMs ? 1 : 2));
    }

    /** Reports the end of a programme that was growing, so that inserts beyond it are not waited for. */
    private void onProgrammeEnd() {
        if (programmeGrowing) {
            programmeGrowing = false;
            hls.inserts.onProgrammeEnded(this);
        }
    }
}
