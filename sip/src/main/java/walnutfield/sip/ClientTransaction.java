package walnutfield.sip;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;

/** A client transaction (RFC 3261, section 17.1) with the Accepted state of RFC 6026. */
public final class ClientTransaction {
    /**
     * The transaction user, which sent the request. Either its final response or its failure is reported, once; an
     * INVITE may get further 2xx responses.
     */
    public interface User {
        /** Ignores all responses. */
        User NONE = new User() {
            @Override
            public void onFinalResponse(SIPResponse response) {}

            @Override
            public void onFailure(boolean provisionalReceived) {}
        };

        /** A provisional response arrived. */
        default void onProvisional(SIPResponse response) {}

        /** The final response arrived. */
        void onFinalResponse(SIPResponse response);

        /**
         * No final response arrived within 64 T1, or the connection was lost.
         *
         * @param provisionalReceived whether a provisional response had arrived
         */
        void onFailure(boolean provisionalReceived);

        /** A further 2xx to an INVITE, retransmitted or from another branch of a fork: it needs its own ACK. */
        default void onFurther2xx(SIPResponse response) {}
    }

    private enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        TERMINATED
    }

    private final SIPRequest request;
    private final Flow flow;
    private final User user;
    private final Timers timers;
    private final TransactionTimers running;
    private final Transactions.RetransmissionCounter retransmissions;
    private final Runnable onTerminated;
    private State state = State.CALLING;
    private SIPRequest ack;
    private boolean cancelPending; // a CANCEL waits for a provisional response

    ClientTransaction(
            SIPRequest request,
            Flow flow,
            User user,
            Timers timers,
            Transactions.RetransmissionCounter retransmissions,
            Runnable onTerminated) {
        this.request = request;
        this.flow = flow;
        this.user = user;
        this.timers = timers;
        running = new TransactionTimers(timers);
        this.retransmissions = retransmissions;
        this.onTerminated = onTerminated;
    }

    public SIPRequest request() {
        return request;
    }

    Flow flow() {
        return flow;
    }

    private boolean isInvite() {
        return request.getMethod().equals("INVITE");
    }

    /** Sends the request and starts its timers. */
    void start() {
        flow.send(SipCodec.encode(request));
        if (!flow.isReliable()) {
            scheduleRetransmission(timers.t1()); // timer A or E
        }
        running.after(
                timers.timeout64T1(),
                () -> { // timer B or F
                    if (state == State.CALLING || state == State.PROCEEDING && !isInvite()) {
                        fail(state == State.PROCEEDING);
                    }
                });
    }

    private void scheduleRetransmission(double delayMs) {
        running.after(delayMs, () -> {
            if (cancelPending) {
                return; // a retransmission could reach its host after the play was sent to another host
            }
            boolean unanswered = state == State.CALLING || state == State.PROCEEDING && !isInvite();
            if (unanswered) {
                retransmissions.increment();
                flow.send(SipCodec.encode(request));
                scheduleRetransmission(
                        isInvite()
                                ? delayMs * 2
                                : state == State.PROCEEDING ? timers.t2() : Math.min(delayMs * 2, timers.t2()));
            }
        });
    }

    private void fail(boolean provisionalReceived) {
        terminate();
        user.onFailure(provisionalReceived);
    }

    /** The connection to the peer was lost. */
    void flowFailed() {
        if (state == State.CALLING || state == State.PROCEEDING) {
            fail(state == State.PROCEEDING);
        }
    }

    private void terminate() {
        state = State.TERMINATED;
        running.cancel();
        onTerminated.run();
    }

    /**
     * Returns true if a CANCEL may be sent now. Before the first response it may not (section 9.1): then it is
     * remembered until a provisional response arrives, and the request is not retransmitted meanwhile.
     */
    boolean requestCancel() {
        cancelPending = state == State.CALLING;
        return state == State.PROCEEDING;
    }

    /** Handles a response; returns true if it is the provisional response that a CANCEL waited for. */
    boolean responseReceived(SIPResponse response) {
        int status = response.getStatusCode();
        if (state == State.TERMINATED) {
            return false;
        }
        if (status < 200) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.PROCEEDING;
                user.onProvisional(response);
                boolean cancelNow = cancelPending;
                cancelPending = false;
                return cancelNow;
            }
            return false;
        }
        if (!isInvite()) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.COMPLETED;
                terminateAfter(timers.t4()); // timer K
                user.onFinalResponse(response);
            }
        } else if (status < 300) {
            boolean first = state == State.CALLING || state == State.PROCEEDING;
            if (first) {
                state = State.ACCEPTED;
                running.after(timers.timeout64T1(), this::terminate); // timer M
                user.onFinalResponse(response);
            } else if (state == State.ACCEPTED) {
                user.onFurther2xx(response);
            }
        } else {
            boolean first = state == State.CALLING || state == State.PROCEEDING;
            if (first) {
                state = State.COMPLETED;
                ack = Transactions.ackOf(request, response);
                terminateAfter(timers.timeout64T1()); // timer D
            }
            if (state == State.COMPLETED) {
                flow.send(SipCodec.encode(ack));
            }
            if (first) {
                user.onFinalResponse(response);
            }
        }
        return false;
    }

    /** Absorbs retransmissions for a time over an unreliable transport; ends immediately over a reliable one. */
    private void terminateAfter(double delayMs) {
        if (flow.isReliable()) {
            terminate();
        } else {
            running.after(delayMs, this::terminate);
        }
    }
}
