package walnutfield.gateway;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.net.Client;
import walnutfield.orca.LoadField;
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
    Inserts.ViewingInserts inserts; // of a programme, null before it is served; unused in an insert
    private final HlsSessions hls;
    private Client.Sent eventStream;
    private double lastActivityAt;
    private boolean programmeGrowing; // the programme was still growing when served, and its end is not reported yet

    HlsViewing(HlsSessions hls, Asked request, String id, double admittedAt, double lookaheadS) {
        super(request, admittedAt);
        this.hls = hls;
        this.id = id;
        playlist = new SessionPlaylist(id, admittedAt, lookaheadS);
        parent = null;
        insert = null;
        slot = -1;
    }

    /** Creates an insert of a viewing. */
    HlsViewing(HlsViewing parent, Insert insert, int slot, Asked request, double admittedAt) {
        super(request, admittedAt);
        hls = parent.hls;
        id = parent.id;
        playlist = null;
        this.parent = parent;
        this.insert = insert;
        this.slot = slot;
    }

    @Override
    Key key() {
        return new Key(FRONT, asked.viewer(), asked.title());
    }

    @Override
    boolean isOwn() {
        return parent != null;
    }

    @Override
    Piece piece() {
        if (isOwn()) {
            return new Piece(insert.durationMs(), insert.firstCell(), insert.holderCount());
        }
        Catalogue.Title title = hls.catalogue.titles().get(asked.title());
        return new Piece(phase == Phase.PLAYING ? unlistedMs() : title.lengthMs(), title.firstCell(), title.holders());
    }

    /** Returns how many milliseconds of the programme are still to be listed. */
    private double unlistedMs() {
        return playlist.unlistedMs(hls.catalogue.titles().get(asked.title()).lengthMs());
    }

    @Override
    Leg send(int legNumber, Consumer<Came> listener) {
        Client.Sent sent = hls.hostClient.setUpSession(
                address,
                session,
                "title=" + asked.title().value() + "&rung=" + rung + "&band="
                        + asked.band().name() + "&leg=" + legNumber + "&viewer="
                        + asked.viewer().value(),
                reply -> listener.accept(reply.toLegResult(() -> applyReply(reply))));
        return new Leg() {
            @Override
            public void callOff() {
                sent.callOff();
            }

            @Override
            public boolean callOffUnsent() {
                return sent.callOffUnsent();
            }

            @Override
            public boolean wentOut() {
                return sent.wentOut();
            }
        };
    }

    private boolean applyReply(HostClient.Reply reply) {
        if (isOwn()) {
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
        return playlist.from(hls.thread.now(), reply.playlist(), HostClient.baseUri(address), servedRung, session);
    }

    @Override
    void listen() {
        PlayId currentPlay = play;
        lastActivityAt = hls.thread.now();
        eventStream = hls.hostClient.openEventStream(address, session, new HostClient.SessionListener() {
            @Override
            public void onActivity() {
                hls.thread.offer(() -> lastActivityAt = hls.thread.now());
            }

            @Override
            public void onEvent(Event event) {
                if (event.name().equals("end")) {
                    hls.thread.post(() -> hls.plays()
                            .hostEnded(
                                    HlsViewing.this, currentPlay, event.data().equals("whole")));
                } else {
                    hls.thread.offer(() -> onHostEvent(currentPlay, event));
                }
            }

            @Override
            public void onStreamLost() {
                hls.thread.post(() -> hls.plays().broke(HlsViewing.this, currentPlay));
            }
        });
        hls.thread.at(hls.thread.now() + hls.hostSettings.silentMs(), () -> checkHostSilence(currentPlay));
    }

    @Override
    boolean isListening() {
        return eventStream != null;
    }

    @Override
    void leave(boolean notifyHost) {
        if (eventStream != null) {
            eventStream.callOff();
            eventStream = null;
        }
        if (notifyHost) {
            hls.hostClient.endSession(address, session);
        }
    }

    @Override
    void started(boolean resumed, double elapsedMs) {
        if (isOwn()) {
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
    void change() {
        PlayId currentPlay = play;
        int requestedRung = rung;
        hls.hostClient.setRung(
                address,
                session,
                requestedRung,
                reply -> hls.thread.post(() -> hls.plays()
                        .rungServed(
                                this,
                                currentPlay,
                                requestedRung,
                                reply.toLegResult(() -> isOwn()
                                        ? hls.inserts.setInsertSource(this, reply)
                                        : playlist.from(
                                                hls.thread.now(),
                                                reply.playlist(),
                                                HostClient.baseUri(address),
                                                servedRung,
                                                session)))));
    }

    @Override
    void answer(Asker requester) {
        int maxRung = Math.max(
                asked.band().minRung(),
                Math.min(
                        asked.bestRung(),
                        Math.min(
                                asked.band().maxRung(),
                                hls.catalogue.ladder().kb().size() - 1)));
        requester.serve(session, HttpResponses.multivariant(id, hls.catalogue.ladder(), asked.band(), maxRung));
    }

    @Override
    boolean refused() {
        if (isOwn()) {
            phase = Phase.OVER;
            // posted, to run after the desk's current call
            hls.thread.post(() -> hls.inserts.rejectInsert(this, Stitcher.SkipReason.NO_HOST));
        }
        return isOwn();
    }

    @Override
    void ended(int status, double retryAfterMs) {
        playlist.terminate(status, (int) Math.ceil(retryAfterMs / 1000));
    }

    @Override
    void paused() {
        if (isOwn()) {
            phase = Phase.OVER;
        } else {
            playlist.hold();
        }
    }

    @Override
    boolean comesBack(boolean moved) {
        return !isOwn() && (moved || hls.inserts.comesBack(this, unlistedMs()));
    }

    @Override
    void brokenOff() {
        if (isOwn()) {
            hls.inserts.onInsertLost(this);
        } else {
            playlist.terminate(502, 0);
        }
    }

    @Override
    void hostEnded(boolean complete) {
        if (isOwn()) {
            phase = Phase.OVER;
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
    void over() {
        hls.playingViewings.remove(this);
        hls.thread.post(() -> hls.inserts.onViewingEnded(this)); // posted, to run after the desk's current call
    }

    // ---- Monitoring of a playing session

    private void checkHostSilence(PlayId monitoredPlay) {
        if (!hls.plays().isPlaying(this, monitoredPlay)) {
            return;
        }
        if (hls.thread.now() - lastActivityAt >= hls.hostSettings.silentMs()) {
            hls.plays().broke(this, monitoredPlay);
        } else {
            hls.thread.at(lastActivityAt + hls.hostSettings.silentMs(), () -> checkHostSilence(monitoredPlay));
        }
    }

    private void onHostEvent(PlayId monitoredPlay, Event event) {
        if (!play.equals(monitoredPlay) || eventStream == null) {
            return;
        }
        if (event.name().equals("load")) {
            hls.plays().notifyDesk(new Call.LoadReported(host, LoadField.read(event.data())));
        } else if (event.name().equals("share")) {
            try {
                double share = Double.parseDouble(event.data());
                if (share >= 0 && share <= 1) {
                    hls.plays().notifyDesk(new Call.DeliveredShareReported(host, share));
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
        hls.thread.at(hls.thread.now() + delayMs, () -> {
            if (hls.plays().isPlaying(this, monitoredPlay)) {
                int requestedRung = servedRung;
                hls.hostClient.reloadPlaylist(
                        address,
                        session,
                        reply -> hls.thread.post(() -> onReloaded(monitoredPlay, requestedRung, reply)));
            }
        });
    }

    private void onReloaded(PlayId monitoredPlay, int requestedRung, HostClient.Reply reply) {
        if (!hls.plays().isPlaying(this, monitoredPlay)) {
            return;
        }
        double previousLengthMs = playlist.lengthMs();
        boolean rungUnchanged = servedRung == requestedRung
                && rung == requestedRung; // otherwise it may be the playlist of another rung
        if (reply.outcome() == Outcome.SERVED && rungUnchanged && !playlist.grown(reply.playlist())) {
            LOG.atWarn()
                    .addKeyValue("play", session)
                    .addKeyValue("host", host.value())
                    .log("reloaded playlist does not continue the previous one");
            hls.hostClient.endSession(address, session);
            // Leaving the host avoids a wait for segments that never come; the cost: one accidental bad answer loses it
            // too.
            hls.plays().broke(this, monitoredPlay);
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
