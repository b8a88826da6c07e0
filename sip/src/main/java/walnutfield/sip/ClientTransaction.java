package walnutfield.sip;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;

/** A request of ours on its way to its final response (RFC 3261, section 17.1, with RFC 6026's Accepted). */
public final class ClientTransaction {
    /** Who sent it. Exactly one of final response and failure is told, but for further 2xx to an INVITE. */
    public interface User {
        /** Makes nothing of what comes. */
        User NONE = new User() {
            @Override
            public void done(SIPResponse r) {}

            @Override
            public void failed(boolean heard) {}
        };

        default void provisional(SIPResponse r) {}

        void done(SIPResponse r);

        /** No final response came in 64 round trips, or the way is broken; nothing was heard where {@code heard} is false. */
        void failed(boolean heard);

        /** A 2xx to an INVITE once more, or of another branch of a fork: it wants its own ACK. */
        default void again(SIPResponse r) {}
    }

    private enum State {
        CALLING,
        PROCEEDING,
        COMPLETED,
        ACCEPTED,
        OVER
    }

    private final SIPRequest request;
    private final Flow flow;
    private final User user;
    private final Timers timers;
    private final Transactions.Count count;
    private final Runnable over;
    private State state = State.CALLING;
    private SIPRequest ack;
    private boolean cancels;

    ClientTransaction(
            SIPRequest request, Flow flow, User user, Timers timers, Transactions.Count count, Runnable over) {
        this.request = request;
        this.flow = flow;
        this.user = user;
        this.timers = timers;
        this.count = count;
        this.over = over;
    }

    public SIPRequest request() {
        return request;
    }

    Flow flow() {
        return flow;
    }

    private boolean invite() {
        return request.getMethod().equals("INVITE");
    }

    void start() {
        flow.send(SipText.write(request));
        if (!flow.isReliable()) {
            again(timers.t1()); // A or E
        }
        timers.in(
                timers.long64(),
                () -> { // B or F
                    if (state == State.CALLING || state == State.PROCEEDING && !invite()) {
                        fail(state == State.PROCEEDING);
                    }
                });
    }

    private void again(double afterMs) {
        timers.in(afterMs, () -> {
            if (cancels) {
                return; // guards against a copy that gets to its host when another was sent the play
            }
            boolean asks = state == State.CALLING || state == State.PROCEEDING && !invite();
            if (asks) {
                count.again();
                flow.send(SipText.write(request));
                again(
                        invite()
                                ? afterMs * 2
                                : state == State.PROCEEDING ? timers.t2() : Math.min(afterMs * 2, timers.t2()));
            }
        });
    }

    private void fail(boolean heard) {
        end();
        user.failed(heard);
    }

    /** The way is broken. */
    void broken() {
        if (state == State.CALLING || state == State.PROCEEDING) {
            fail(state == State.PROCEEDING);
        }
    }

    private void end() {
        state = State.OVER;
        over.run();
    }

    /**
     * True where a CANCEL may be sent now; else it is remembered until something is heard (section 9.1), and the request is
     * not repeated meanwhile.
     */
    boolean mayCancel() {
        cancels = state == State.CALLING;
        return state == State.PROCEEDING;
    }

    /** True where a CANCEL waits for this. */
    boolean heard(SIPResponse r) {
        int status = r.getStatusCode();
        if (state == State.OVER) {
            return false;
        }
        if (status < 200) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.PROCEEDING;
                user.provisional(r);
                boolean now = cancels;
                cancels = false;
                return now;
            }
            return false;
        }
        if (!invite()) {
            if (state == State.CALLING || state == State.PROCEEDING) {
                state = State.COMPLETED;
                lingers(timers.t4()); // K
                user.done(r);
            }
        } else if (status < 300) {
            boolean first = state == State.CALLING || state == State.PROCEEDING;
            if (first) {
                state = State.ACCEPTED;
                timers.in(timers.long64(), this::end); // M
                user.done(r);
            } else if (state == State.ACCEPTED) {
                user.again(r);
            }
        } else {
            boolean first = state == State.CALLING || state == State.PROCEEDING;
            if (first) {
                state = State.COMPLETED;
                ack = Transactions.ackOf(request, r);
                lingers(timers.long64()); // D
            }
            if (state == State.COMPLETED) {
                flow.send(SipText.write(ack));
            }
            if (first) {
                user.done(r);
            }
        }
        return false;
    }

    private void lingers(double ms) {
        if (flow.isReliable()) {
            end();
        } else {
            timers.in(ms, this::end);
        }
    }
}
