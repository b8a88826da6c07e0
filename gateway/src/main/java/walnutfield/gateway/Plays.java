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
 * The plays of one gateway, whatever front they come by: takes them, holds who waits, joins retries, sends legs, answers
 * once, comes back. Tells the desk what happens and carries out what it decides. All on the desk's thread.
 */
final class Plays implements GatewayActions {
    private static final Logger LOG = LoggerFactory.getLogger(Plays.class);
    private static final double LEARNT_MS = 5_000; // what was learnt is kept so often
    private static final Logger ACCESS = LoggerFactory.getLogger("access");

    /** How a host is asked for its load, whatever protocol it speaks. */
    interface Prober {
        /** @param to told once, on any thread */
        void probe(InetSocketAddress host, Consumer<Came> to);
    }

    private final DeskThread thread;
    private final Terms.Front front;
    private final Terms.Hosts hostTerms;
    private final String name;
    private final CallHandler desk;
    private final Prober prober;
    private final Figures figures;
    private final Map<Viewing.Key, Viewing> open = new HashMap<>(); // emptied as viewings end
    private final Map<PlayId, Viewing> byPlay = new LinkedHashMap<>(); // emptied as plays end
    private final Map<HostId, Double> probes = new HashMap<>(); // sent when; emptied as they come in
    private ListClient list;
    private long next = 1;
    private int unanswered;
    private volatile int openPlays;

    /**
     * @param name   of this gateway's present life: no other gateway, nor this one started again, has the same
     * @param beside carries out what is decided beside the module
     */
    Plays(
            String name,
            DeskThread thread,
            Prober prober,
            Terms.Front front,
            Terms.Hosts hostTerms,
            Figures figures,
            GatewayServer.DeskMaker maker,
            InsertActions beside) {
        this.figures = figures;
        this.name = name;
        this.thread = thread;
        this.prober = prober;
        this.front = front;
        this.hostTerms = hostTerms;
        desk = new ReentrancyGuard(maker.make(this, beside));
    }

    void begin(ListClient with) {
        list = with;
        list.remembered();
        thread.at(thread.now() + LEARNT_MS, this::keepOften);
    }

    private void keepOften() {
        keepLearnt();
        thread.at(thread.now() + LEARNT_MS, this::keepOften);
    }

    /** Now and then, and once more when the gateway ends. */
    void keepLearnt() {
        list.keepLearnt(() -> desk.learnt(thread.now()));
    }

    void tell(Call call) {
        desk.handle(thread.now(), call);
        openPlays = byPlay.size();
    }

