package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.gateway.Viewing.Phase;
import walnutfield.net.Client;
import walnutfield.net.Exchange;
import walnutfield.orca.LoadField;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.Load;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.Wanted;
import walnutfield.sse.Event;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher;

/**
 * The viewings of one gateway: tells the desk what happens to them and carries out what it decides. All on the
 * desk's thread, but for the playlists, which viewers fetch from any.
 */
final class Plays implements Gateway {
    private static final Logger LOG = LoggerFactory.getLogger(Plays.class);
    private static final Logger ACCESS = LoggerFactory.getLogger("access");

    private final DeskThread thread;
    private final HostClient hosts;
    private final Terms.Front front;
    private final Terms.Hosts hostTerms;
    private final Catalogue catalogue;
    private final String name;
    private final Desk desk;
    private final Inserts inserts;
    private final Figures figures;
    private final Map<Viewing.Key, Viewing> open = new HashMap<>();      // emptied as viewings end
    private final Map<PlayId, Viewing> byPlay = new LinkedHashMap<>();   // emptied as plays end
    private final Map<HostId, Double> probes = new HashMap<>();          // sent when; emptied as they come in
    private final Map<String, SessionPlaylist> playlists = new ConcurrentHashMap<>(); // emptied by the idle look
    private ListClient list;
    private long next = 1;
    private boolean telling;
    private int unanswered;
    private volatile int openPlays;

    /**
     * @param name of this gateway's present life: no other gateway, nor this one started again, has the same
     */
    Plays(String name, DeskThread thread, HostClient hosts, Terms.Front front, Terms.Hosts hostTerms,
          Catalogue catalogue, Figures figures, GatewayServer.DeskMaker maker) {
        this.figures = figures;
        this.name = name;
        this.thread = thread;
        this.hosts = hosts;
        this.front = front;
        this.hostTerms = hostTerms;
        this.catalogue = catalogue;
        inserts = new Inserts(thread, new Stitching(), figures, this::tell);
        desk = maker.make(this, inserts);
    }

    void begin(ListClient with) {
        list = with;
        list.remembered();
        inserts.begin();
        thread.at(thread.now() + front.idleMs() / 2, this::lookForIdle);
    }

    void tell(Call call) {
        if (telling) { // a result must not call back into the desk
            throw new IllegalStateException("a call within a call: " + call);
        }
        telling = true;
        try {
            desk.take(thread.now(), call);
        } finally {
            telling = false;
        }
        openPlays = byPlay.size();
    }

    /**
     * The list has changed. Guards against a leg that waited for a connection and leaves for a host that drains by
     * now: it is taken back unsent. It harms where the host would have served it within its grace.
     */
    void listChanged() {
        for (Viewing v : new ArrayList<>(byPlay.values())) {
            if (v.legOut && v.leg != null && !list.isReady(v.host) && v.leg.callOffUnsent()) {
                legOver(v, v.play, v.legs - 1, new HostClient.Reply(Outcome.NOT_SENT, null, Load.NONE, "drains"));
            }
        }
    }

    /** Viewers that wait for their answer. */
    int unanswered() {
        return unanswered;
    }

    /** Plays open now; any thread may ask. */
    int playing() {
        return openPlays;
    }

    /** The playlist of a viewing; null where there is none of that name. Any thread may ask. */
    SessionPlaylist playlist(String id) {
        return playlists.get(id);
    }

    // ---- Viewers

    /** A viewer asked at that time; a second request for what is open joins it. */
    void asked(Exchange x, Viewing.Asked asked, double at) {
        Viewing v = open.get(asked.key());
        if (v != null && v.answered) {
            answerWith(x, v);
            return;
        }
        if (v != null) {
            if (v.waiting.size() >= front.joined()) {
                Answers.status(x, 429, null);
            } else {
                await(x, v);
            }
            return;
        }
        double left = asked.band().hardStopMs() - (thread.now() - at);
        if (left <= 0 || x.isDone()) { // it waited too long for the desk: it is not taken
            if (!x.isDone()) {
                Answers.notNow(x, null, front.retryAfterS() * 1000.0);
            }
            return;
        }
        v = new Viewing(asked, name + "-" + next, at, front.aheadS());
        open.put(asked.key(), v);
        Viewing taken = v;
        thread.at(at + asked.band().hardStopMs(), () -> overdue(taken));
        newPlay(v, left);
        await(x, v);
        tell(new Call.WishTaken(wish(v, false, left)));
    }

