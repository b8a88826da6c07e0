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

/** A viewing over HLS, or an insert that is stitched into one. */
final class HlsViewing extends Viewing {
    static final String FRONT = "hls";
    private static final Logger LOG = LoggerFactory.getLogger(HlsViewing.class);

    final String id; // in the viewer's URIs
    final SessionPlaylist playlist;
    final HlsViewing main; // of an insert: the viewing that it is stitched into; null for a programme
    final Insert insert; // of an insert
    final int slot; // of an insert: its number in its viewing
    Inserts.Stitched stitched; // of a programme; null before it is served
    private final Hls hls;
    private Client.Sent stream;
    private double heardAt;
    private boolean grew; // its programme was not at its end when it was served, and its end is not told yet

    HlsViewing(Hls hls, Asked asked, String id, double takenAt, double aheadS) {
        super(asked, takenAt);
        this.hls = hls;
        this.id = id;
        playlist = new SessionPlaylist(id, takenAt, aheadS);
        main = null;
        insert = null;
        slot = -1;
    }

    /** An insert of a viewing. */
    HlsViewing(HlsViewing main, Insert insert, int slot, Asked asked, double takenAt) {
        super(asked, takenAt);
        hls = main.hls;
        id = main.id;
        playlist = null;
        this.main = main;
        this.insert = insert;
        this.slot = slot;
    }

    @Override
    Key key() {
        return new Key(FRONT, asked.viewer(), asked.title());
    }

    @Override
    boolean isOwn() {
        return main != null;
    }

    @Override
    Piece piece() {
        if (isOwn()) {
            return new Piece(insert.durationMs(), insert.firstCell(), insert.holderCount());
        }
        Catalogue.Title t = hls.catalogue.titles().get(asked.title());
        return new Piece(phase == Phase.PLAYING ? unlistedMs() : t.lengthMs(), t.firstCell(), t.holders());
    }

    /** Milliseconds of the programme that are still to be listed. */
    private double unlistedMs() {
        return playlist.unlistedMs(hls.catalogue.titles().get(asked.title()).lengthMs());
    }

    @Override
    Leg send(int number, Consumer<Came> to) {
        Client.Sent sent = hls.hosts.setUp(
                address,
                session,
                "title=" + asked.title().value() + "&rung=" + rung + "&band="
                        + asked.band().name() + "&leg=" + number + "&viewer="
                        + asked.viewer().value(),
                reply -> to.accept(reply.came(() -> carry(reply))));
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

    private boolean carry(HostClient.Reply reply) {
        if (isOwn()) {
            return hls.inserts.placed(this, reply);
        }
        if (stitched == null) {
            grew = !reply.playlist().ended();
            hls.inserts.plan(
                    this, grew ? Double.POSITIVE_INFINITY : reply.playlist().durationS() * 1000);
        }
        return playlist.from(hls.thread.now(), reply.playlist(), HostClient.base(address), servedRung, session);
    }

    @Override
    void listen() {
        PlayId now = play;
        heardAt = hls.thread.now();
        stream = hls.hosts.listen(address, session, new HostClient.Ear() {
            @Override
            public void alive() {
                hls.thread.offer(() -> heardAt = hls.thread.now());
            }

            @Override
            public void event(Event e) {
                if (e.name().equals("end")) {
                    hls.thread.post(() ->
                            hls.plays().hostEnded(HlsViewing.this, now, e.data().equals("whole")));
                } else {
                    hls.thread.offer(() -> figure(now, e));
                }
            }

            @Override
            public void lost() {
                hls.thread.post(() -> hls.plays().broke(HlsViewing.this, now));
            }
        });
        hls.thread.at(hls.thread.now() + hls.hostTerms.silentMs(), () -> lookForSilence(now));
    }

    @Override
    boolean isListening() {
        return stream != null;
    }

    @Override
    void leave(boolean tell) {
        if (stream != null) {
            stream.callOff();
            stream = null;
        }
        if (tell) {
            hls.hosts.end(address, session);
        }
    }

    @Override
    void started(boolean again, double tookMs) {
        if (isOwn()) {
            return;
        }
        follow(play, playlist.targetMs());
        hls.playlists.put(id, playlist);
        hls.playing.add(this);
        if (!again) {
            hls.inserts.follow(this);
        }
        if (!stitched.waits) {
            hls.plays().answerAll(this);
        }
    }

    @Override
    void change() {
        PlayId now = play;
        int to = rung;
        hls.hosts.setRung(
                address,
                session,
                to,
                reply -> hls.thread.post(() -> hls.plays()
                        .rungServed(
                                this,
                                now,
                                to,
                                reply.came(() -> isOwn()
                                        ? hls.inserts.fill(this, reply)
                                        : playlist.from(
                                                hls.thread.now(),
                                                reply.playlist(),
                                                HostClient.base(address),
                                                servedRung,
                                                session)))));
    }

    @Override
    void answer(Asker x) {
        int top = Math.max(
                asked.band().minRung(),
                Math.min(
                        asked.bestRung(),
                        Math.min(
                                asked.band().maxRung(),
                                hls.catalogue.ladder().kb().size() - 1)));
        x.serve(session, Answers.multivariant(id, hls.catalogue.ladder(), asked.band(), top));
    }

    @Override
    boolean refused() {
        if (isOwn()) {
            phase = Phase.OVER;
            hls.thread.post(
                    () -> hls.inserts.notTaken(this, Stitcher.SkipReason.NO_HOST)); // after the desk's present call
        }
        return isOwn();
    }

    @Override
    void ended(int status, double holdOffMs) {
        playlist.end(status, (int) Math.ceil(holdOffMs / 1000));
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
            hls.inserts.broke(this);
        } else {
            playlist.end(502, 0);
        }
    }