    /**
     * The list has changed. Guards against a leg that waited for a connection and leaves for a host that drains by
     * now: it is taken back unsent. It harms where the host would have served it within its grace.
     */
    void listChanged() {
        for (Viewing v : new ArrayList<>(byPlay.values())) {
            if (v.legOut && v.leg != null && !list.isReady(v.host) && v.leg.callOffUnsent()) {
                legOver(v, v.play, v.legs - 1, Came.not(Outcome.NOT_SENT, "drains"));
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

    /** Where a host is; null for one that is not listed. */
    InetSocketAddress address(HostId host) {
        return list.address(host);
    }

    /** Whether that play is the viewing's present one, and plays on a host that it hears of. */
    boolean isPlaying(Viewing v, PlayId play) {
        return v.play.equals(play) && v.isListening() && v.phase == Phase.PLAYING;
    }

    // ---- Viewers

    /** A viewer asked at that time; a second request for what is open joins it. */
    void asked(Asker x, Viewing.Key key, double at, Supplier<Viewing> make) {
        Viewing v = open.get(key);
        if (v != null && v.answered) {
            v.answer(x);
            return;
        }
        if (v != null) {
            if (v.waiting.size() >= front.joined()) {
                x.refuse(429, null, 0);
            } else {
                await(x, v);
            }
            return;
        }
        v = x.isDone() ? null : make.get();
        double left = v == null ? 0 : v.asked.band().deadlineMs() - (thread.now() - at);
        if (left <= 0) { // it waited too long for the desk: it is not taken
            if (!x.isDone()) {
                x.refuse(503, null, front.retryAfterS() * 1000.0);
            }
            return;
        }
        open.put(key, v);
        Viewing taken = v;
        thread.at(at + v.asked.band().deadlineMs(), () -> overdue(taken));
        newPlay(v);
        await(x, v);
        tell(new Call.PlayRequested(wish(v, false, left)));
    }

    /** A wish of the gateway's own. */
    void want(Viewing v) {
        double left = v.asked.band().deadlineMs();
        newPlay(v);
        tell(new Call.PlayRequested(wish(v, false, left)));
    }

    private void await(Asker x, Viewing v) {
        v.waiting.add(x);
        unanswered++;
        x.onGone(() -> thread.post(() -> viewerGone(x, v)));
    }

    private void newPlay(Viewing v) {
        v.play = new PlayId(next++);
        v.first = v.first == null ? v.play : v.first;
        v.session = name + "-" + v.play.value();
        v.legs = 0;
        v.rung = v.asked.band().minRung(); // the module names another only where it is another
        v.servedRung = v.rung;
        byPlay.put(v.play, v);
    }

    private PlayRequest wish(Viewing v, boolean moved, double leftMs) {
        Viewing.Asked a = v.asked;
        Viewing.Piece p = v.piece();
        return new PlayRequest(
                v.play,
                a.viewer(),
                a.title(),
                a.customer(),
                a.band(),
                p.firstCell(),
                p.holders(),
                a.bestRung(),
                moved,
                p.lengthMs(),
                leftMs,
                v.isOwn() || v.phase == Phase.PLAYING);
    }

    private void viewerGone(Asker x, Viewing v) {
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
            answerAll(v, x -> x.refuse(504, v.session, 0));
            if (v.phase == Phase.ASKED) {
                giveUp(v, "overdue");
            }
        }
    }

    /** Nobody wants it any more, and it does not play. */
    void giveUp(Viewing v, String end) {
        PlayId play = v.play;
        byPlay.remove(play);
        over(v, end);
        letGo(v, play);
    }

    /** Nobody wants it any more: what plays on a host ends there. */
    void leave(Viewing v, String end) {
        if (!v.isListening()) { // it waits for a place to come back to
            giveUp(v, end);
            return;
        }
        PlayId play = v.play;
        byPlay.remove(play);
        v.leave(true);
        over(v, end);
        calledOff(v, play);
    }

    /** A wish of the gateway's own is of no use any more. */
    void let(Viewing v) {
        PlayId play = v.play;
        if (byPlay.remove(play) == null) {
            return;
        }
        boolean played = v.isListening();
        v.phase = Phase.OVER;
        if (played) {
            v.leave(true);
            calledOff(v, play);
        } else {
            letGo(v, play);
        }
    }

    /** A play that does not play is let go, and with it the leg that may be out. */
    private void letGo(Viewing v, PlayId play) {
        tell(new Call.ViewerLeft(play));
        if (v.legOut) {
            v.legOut = false;
            if (v.leg != null) {
                v.leg.callOff();
            }
            calledOff(v, play);
        }
    }

    private void calledOff(Viewing v, PlayId play) {
        tell(new Call.LegEnded(
                play, v.legs - 1, v.host, Outcome.CANCELLED, true, thread.now() - v.sentAt, LoadReport.NONE));
    }

    private void answerAll(Viewing v, Consumer<Asker> answer) {
        List<Asker> all = new ArrayList<>(v.waiting);
        v.waiting.clear();
        unanswered -= all.size();
        for (Asker x : all) {
            if (!x.isDone()) {
                answer.accept(x);
            }
        }
    }

    /** Tells all who wait that it plays; who asks later is told at once. */
    void answerAll(Viewing v) {
        v.answered = true;
        answerAll(v, v::answer);
    }

    /** The viewing's last line. */
    private void over(Viewing v, String end) {
        v.phase = Phase.OVER;
        answerAll(v, x -> x.refuse(502, v.session, 0)); // who waits for an insert before a play that is lost
        v.over();
        open.remove(v.key(), v);
        figures.over(end, v.asked.band().name());
        ACCESS.atInfo()
                .addKeyValue("play", v.session)
                .addKeyValue("end", end)
                .addKeyValue("front", v.key().front())
                .addKeyValue("band", v.asked.band().name())
                .addKeyValue("title", v.asked.title().value())
                .addKeyValue("host", v.host == null ? "-" : v.host.value())
                .addKeyValue("legs", v.legs)
                .addKeyValue("rung", v.servedRung)
                .addKeyValue("startMs", v.startedAt > 0 ? Math.round(v.startedAt - v.takenAt) : -1)
                .addKeyValue("totalMs", Math.round(thread.now() - v.takenAt))
                .addKeyValue("comebacks", v.comebacks)
                .log("play");
    }

    // ---- What the desk decides

    @Override
    public void setUpLeg(PlayId play, HostId host, double patienceMs) {
        Viewing v = byPlay.get(play);
        if (v == null) {
            return;
        }
        int leg = v.legs++;
        v.host = host;
        v.address = list.address(host);
        v.sentAt = thread.now();
        v.legOut = true;
        v.leg = null;
        if (v.address == null) {
            thread.post(() -> legOver(v, play, leg, Came.not(Outcome.NOT_SENT, "no address")));
            return;
        }
        v.leg = v.send(leg, came -> thread.post(() -> legOver(v, play, leg, came)));
        thread.at(thread.now() + patienceMs, () -> {
            if (isOut(v, play, leg)) {
                v.leg.callOff();
                legOver(v, play, leg, Came.not(v.leg.wentOut() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, "patience"));
            }
        });
    }

    private boolean isOut(Viewing v, PlayId play, int leg) {
        return v.legOut && v.play.equals(play) && v.legs == leg + 1;
    }

    private void legOver(Viewing v, PlayId play, int leg, Came came) {
        if (!isOut(v, play, leg)) {
            return; // it crossed its time-out or the viewer's going
        }
        v.legOut = false;
        double took = thread.now() - v.sentAt;
        if (came.how() != Outcome.SERVED) {
            LOG.atDebug()
                    .addKeyValue("play", v.session)
                    .addKeyValue("leg", leg)
                    .addKeyValue("host", v.host.value())
                    .addKeyValue("how", came.how())
                    .addKeyValue("why", came.why())
                    .log("leg failed");
            tell(new Call.LegEnded(play, leg, v.host, came.how(), false, took, came.load()));
            return;
        }
        boolean again = v.phase == Phase.PLAYING;
        v.phase = Phase.PLAYING;
        v.startedAt = thread.now();
        v.servedRung = v.rung;
        if (!came.carry().getAsBoolean()) { // it cannot be played: the leg counts as failed, and its session there ends
            v.leave(true);
            v.phase = again ? Phase.PLAYING : Phase.ASKED;
            tell(new Call.LegEnded(play, leg, v.host, Outcome.FAILED, v.isOwn(), took, came.load()));
            if (v.isOwn()) {
                byPlay.remove(play);
            }
            return;
        }
        v.listen();
        v.started(again, took);
        if (!again && !v.isOwn()) {
            figures.served(took, v.startedAt - v.takenAt);
        }
        tell(new Call.LegStarted(play, leg, v.host, took));
        if (came.load() != LoadReport.NONE) {
            tell(new Call.LoadReported(v.host, came.load()));
        }
    }

    @Override
    public void setRung(PlayId play, int rung) {
        Viewing v = byPlay.get(play);
        if (v == null) {
            return;
        }
        v.rung = rung;
        if (v.phase == Phase.PLAYING && v.isListening()) { // else it goes with the set-up
            v.change();
        }
    }

    /** What came of a change of rung; a later change, or another play, makes it of no use. */
    void rungServed(Viewing v, PlayId play, int rung, Came came) {
        if (!isPlaying(v, play) || v.rung != rung) {
            return;
        }
        int before = v.servedRung;
        v.servedRung = rung;
        if (came.how() != Outcome.SERVED || !came.carry().getAsBoolean()) {
            v.servedRung = before;
            v.rung = before;
            tell(new Call.RungReported(play, before));
        }
    }

    @Override
    public void movePlay(PlayId play) {
        Viewing v = byPlay.get(play);
        if (v == null || v.phase != Phase.PLAYING || !v.isListening()) {
            return;
        }
        v.leave(true);
        thread.post(() -> comeBack(v, play, Outcome.CANCELLED, true));
    }

    @Override
    public void shedPlay(PlayId play, double holdOffMs) {
        end(play, 503, holdOffMs, "shed");
    }

    @Override
    public void failPlay(PlayId play) {
        end(play, 502, 0, "errored");
    }

    private void end(PlayId play, int status, double holdOffMs, String how) {
        Viewing v = byPlay.remove(play);
        if (v == null || v.refused()) {
            return;
        }
        answerAll(v, x -> x.refuse(status, v.session, holdOffMs));
        v.ended(status, holdOffMs);
        over(v, v.phase == Phase.PLAYING ? how + "-again" : how);
    }

    @Override
    public void probeHost(HostId host) {
        InetSocketAddress to = list.address(host);
        double at = thread.now();
        probes.put(host, at);
        if (to == null) {
            thread.post(() -> probed(host, at, Came.not(Outcome.NOT_SENT, "")));
            return;
        }
        prober.probe(to, came -> thread.post(() -> probed(host, at, came)));
        thread.at(at + hostTerms.probeMs(), () -> probed(host, at, Came.not(Outcome.TIMED_OUT, "")));
    }

    private void probed(HostId host, double at, Came came) {
        if (probes.remove(host, at)) {
            tell(new Call.ProbeCompleted(host, came.how(), thread.now() - at, came.load()));
        }
    }

    @Override
    public void watchHostList() {
        thread.post(list::connect);
    }

    @Override
    public void setTimer(double time, String mark) {
        thread.at(time, () -> tell(new Call.TimerFired(mark)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    // ---- Plays that play

    /** The host says that the viewer has had all of it, or has gone. */
    void hostEnded(Viewing v, PlayId play, boolean whole) {
        if (!v.play.equals(play) || !v.isListening()) {
            return;
        }
        v.leave(false);
        byPlay.remove(play);
        v.hostEnded(whole);
        if (!v.isOwn()) {
            over(v, "served");
        }
        tell(new Call.LegEnded(
                play, v.legs - 1, v.host, Outcome.SERVED, true, thread.now() - v.sentAt, LoadReport.NONE));
    }

    /** The host was lost while the play played. */
    void broke(Viewing v, PlayId play) {
        if (v.play.equals(play) && v.isListening()) {
            v.leave(false);
            comeBack(v, play, Outcome.CONNECTION_LOST, false);
        }
    }

    /** The old play ends and, where it may, the viewing goes on as a new one; else it ends honestly. */
    private void comeBack(Viewing v, PlayId old, Outcome how, boolean moved) {
        byPlay.remove(old);
        v.paused();
        boolean back = v.comesBack(moved);
        tell(new Call.LegEnded(old, v.legs - 1, v.host, how, true, thread.now() - v.sentAt, LoadReport.NONE));
        if (!back) {
            v.brokenOff();
            if (!v.isOwn()) {
                over(v, "broken");
            }
            return;
        }
        v.comebacks++;
        double left = v.asked.band().deadlineMs();
        newPlay(v);
        tell(new Call.PlayRequested(wish(v, moved, left)));
    }
}