    private void await(Exchange x, Viewing v) {
        v.waiting.add(x);
        unanswered++;
        x.onGone(() -> thread.post(() -> viewerGone(x, v)));
    }

    private void newPlay(Viewing v, double leftMs) {
        v.play = new PlayId(next++);
        v.first = v.first == null ? v.play : v.first;
        v.session = name + "-" + v.play.value();
        v.playTakenAt = thread.now() + leftMs - v.asked.band().hardStopMs();
        v.legs = 0;
        v.rung = v.asked.band().floor(); // the module names another only where it is another
        v.servedRung = v.rung;
        byPlay.put(v.play, v);
    }

    private Wanted wish(Viewing v, boolean moved, double leftMs) {
        Viewing.Asked a = v.asked;
        boolean insert = v.main != null;
        Catalogue.Title t = insert ? null : catalogue.titles().get(a.title());
        double length = insert ? v.insert.durationMs() : v.phase == Phase.PLAYING ? unlistedMs(v) : t.lengthMs();
        int cell = insert ? v.insert.firstCell() : t.firstCell();
        int holders = insert ? v.insert.holders() : t.holders();
        return new Wanted(v.play, a.viewer(), a.title(), a.customer(), a.band(), cell, holders,
            a.bestRung(), moved, length, leftMs, insert || v.phase == Phase.PLAYING);
    }

    /** Milliseconds of a programme that are still to be listed. */
    private double unlistedMs(Viewing v) {
        return v.playlist.unlistedMs(catalogue.titles().get(v.asked.title()).lengthMs());
    }

    private void viewerGone(Exchange x, Viewing v) {
        if (!v.waiting.remove(x)) {
            return;
        }
        unanswered--;
        if (v.waiting.isEmpty() && v.phase == Phase.ASKED) {
            giveUp(v, "viewer-gone");
        }
    }

    /** Guards against a viewer left without an answer by a fault of ours; it never acts while the desk is sound. */
    private void overdue(Viewing v) {
        if (!v.waiting.isEmpty()) {
            LOG.atError().addKeyValue("play", v.session).log("no answer by the hard stop");
            answerAll(v, x -> Answers.status(x, 504, v.session));
            if (v.phase == Phase.ASKED) {
                giveUp(v, "overdue");
            }
        }
    }

    private void giveUp(Viewing v, String end) {
        PlayId play = v.play;
        byPlay.remove(play);
        over(v, end);
        letGo(v, play);
    }

    /** A play that does not play is let go, and with it the leg that may be out. */
    private void letGo(Viewing v, PlayId play) {
        tell(new Call.GaveUp(play));
        if (v.legOut) {
            v.legOut = false;
            if (v.leg != null) {
                v.leg.callOff();
            }
            calledOff(v, play);
        }
    }

    private void calledOff(Viewing v, PlayId play) {
        tell(new Call.Ended(play, v.legs - 1, v.host, Outcome.CALLED_OFF, true, thread.now() - v.sentAt, Load.NONE));
    }

    private void answerAll(Viewing v, java.util.function.Consumer<Exchange> answer) {
        List<Exchange> all = new ArrayList<>(v.waiting);
        v.waiting.clear();
        unanswered -= all.size();
        for (Exchange x : all) {
            if (!x.isDone()) {
                answer.accept(x);
            }
        }
    }

    private void answerAll(Viewing v) {
        v.answered = true;
        answerAll(v, x -> answerWith(x, v));
    }