    @Override
    void hostEnded(boolean whole) {
        if (isOwn()) {
            phase = Phase.OVER;
            hls.inserts.ended(this, whole);
            return;
        }
        if (whole) {
            playlist.finish();
            endOfProgramme();
        }
        playlist.end(404, 0);
    }

    @Override
    void over() {
        hls.playing.remove(this);
        hls.thread.post(() -> hls.inserts.over(this)); // after the desk's present call
    }

    // ---- A session that plays

    private void lookForSilence(PlayId of) {
        if (!hls.plays().isPlaying(this, of)) {
            return;
        }
        if (hls.thread.now() - heardAt >= hls.hostTerms.silentMs()) {
            hls.plays().broke(this, of);
        } else {
            hls.thread.at(heardAt + hls.hostTerms.silentMs(), () -> lookForSilence(of));
        }
    }

    private void figure(PlayId of, Event e) {
        if (!play.equals(of) || stream == null) {
            return;
        }
        if (e.name().equals("load")) {
            hls.plays().tell(new Call.LoadReported(host, LoadField.read(e.data())));
        } else if (e.name().equals("share")) {
            try {
                double share = Double.parseDouble(e.data());
                if (share >= 0 && share <= 1) {
                    hls.plays().tell(new Call.DeliveredShareReported(host, share));
                }
            } catch (NumberFormatException bad) {
                LOG.atWarn().addKeyValue("host", host.value()).log("a share that is no number");
            }
        }
    }

    /** A programme that still grows at its host is followed there, as RFC 8216 has it (section 6.3.4). */
    private void follow(PlayId of, double waitMs) {
        if (!playlist.isGrowing()) {
            endOfProgramme();
            return;
        }
        hls.thread.at(hls.thread.now() + waitMs, () -> {
            if (hls.plays().isPlaying(this, of)) {
                int at = servedRung;
                hls.hosts.reload(address, session, reply -> hls.thread.post(() -> reloaded(of, at, reply)));
            }
        });
    }

    private void reloaded(PlayId of, int at, HostClient.Reply reply) {
        if (!hls.plays().isPlaying(this, of)) {
            return;
        }
        double before = playlist.lengthMs();
        boolean asServed = servedRung == at && rung == at; // else it may be the playlist of another rung
        if (reply.how() == Outcome.SERVED && asServed && !playlist.grown(reply.playlist())) {
            LOG.atWarn()
                    .addKeyValue("play", session)
                    .addKeyValue("host", host.value())
                    .log("a playlist that does not go on from the one before");
            hls.hosts.end(address, session);
            hls.plays()
                    .broke(this, of); // guards against a wait for what never comes; it harms where one bad answer was a
            // chance
            return;
        }
        follow(of, playlist.targetMs() / (playlist.lengthMs() > before ? 1 : 2));
    }

    /** Where the end of a programme that grew is known, inserts beyond it are not to be waited for. */
    private void endOfProgramme() {
        if (grew) {
            grew = false;
            hls.inserts.programmeEnded(this);
        }
    }
}
