package walnutfield.sip;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;

/** A server transaction (RFC 3261, section 17.2) with the Accepted state of RFC 6026. */
public final class ServerTransaction {
    private enum State {
        PROCEEDING,
        COMPLETED,
        CONFIRMED,
        ACCEPTED,
        TERMINATED
    }

    private final SIPRequest request;
    private final Flow flow;
    private final Timers timers;
    private final TransactionTimers running;
    private final Transactions.RetransmissionCounter retransmissions;
    private final Runnable onTerminated;
    private State state = State.PROCEEDING;
    private byte[] lastResponse;
    private int status;
    private boolean acked;
    private Runnable ackTimeoutListener;
    private String dialogName = "";

    ServerTransaction(
            SIPRequest request,
            Flow flow,
            Timers timers,
            Transactions.RetransmissionCounter retransmissions,
            Runnable onTerminated) {
        this.request = request;
        this.flow = flow;
        this.timers = timers;
        running = new TransactionTimers(timers);
        this.retransmissions = retransmissions;
        this.onTerminated = onTerminated;
    }

    public SIPRequest request() {
        return request;
    }

    /** Where the request came from and the responses go. */
    public Flow flow() {
        return flow;
    }

    /** The {@linkplain Dialog#name name} of the dialog in which its 2xx response waits for an ACK; empty for none. */
    String dialogName() {
        return dialogName;
    }

    void setDialogName(String name) {
        dialogName = name;
    }

    /** The status code of the final response; 0 before it is sent. */
    public int finalStatus() {
        return status;
    }

    private boolean isInvite() {
        return request.getMethod().equals("INVITE");
    }

    /** Sends a response. A request has exactly one final response: after it, this sends nothing and returns false. */
    public boolean respond(SIPResponse response) {
        if (state != State.PROCEEDING) {
            return false;
        }
        lastResponse = SipCodec.encode(response);
        flow.send(lastResponse);
        int code = response.getStatusCode();
        if (code < 200) {
            return true;
        }
        status = code;
        if (!isInvite()) {
            state = State.COMPLETED;
            terminateAfter(timers.timeout64T1()); // timer J
        } else if (code < 300) {
            state = State.ACCEPTED;
            scheduleRetransmission(timers.t1());
            running.after(
                    timers.timeout64T1(),
                    () -> { // timer L, and the wait for the ACK of a 2xx (section 13.3.1.4)
                        boolean noAck = !acked;
                        terminate();
                        if (noAck && ackTimeoutListener != null) {
                            ackTimeoutListener.run();
                        }
                    });
        } else {
            state = State.COMPLETED;
            if (!flow.isReliable()) {
                scheduleRetransmission(timers.t1()); // timer G
            }
            running.after(
                    timers.timeout64T1(),
                    () -> { // timer H
                        if (state == State.COMPLETED) {
                            terminate();
                        }
                    });
        }
        return true;
    }

    /** Sets what runs if no ACK of the 2xx response arrives in time. */
    public void onAckTimeout(Runnable listener) {
        ackTimeoutListener = listener;
    }

    /** Retransmits the final response; over any transport if it is a 2xx, as that is end to end (section 13.3.1.4). */
    private void scheduleRetransmission(double delayMs) {
        running.after(delayMs, () -> {
            if (state == State.COMPLETED || state == State.ACCEPTED && !acked) {
                retransmissions.increment();
                flow.send(lastResponse);
                scheduleRetransmission(Math.min(delayMs * 2, timers.t2()));
            }
        });
    }

    /** A retransmission of the request arrived: the last response is sent again. */
    void retransmissionReceived() {
        if (lastResponse != null && (state == State.PROCEEDING || state == State.COMPLETED)) {
            retransmissions.increment();
            flow.send(lastResponse);
        }
    }

    /** The ACK of a final response other than 2xx arrived. */
    void ackReceived() {
        if (state == State.COMPLETED) {
            state = State.CONFIRMED;
            terminateAfter(timers.t4()); // timer I
        }
    }

    /** The ACK of the 2xx response arrived; it is a transaction of its own. */
    void ackOf2xxReceived() {
        acked = true;
    }

    /** Absorbs retransmissions for a time over an unreliable transport; ends immediately over a reliable one. */
    private void terminateAfter(double delayMs) {
        if (flow.isReliable()) {
            terminate();
        } else {
            running.after(delayMs, this::terminate);
        }
    }

    private void terminate() {
        if (state != State.TERMINATED) {
            state = State.TERMINATED;
            running.cancel();
            onTerminated.run();
        }
    }
}
