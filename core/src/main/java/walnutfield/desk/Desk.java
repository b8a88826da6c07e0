package walnutfield.desk;

import java.util.List;
import walnutfield.decide.Director;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.Learnt;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.MoveTerms;
import walnutfield.play.PlayId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;
import walnutfield.play.Witness;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/**
 * One gateway's decisions. It takes calls with their time, passes them to the module, and hands on what that
 * decides. The same calls at the same times give the same results, wherever the desk stands. It holds no clock,
 * thread or I/O, and is to be used by one thread at a time.
 */
public final class Desk implements Taker {
    private final Director director;
    private final Gateway out;
    private final Carrier carrier;
    private final Stitching stitching;
    private final Listener listener;
    private double now;

    /**
     * @param out      carries the results out, within the call that led to them; it must not call back into the desk
     * @param listener sees calls and results; null for none
     */
    public Desk(
            Post post,
            Ladder ladder,
            LinkTerms links,
            LegTerms legs,
            ColdTerms cold,
            ShedTerms sheds,
            ReportTerms reports,
            MoveTerms moves,
            List<Share> shares,
            Gateway out,
            Listener listener) {
        this(post, ladder, links, legs, cold, sheds, reports, moves, shares, out, Carrier.NONE, listener);
    }

    /**
     * @param carrier carries out what is decided beside the module; the same holds for it as for {@code out}
     */
    public Desk(
            Post post,
            Ladder ladder,
            LinkTerms links,
            LegTerms legs,
            ColdTerms cold,
            ShedTerms sheds,
            ReportTerms reports,
            MoveTerms moves,
            List<Share> shares,
            Gateway out,
            Carrier carrier,
            Listener listener) {
        this.out = out;
        this.carrier = carrier;
        stitching = new Stitching(listener == null ? carrier : new Carried());
        this.listener = listener;
        director = new Director(
                post, ladder, links, legs, cold, sheds, reports, moves, shares, listener == null ? out : new Told());
    }

    /** Has the module tell why it chooses; null for nobody. */
    public void watch(Witness witness) {
        director.watch(witness);
    }

    /**
     * Takes a call.
     *
     * @param time when it happened, in ms; never before that of the call before
     */
    @Override
    public void take(double time, Call call) {
        now = time;
        if (listener != null) {
            listener.called(time, call);
        }
        call.tell(director, time);
        call.tell(stitching, time);
    }

    @Override
    public Learnt learnt(double time) {
        return director.learnt(time);
    }

    /** Lets the listener see each result before it is carried out. */
    private final class Told implements Gateway {
        private void pass(Result result) {
            listener.resulted(now, result);
            result.carryOut(out);
        }

        @Override
        public void setUp(PlayId play, HostId host, double patienceMs) {
            pass(new Result.SetUp(play, host, patienceMs));
        }

        @Override
        public void setRung(PlayId play, int rung) {
            pass(new Result.SetRung(play, rung));
        }

        @Override
        public void move(PlayId play) {
            pass(new Result.Move(play));
        }

        @Override
        public void shed(PlayId play, double holdOffMs) {
            pass(new Result.Shed(play, holdOffMs));
        }

        @Override
        public void error(PlayId play) {
            pass(new Result.Errored(play));
        }

        @Override
        public void probe(HostId host) {
            pass(new Result.Probe(host));
        }

        @Override
        public void followList() {
            pass(new Result.FollowList());
        }

        @Override
        public void wake(double time, String mark) {
            pass(new Result.Wake(time, mark));
        }

        @Override
        public void log(String line) {
            pass(new Result.Noted(line));
        }
    }

    /** The same for what is decided beside the module. */
    private final class Carried implements Carrier {
        private void pass(Result result) {
            listener.resulted(now, result);
            result.carryOut(carrier);
        }

        @Override
        public void planned(PlayId viewing, List<Insert> inserts) {
            pass(new Result.Planned(viewing, inserts));
        }

        @Override
        public void askFor(PlayId viewing, int slot, Band band) {
            pass(new Result.AskFor(viewing, slot, band));
        }

        @Override
        public void askAgain(PlayId viewing, int slot, double at) {
            pass(new Result.AskAgain(viewing, slot, at));
        }

        @Override
        public void reported(PlayId viewing, int slot, InsertId insert, String what) {
            pass(new Result.Reported(viewing, slot, insert, what));
        }

        @Override
        public void comesBack(PlayId play, boolean back) {
            pass(new Result.ComesBack(play, back));
        }
    }
}