    private void answerWith(Exchange x, Viewing v) {
        Ladder ladder = catalogue.ladder();
        int top = Math.max(v.asked.band().floor(), Math.min(v.asked.bestRung(),
            Math.min(v.asked.band().top(), ladder.kb().size() - 1)));
        Answers.playlist(x, v.session, Answers.multivariant(v.id, ladder, v.asked.band(), top));
    }

    /** The viewing's last line; its playlist stays for whoever is still reading it. */
    private void over(Viewing v, String end) {
        v.phase = Phase.OVER;
        answerAll(v, x -> Answers.status(x, 502, v.session)); // who waits for an insert before a play that is lost
        thread.post(() -> inserts.over(v)); // after the desk's present call
        open.remove(v.asked.key(), v);
        figures.over(end, v.asked.band().name());
        ACCESS.atInfo().addKeyValue("play", v.session).addKeyValue("end", end).addKeyValue("band", v.asked.band().name())
            .addKeyValue("title", v.asked.title().value()).addKeyValue("host", v.host == null ? "-" : v.host.value())
            .addKeyValue("legs", v.legs).addKeyValue("rung", v.servedRung)
            .addKeyValue("startMs", v.startedAt > 0 ? Math.round(v.startedAt - v.takenAt) : -1)
            .addKeyValue("totalMs", Math.round(thread.now() - v.takenAt)).addKeyValue("comebacks", v.comebacks)
            .log("play");
    }

    /** A viewing that nobody asks for is over, and what is left of ended ones is forgotten. */
    private void lookForIdle() {
        double oldest = thread.now() - front.idleMs();
        for (Viewing v : new ArrayList<>(byPlay.values())) {
            if (v.main == null && v.phase == Phase.PLAYING) {
                inserts.begun(v);
            }
            if (v.main == null && v.phase == Phase.PLAYING && !v.legOut && !v.playlist.isWhole()
                && v.playlist.polledAt() < oldest) {
                PlayId play = v.play;
                if (v.stream == null) { // it waits for a place to come back to
                    giveUp(v, "viewer-idle");
                    continue;
                }
                byPlay.remove(play);
                closeStream(v);
                hosts.end(v.address, v.session);
                over(v, "viewer-idle");
                calledOff(v, play);
            }
        }
        playlists.entrySet().removeIf(e -> e.getValue().polledAt() < oldest
            && open.values().stream().noneMatch(v -> v.id.equals(e.getKey())));
        thread.at(thread.now() + front.idleMs() / 2, this::lookForIdle);
    }

    // ---- What the desk decides

    @Override
    public void setUp(PlayId play, HostId host, double patienceMs) {
        Viewing v = byPlay.get(play);
        if (v == null) {
            return;
        }
        int leg = v.legs++;
        InetSocketAddress to = list.address(host);
        v.host = host;
        v.address = to;
        v.sentAt = thread.now();
        v.legOut = true;
        v.leg = null;
        if (to == null) {
            thread.post(() -> legOver(v, play, leg, new HostClient.Reply(Outcome.NOT_SENT, null, Load.NONE,
                "no address")));
            return;
        }
        int rung = v.rung;
        v.leg = hosts.setUp(to, v.session, "title=" + v.asked.title().value() + "&rung=" + rung + "&band="
            + v.asked.band().name() + "&leg=" + leg + "&viewer=" + v.asked.viewer().value(),
            reply -> thread.post(() -> legOver(v, play, leg, reply)));
        thread.at(thread.now() + patienceMs, () -> {
            if (isOut(v, play, leg)) {
                v.leg.callOff();
                legOver(v, play, leg, new HostClient.Reply(
                    v.leg.wentOut() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null, Load.NONE, "patience"));
            }
        });
    }

    private boolean isOut(Viewing v, PlayId play, int leg) {
        return v.legOut && v.play.equals(play) && v.legs == leg + 1;
    }

