package walnutfield.sip;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;

/** A request of another's on its way to our final response (RFC 3261, section 17.2, with RFC 6026's Accepted). */
public final class ServerTransaction {
    private enum State {
        PROCEEDING,
        COMPLETED,
        CONFIRMED,
        ACCEPTED,
        OVER
    }

    private final SIPRequest request;
    private final Flow flow;
    private final Timers timers;
    private final Transactions.Count count;
    private final Runnable over;
    private State state = State.PROCEEDING;
    private byte[] last;
    private int status;
    private boolean acked;
    private Runnable unacked;
    private String dialog = "";

    ServerTransaction(SIPRequest request, Flow flow, Timers timers, Transactions.Count count, Runnable over) {
        this.request = request;
        this.flow = flow;
        this.timers = timers;
        this.count = count;
        this.over = over;
    }

    public SIPRequest request() {
        return request;
    }

    public Flow flow() {
        return flow;
    }

    /** The dialog in which its 2xx waits for an ACK; empty for none. */
    String dialog() {
        return dialog;
    }

    void in(String name) {
        dialog = name;
    }

    /** The status of the final response; 0 before it. */
    public int finalStatus() {
        return status;
    }

    private boolean invite() {
        return request.getMethod().equals("INVITE");
    }

    /** Sends a response. What follows a final one is not sent: each request has exactly one. */
    public boolean answer(SIPResponse r) {
        if (state != State.PROCEEDING) {
            return false;
        }
        last = SipText.write(r);
        flow.send(last);
        int s = r.getStatusCode();
        if (s < 200) {
            return true;
        }
        status = s;
        if (!invite()) {
            state = State.COMPLETED;
            lingers(timers.long64()); // J
        } else if (s < 300) {
            state = State.ACCEPTED;
            repeat(timers.t1());
            timers.in(
                    timers.long64(),
                    () -> { // L, and the end of section 13.3.1.4
                        boolean never = !acked;
                        end();
                        if (never && unacked != null) {
                            unacked.run();
                        }
                    });
        } else {
            state = State.COMPLETED;
            if (!flow.isReliable()) {
                repeat(timers.t1()); // G
            }
            timers.in(
                    timers.long64(),
                    () -> { // H
                        if (state == State.COMPLETED) {
                            end();
                        }
                    });
        }
        return true;
    }

    /** What is to be done where the ACK of our 2xx never comes. */
    public void onUnacked(Runnable what) {
        unacked = what;
    }

    /** A 2xx is repeated whatever the way is: it goes end to end (section 13.3.1.4). */
    private void repeat(double afterMs) {
        timers.in(afterMs, () -> {
            if (state == State.COMPLETED || state == State.ACCEPTED && !acked) {
                count.again();
                flow.send(last);
                repeat(Math.min(afterMs * 2, timers.t2()));
            }
        });
    }

    /** The request once more. */
    void again() {
        if (last != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            count.again();
            flow.send(last);
        }
    }

    /** The ACK of a response that was no 2xx. */
    void acked() {
        if (state == State.COMPLETED) {
            state = State.CONFIRMED;
            lingers(timers.t4()); // I
        }
    }

    /** The ACK of our 2xx, which comes by itself. */
    void confirmed() {
        acked = true;
    }

    private void lingers(double ms) {
        if (flow.isReliable()) {
            end();
        } else {
            timers.in(ms, this::end);
        }
    }

    private void end() {
        if (state != State.OVER) {
            state = State.OVER;
            over.run();
        }
    }
}
