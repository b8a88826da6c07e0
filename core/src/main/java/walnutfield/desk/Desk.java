package walnutfield.desk;

import java.util.List;
import walnutfield.decide.Director;
import walnutfield.play.DecisionTracer;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.LearnedState;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlayId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantQuota;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/**
 * One gateway's decisions. It takes calls with their time, passes them to the module, and hands on what that
 * decides. The same calls at the same times give the same results, wherever the desk stands. It holds no clock,
 * thread or I/O, and is to be used by one thread at a time.
 */
public final class Desk implements CallHandler {
    private final Director director;
    private final GatewayActions out;
    private final InsertActions carrier;
    private final Stitching stitching;
    private final Listener listener;
    private double now;

    /**
     * @param out      carries the results out, within the call that led to them; it must not call back into the desk
     * @param listener sees calls and results; null for none
     */
    public Desk(
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy legs,
            SlowStartPolicy cold,
            SheddingPolicy sheds,
            LoadReportSettings reports,
            MoveCosts moves,
            List<TenantQuota> shares,
            GatewayActions out,
            Listener listener) {
        this(post, ladder, links, legs, cold, sheds, reports, moves, shares, out, InsertActions.NONE, listener);
    }

    /**
     * @param carrier carries out what is decided beside the module; the same holds for it as for {@code out}
     */
    public Desk(
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy legs,
            SlowStartPolicy cold,
            SheddingPolicy sheds,
            LoadReportSettings reports,
            MoveCosts moves,
            List<TenantQuota> shares,
            GatewayActions out,
            InsertActions carrier,
            Listener listener) {
        this.out = out;
        this.carrier = carrier;
        stitching = new Stitching(listener == null ? carrier : new Carried());
        this.listener = listener;
        director = new Director(
                post, ladder, links, legs, cold, sheds, reports, moves, shares, listener == null ? out : new Told());
    }

    /** Has the module tell why it chooses; null for nobody. */
    public void watch(DecisionTracer witness) {
        director.traceTo(witness);
    }

    /**
     * Takes a call.
     *
     * @param time when it happened, in ms; never before that of the call before
     */
    @Override
    public void handle(double time, Call call) {
        now = time;
        if (listener != null) {
            listener.called(time, call);
        }
        call.tell(director, time);
        call.tell(stitching, time);
    }

    @Override
    public LearnedState learnt(double time) {
        return director.learnedState(time);
    }

    /** Lets the listener see each result before it is carried out. */
    private final class Told implements GatewayActions {
        private void pass(Result result) {
            listener.resulted(now, result);
            result.carryOut(out);
        }

        @Override
        public void setUpLeg(PlayId play, HostId host, double patienceMs) {
            pass(new Result.SetUpLeg(play, host, patienceMs));
        }

        @Override
        public void setRung(PlayId play, int rung) {
            pass(new Result.SetRung(play, rung));
        }

        @Override
        public void movePlay(PlayId play) {
            pass(new Result.MovePlay(play));
        }

        @Override
        public void shedPlay(PlayId play, double holdOffMs) {
            pass(new Result.ShedPlay(play, holdOffMs));
        }

        @Override
        public void failPlay(PlayId play) {
            pass(new Result.FailPlay(play));
        }

        @Override
        public void probeHost(HostId host) {
            pass(new Result.ProbeHost(host));
        }

        @Override
        public void watchHostList() {
            pass(new Result.WatchHostList());
        }

        @Override
        public void setTimer(double time, String mark) {
            pass(new Result.SetTimer(time, mark));
        }

        @Override
        public void log(String line) {
            pass(new Result.WriteLog(line));
        }
    }

    /** The same for what is decided beside the module. */
    private final class Carried implements InsertActions {
        private void pass(Result result) {
            listener.resulted(now, result);
            result.carryOut(carrier);
        }

        @Override
        public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
            pass(new Result.InsertsPlanned(viewing, inserts));
        }

        @Override
        public void requestInsert(PlayId viewing, int slot, TrafficClass band) {
            pass(new Result.RequestInsert(viewing, slot, band));
        }

        @Override
        public void retryInsert(PlayId viewing, int slot, double at) {
            pass(new Result.RetryInsert(viewing, slot, at));
        }

        @Override
        public void insertReported(PlayId viewing, int slot, InsertId insert, String what) {
            pass(new Result.InsertReported(viewing, slot, insert, what));
        }

        @Override
        public void playRecovery(PlayId play, boolean back) {
            pass(new Result.PlayRecovery(play, back));
        }
    }
}