    private void legOver(Viewing v, PlayId play, int leg, HostClient.Reply reply) {
        if (!isOut(v, play, leg)) {
            return; // it crossed its time-out or the viewer's going
        }
        v.legOut = false;
        double took = thread.now() - v.sentAt;
        if (reply.how() != Outcome.SERVED) {
            LOG.atDebug().addKeyValue("play", v.session).addKeyValue("leg", leg).addKeyValue("host", v.host.value())
                .addKeyValue("how", reply.how()).addKeyValue("why", reply.why()).log("leg failed");
            tell(new Call.Ended(play, leg, v.host, reply.how(), false, took, reply.load()));
            return;
        }
        boolean again = v.phase == Phase.PLAYING;
        v.phase = Phase.PLAYING;
        v.startedAt = thread.now();
        v.servedRung = v.rung;
        boolean fits;
        if (v.main != null) {
            fits = inserts.placed(v, reply);
        } else {
            if (!again) {
                v.grew = !reply.playlist().ended();
                inserts.plan(v, v.grew ? Double.POSITIVE_INFINITY : reply.playlist().durationS() * 1000);
            }
            fits = v.playlist.from(thread.now(), reply.playlist(), HostClient.base(v.address), v.servedRung, v.session);
        }
        if (!fits) { // it cannot be listed: the leg counts as failed, and its session there ends
            hosts.end(v.address, v.session);
            v.phase = again ? Phase.PLAYING : Phase.ASKED;
            tell(new Call.Ended(play, leg, v.host, Outcome.FAILED, v.main != null, took, reply.load()));
            if (v.main != null) {
                byPlay.remove(play);
            }
            return;
        }
        listen(v, play);
        if (v.main == null) {
            follow(v, play, v.playlist.targetMs());
            playlists.put(v.id, v.playlist);
            if (!again) {
                figures.served(took, v.startedAt - v.takenAt);
                inserts.follow(v);
            }
            if (!v.stitched.waits) {
                answerAll(v);
            }
        }
        tell(new Call.Started(play, leg, v.host, took));
        if (reply.load() != Load.NONE) {
            tell(new Call.LoadTold(v.host, reply.load()));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {
        Viewing v = byPlay.get(play);
        if (v == null) {
            return;
        }
        v.rung = rung;
        if (v.phase != Phase.PLAYING || v.stream == null) {
            return; // it goes with the set-up
        }
        hosts.setRung(v.address, v.session, rung, reply -> thread.post(() -> {
            if (v.play != play || v.phase != Phase.PLAYING || v.rung != rung || v.stream == null) {
                return;
            }
            int before = v.servedRung;
            v.servedRung = rung;
            if (reply.how() != Outcome.SERVED || !(v.main != null ? inserts.fill(v, reply) : v.playlist.from(thread.now(),
                reply.playlist(), HostClient.base(v.address), rung, v.session))) {
                v.servedRung = before;
                v.rung = v.servedRung;
                tell(new Call.RungTold(play, v.servedRung));
            }
        }));
    }

    @Override
    public void move(PlayId play) {
        Viewing v = byPlay.get(play);
        if (v == null || v.phase != Phase.PLAYING || v.stream == null) {
            return;
        }
        closeStream(v);
        hosts.end(v.address, v.session);
        thread.post(() -> comeBack(v, play, Outcome.CALLED_OFF, true));
    }

    @Override
    public void shed(PlayId play, double holdOffMs) {
        end(play, 503, holdOffMs, "shed");
    }

    @Override
    public void error(PlayId play) {
        end(play, 502, 0, "errored");
    }

    private void end(PlayId play, int status, double holdOffMs, String how) {
        Viewing v = byPlay.remove(play);
        if (v == null) {
            return;
        }
        if (v.main != null) {
            v.phase = Phase.OVER;
            thread.post(() -> inserts.notTaken(v, Stitcher.Why.NO_HOST)); // after the desk's present call
            return;
        }
        answerAll(v, x -> {
            if (status == 503) {
                Answers.notNow(x, v.session, holdOffMs);
            } else {
                Answers.status(x, status, v.session);
            }
        });
        v.playlist.end(status, (int) Math.ceil(holdOffMs / 1000));
        over(v, v.phase == Phase.PLAYING ? how + "-again" : how);
    }

    @Override
    public void probe(HostId host) {
        InetSocketAddress to = list.address(host);
        double at = thread.now();
        probes.put(host, at);
        if (to == null) {
            thread.post(() -> probed(host, at, new HostClient.Reply(Outcome.NOT_SENT, null, Load.NONE, "")));
            return;
        }
        hosts.probe(to, reply -> thread.post(() -> probed(host, at, reply)));
        thread.at(at + hostTerms.probeMs(),
            () -> probed(host, at, new HostClient.Reply(Outcome.TIMED_OUT, null, Load.NONE, "")));
    }

    private void probed(HostId host, double at, HostClient.Reply reply) {
        if (probes.remove(host, at)) {
            tell(new Call.Probed(host, reply.how(), thread.now() - at, reply.load()));
        }
    }

    @Override
    public void followList() {
        thread.post(list::connect);
    }

    @Override
    public void wake(double time, String mark) {
        thread.at(time, () -> tell(new Call.Woke(mark)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    /** What inserts ask of the plays. */
    private final class Stitching implements Inserts.Host {
        @Override
        public void want(Viewing insert) {
            double left = insert.asked.band().hardStopMs();
            newPlay(insert, left);
            tell(new Call.WishTaken(wish(insert, false, left)));
        }

        @Override
        public void settled(Viewing main) {
            if (main.phase == Phase.PLAYING) {
                answerAll(main);
            }
        }

        @Override
        public void pause(Viewing main, double ms) {
            if (main.stream != null) {
                hosts.pause(main.address, main.session, main.servedRung, ms);
            }
        }

        @Override
        public void let(Viewing insert) {
            PlayId play = insert.play;
            if (byPlay.remove(play) == null) {
                return;
            }
            boolean played = insert.stream != null;
            insert.phase = Phase.OVER;
            closeStream(insert);
            if (played) {
                hosts.end(insert.address, insert.session);
                calledOff(insert, play);
            } else {
                letGo(insert, play);
            }
        }
    }

    /** From now on these inserts are stitched into viewings that begin. */
    void schedule(Schedule next) {
        inserts.schedule(next);
    }

    // ---- Plays that play

    private void listen(Viewing v, PlayId play) {
        v.heardAt = thread.now();
        v.stream = hosts.listen(v.address, v.session, new HostClient.Ear() {
            @Override
            public void alive() {
                thread.offer(() -> v.heardAt = thread.now());
            }

            @Override
            public void event(Event e) {
                if (e.name().equals("end")) {
                    thread.post(() -> hostEnded(v, play, e.data().equals("whole")));
                } else {
                    thread.offer(() -> figure(v, play, e));
                }
            }

            @Override
            public void lost() {
                thread.post(() -> broke(v, play));
            }
        });
        thread.at(thread.now() + hostTerms.silentMs(), () -> lookForSilence(v, play));
    }

    private void lookForSilence(Viewing v, PlayId play) {
        if (!v.play.equals(play) || v.stream == null || v.phase != Phase.PLAYING) {
            return;
        }
        if (thread.now() - v.heardAt >= hostTerms.silentMs()) {
            broke(v, play);
        } else {
            thread.at(v.heardAt + hostTerms.silentMs(), () -> lookForSilence(v, play));
        }
    }

    private void figure(Viewing v, PlayId play, Event e) {
        if (!v.play.equals(play) || v.stream == null) {
            return;
        }
        if (e.name().equals("load")) {
            tell(new Call.LoadTold(v.host, LoadField.read(e.data())));
        } else if (e.name().equals("share")) {
            try {
                double share = Double.parseDouble(e.data());
                if (share >= 0 && share <= 1) {
                    tell(new Call.ShareTold(v.host, share));
                }
            } catch (NumberFormatException bad) {
                LOG.atWarn().addKeyValue("host", v.host.value()).log("a share that is no number");
            }
        }
    }

    /** The host says that the viewer has had all of it, or has gone. */
    private void hostEnded(Viewing v, PlayId play, boolean whole) {
        if (!v.play.equals(play) || v.stream == null) {
            return;
        }
        closeStream(v);
        byPlay.remove(play);
        if (v.main != null) {
            v.phase = Phase.OVER;
            inserts.ended(v, whole);
        } else {
            if (whole) {
                v.playlist.finish();
                endOfProgramme(v);
            }
            v.playlist.end(404, 0);
            over(v, "served");
        }
        tell(new Call.Ended(play, v.legs - 1, v.host, Outcome.SERVED, true, thread.now() - v.sentAt, Load.NONE));
    }

    /** A programme that still grows at its host is followed there, as RFC 8216 has it (section 6.3.4). */
    private void follow(Viewing v, PlayId play, double waitMs) {
        if (!v.playlist.isGrowing()) {
            endOfProgramme(v);
            return;
        }
        thread.at(thread.now() + waitMs, () -> {
            if (v.play.equals(play) && v.stream != null && v.phase == Phase.PLAYING) {
                int rung = v.servedRung;
                hosts.reload(v.address, v.session, reply -> thread.post(() -> reloaded(v, play, rung, reply)));
            }
        });
    }

    private void reloaded(Viewing v, PlayId play, int rung, HostClient.Reply reply) {
        if (!v.play.equals(play) || v.stream == null || v.phase != Phase.PLAYING) {
            return;
        }
        double before = v.playlist.lengthMs();
        boolean asServed = v.servedRung == rung && v.rung == rung; // else it may be the playlist of another rung
        if (reply.how() == Outcome.SERVED && asServed && !v.playlist.grown(reply.playlist())) {
            LOG.atWarn().addKeyValue("play", v.session).addKeyValue("host", v.host.value())
                .log("a playlist that does not go on from the one before");
            hosts.end(v.address, v.session);
            broke(v, play); // guards against a viewer who waits for what never comes; it harms where one bad answer was a chance
            return;
        }
        follow(v, play, v.playlist.targetMs() / (v.playlist.lengthMs() > before ? 1 : 2));
    }

    /** Where the end of a programme that grew is known, inserts beyond it are not to be waited for. */
    private void endOfProgramme(Viewing v) {
        if (v.grew) {
            v.grew = false;
            inserts.programmeEnded(v);
        }
    }

    /** The host was lost while the play played. */
    private void broke(Viewing v, PlayId play) {
        if (!v.play.equals(play) || v.stream == null) {
            return;
        }
        closeStream(v);
        comeBack(v, play, Outcome.BROKEN_OFF, false);
    }

    /** The old play ends and, where it may, the viewing goes on as a new one; else it ends honestly. */
    private void comeBack(Viewing v, PlayId old, Outcome how, boolean moved) {
        byPlay.remove(old);
        if (v.main != null) {
            v.phase = Phase.OVER;
            tell(new Call.Ended(old, v.legs - 1, v.host, how, true, thread.now() - v.sentAt, Load.NONE));
            inserts.broke(v);
            return;
        }
        v.playlist.hold();
        boolean back = moved || inserts.comesBack(v, unlistedMs(v));
        tell(new Call.Ended(old, v.legs - 1, v.host, how, true, thread.now() - v.sentAt, Load.NONE));
        if (!back) {
            v.playlist.end(502, 0);
            over(v, "broken");
            return;
        }
        v.comebacks++;
        double left = v.asked.band().hardStopMs();
        newPlay(v, left);
        tell(new Call.WishTaken(wish(v, moved, left)));
    }

    private void closeStream(Viewing v) {
        if (v.stream != null) {
            v.stream.callOff();
            v.stream = null;
        }
    }
}
