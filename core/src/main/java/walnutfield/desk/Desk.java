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
 * Hosts the decisions of one gateway: takes calls with their time, passes them to the {@link Director} and the
 * {@link InsertCoordinator}, and hands on what those decide. The same calls at the same times give the same results in
 * any program. The desk has no clock, thread or I/O of its own and must be used by one thread at a time.
 */
public final class Desk implements CallHandler {
    private final Director director;
    private final GatewayActions gatewayActions;
    private final InsertActions insertActions;
    private final InsertCoordinator insertCoordinator;
    private final Listener listener;
    private double now;

    /**
     * Makes a desk without inserts and without recovery of plays.
     *
     * @param gatewayActions carries out the results within the call that led to them; must not call back into the desk
     * @param listener       observes calls and results; null for none
     */
    public Desk(
            GatewayIdentity identity,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy retryPolicy,
            SlowStartPolicy slowStart,
            SheddingPolicy shedding,
            LoadReportSettings loadReports,
            MoveCosts moveCosts,
            List<TenantQuota> quotas,
            GatewayActions gatewayActions,
            Listener listener) {
        this(
                identity,
                ladder,
                links,
                retryPolicy,
                slowStart,
                shedding,
                loadReports,
                moveCosts,
                quotas,
                gatewayActions,
                InsertActions.NONE,
                listener);
    }

    /**
     * @param gatewayActions carries out the results within the call that led to them; must not call back into the desk
     * @param insertActions  carries out what is decided outside the Director, under the same rule
     * @param listener       observes calls and results; null for none
     */
    public Desk(
            GatewayIdentity identity,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy retryPolicy,
            SlowStartPolicy slowStart,
            SheddingPolicy shedding,
            LoadReportSettings loadReports,
            MoveCosts moveCosts,
            List<TenantQuota> quotas,
            GatewayActions gatewayActions,
            InsertActions insertActions,
            Listener listener) {
        this.gatewayActions = gatewayActions;
        this.insertActions = insertActions;
        insertCoordinator = new InsertCoordinator(listener == null ? insertActions : new ObservedInsertActions());
        this.listener = listener;
        director = new Director(
                identity,
                ladder,
                links,
                retryPolicy,
                slowStart,
                shedding,
                loadReports,
                moveCosts,
                quotas,
                listener == null ? gatewayActions : new ObservedGatewayActions());
    }

    /** Sets the tracer that the Director explains its choices to; null for none. */
    public void traceTo(DecisionTracer tracer) {
        director.traceTo(tracer);
    }

    @Override
    public void handle(double time, Call call) {
        now = time;
        if (listener != null) {
            listener.onCall(time, call);
        }
        call.applyTo(director, time);
        call.applyTo(insertCoordinator, time);
    }

    @Override
    public LearnedState learnedState(double time) {
        return director.learnedState(time);
    }

    /** Shows the listener each result of the Director before it is carried out. */
    private final class ObservedGatewayActions implements GatewayActions {
        private void publish(Result result) {
            listener.onResult(now, result);
            result.applyTo(gatewayActions);
        }

        @Override
        public void setUpLeg(PlayId play, HostId host, double timeoutMs) {
            publish(new Result.SetUpLeg(play, host, timeoutMs));
        }

        @Override
        public void setRung(PlayId play, int rung) {
            publish(new Result.SetRung(play, rung));
        }

        @Override
        public void movePlay(PlayId play) {
            publish(new Result.MovePlay(play));
        }

        @Override
        public void shedPlay(PlayId play, double retryAfterMs) {
            publish(new Result.ShedPlay(play, retryAfterMs));
        }

        @Override
        public void failPlay(PlayId play) {
            publish(new Result.FailPlay(play));
        }

        @Override
        public void probeHost(HostId host) {
            publish(new Result.ProbeHost(host));
        }

        @Override
        public void watchHostList() {
            publish(new Result.WatchHostList());
        }

        @Override
        public void setTimer(double time, String timer) {
            publish(new Result.SetTimer(time, timer));
        }

        @Override
        public void log(String line) {
            publish(new Result.WriteLog(line));
        }
    }

    /** Shows the listener each result of the insert coordinator before it is carried out. */
    private final class ObservedInsertActions implements InsertActions {
        private void publish(Result result) {
            listener.onResult(now, result);
            result.applyTo(insertActions);
        }

        @Override
        public void insertsPlanned(PlayId viewing, List<Insert> inserts) {
            publish(new Result.InsertsPlanned(viewing, inserts));
        }

        @Override
        public void requestInsert(PlayId viewing, int slot, TrafficClass trafficClass) {
            publish(new Result.RequestInsert(viewing, slot, trafficClass));
        }

        @Override
        public void retryInsert(PlayId viewing, int slot, double time) {
            publish(new Result.RetryInsert(viewing, slot, time));
        }

        @Override
        public void insertReported(PlayId viewing, int slot, InsertId insert, String report) {
            publish(new Result.InsertReported(viewing, slot, insert, report));
        }

        @Override
        public void playRecovery(PlayId play, boolean recover) {
            publish(new Result.PlayRecovery(play, recover));
        }
    }
}
