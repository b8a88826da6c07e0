package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipCodec;

/**
 * A video call. On the callers' side there is one dialog for each accepted copy of the caller's INVITE, on the other
 * side one dialog with the media host.
 */
final class CallViewing extends Viewing {
    static final String FRONT = "sip";

    private final SipFront calls;
    private final Sdp offer;
    private final int maxForwards; // remaining hops, passed on to the host to detect loops (RFC 7332)
    private final List<SipFront.Caller> callers = new ArrayList<>(); // removed when they hang up
    private Dialog hostDialog; // null while there is none
    private String hostCallId; // Call-ID of the latest dialog with a host
    private String hostInstance; // the host's process lifetime in which that dialog was set up
    private String hostDescription; // the session description of the host's latest answer
    private boolean monitoring;

    CallViewing(SipFront calls, Request asked, Sdp offer, int maxForwards, double admittedAt) {
        super(asked, admittedAt, calls.eventLoop);
        this.maxForwards = maxForwards;
        this.calls = calls;
        this.offer = offer;
    }

    @Override
    Key key() {
        return new Key(FRONT, request.viewer(), request.title());
    }

    @Override
    Remainder remainder() {
        Catalogue.Title title = calls.catalogue.titles().get(request.title());
        return new Remainder(remainingMs(title), title.firstCell(), title.holderCount());
    }

    private double remainingMs(Catalogue.Title title) {
        return phase == Phase.PLAYING
                ? Math.max(0, title.lengthMs() - (calls.eventLoop.now() - admittedAt))
                : title.lengthMs();
    }

    private String offerAtRung() {
        return offer.withVideoRate(calls.catalogue.ladder().rateKb(request.trafficClass(), targetRung) * 8);
    }

    /** The host's process lifetime in which the call was set up; null if the host did not name it. */
    String instance() {
        return hostInstance;
    }

    String hostCallId() {
        return hostCallId;
    }

    /** The session description that callers get: the latest one from the host. */
    String description() {
        return hostDescription;
    }

    // ---- The side of the host

    /** One INVITE to a host, and the dialog that its 2xx establishes. */
    private final class HostLeg implements Leg, ClientTransaction.User {
        private final int number;
        private final Consumer<LegResult> listener;
        private ClientTransaction invite;
        private Flow flow;
        private Dialog dialog; // null until a 2xx has arrived
        private boolean cancelled;
        private boolean applied;

        HostLeg(int number, Consumer<LegResult> listener) {
            this.number = number;
            this.listener = listener;
        }

        void start() {
            flow = calls.flowTo(address);
            String host = address.getHostString() + ":" + address.getPort();
            invite = calls.sendRequest(
                    (SIPRequest)
                            SipCodec.parseOwn("INVITE sip:" + request.title().value() + "@" + host + " SIP/2.0\r\nVia: "
                                    + calls.via() + "\r\nMax-Forwards: " + maxForwards + "\r\nFrom: <sip:"
                                    + calls.incarnationName + "@"
                                    + calls.localAddress() + ">;tag=" + sessionId + "."
                                    + number + "\r\nTo: <sip:" + request.title().value() + "@" + host + ">\r\nCall-ID: "
                                    + sessionId
                                    + "." + number
                                    + "\r\nCSeq: 1 INVITE\r\nContact: <" + calls.contactUri() + ">\r\nAllow: "
                                    + SipFront.ALLOWED_METHODS
                                    + "\r\n" + SipFront.PLAY_ID_HEADER + ": "
                                    + sessionId + "\r\n" + SipFront.PLAY_LEG_HEADER + ": " + number + "\r\n"
                                    + SipFront.PLAY_BAND_HEADER + ": "
                                    + request.trafficClass().name()
                                    + "\r\n" + SipFront.PLAY_GATEWAY_HEADER + ": " + calls.gatewayName() + "\r\n"
                                    + SipCodec.endOfMessage(offerAtRung())),
                    flow,
                    this);
        }

        @Override
        public void onFinalResponse(SIPResponse response) {
            int status = response.getStatusCode();
            LoadReport load = SipFront.loadReport(response);
            if (status < 300) {
                dialog = Dialog.forCaller(invite.request(), response, flow);
                sendAck();
                if (cancelled) { // the 2xx crossed the CANCEL (RFC 3261, section 9.1)
                    calls.sendBye(dialog, null);
                    return;
                }
                listener.accept(new LegResult(Outcome.SERVED, load, "", () -> apply(response)));
            } else {
                listener.accept(new LegResult(
                        status == 503 ? Outcome.REJECTED : Outcome.FAILED, load, "status " + status, () -> false));
            }
        }

        private void sendAck() {
            flow.send(SipCodec.encode(dialog.ack(1, calls.via())));
        }

        @Override
        public void onFurther2xx(SIPResponse response) {
            sendAck();
        }

        @Override
        public void onFailure(boolean heard) {
            listener.accept(LegResult.failed(heard ? Outcome.CONNECTION_LOST : Outcome.TIMED_OUT, "no final response"));
        }

        /** Makes this leg's dialog the one of the viewing; false if the answer describes no video. */
        private boolean apply(SIPResponse response) {
            applied = true;
            hostDialog = dialog;
            hostCallId = response.getCallId().getCallId();
            hostInstance = SipCodec.header(response, SipFront.HOST_INSTANCE_HEADER);
            return updateDescription(SipCodec.body(response));
        }

        @Override
        public void cancel() {
            cancelled = true;
            if (dialog == null) {
                calls.cancel(invite);
            } else if (!applied) { // the host has answered, but the viewing has not yet taken over the dialog
                calls.sendBye(dialog, null);
            }
        }

        @Override
        public boolean cancelIfUnsent() {
            return false; // datagrams are sent immediately
        }

        @Override
        public boolean wasSent() {
            return true;
        }
    }

    @Override
    Leg sendLeg(int number, Consumer<LegResult> listener) {
        HostLeg leg = new HostLeg(number, listener);
        leg.start();
        return leg;
    }

    /** Stores a host's session description; false if it is malformed or has no video. */
    private boolean updateDescription(String sdp) {
        try {
            if (!Sdp.parse(sdp).hasVideo()) {
                return false;
            }
        } catch (MalformedMessageException e) {
            return false;
        }
        hostDescription = sdp;
        return true;
    }

    @Override
    void startMonitoring() {
        monitoring = true;
        calls.startMonitoring(this);
    }

    @Override
    boolean isMonitoring() {
        return monitoring;
    }

    @Override
    void stopMonitoring(boolean notifyHost) {
        if (monitoring) {
            monitoring = false;
            calls.stopMonitoring(this);
        }
        if (notifyHost && hostDialog != null) {
            calls.sendBye(hostDialog, null);
        }
        hostDialog = null;
    }

    @Override
    void onStarted(boolean recovered, double elapsedMs) {
        if (recovered) {
            reInviteCallers();
        }
        calls.plays().answerAll(this);
    }

    /** Changes the rate by UPDATE (RFC 3311), which needs no ACK and does not block a re-INVITE. */
    @Override
    void changeRung() {
        PlayId updatedPlay = play;
        int newRung = targetRung;
        calls.sendRequest(
                hostDialog.request("UPDATE", calls.via(), calls.contactUri(), offerAtRung()),
                hostDialog.flow(),
                new ClientTransaction.User() {
                    @Override
                    public void onFinalResponse(SIPResponse response) {
                        int status = response.getStatusCode();
                        if (status == 481 || status == 408) { // the host no longer has the dialog (RFC 5057)
                            calls.plays().onConnectionLost(CallViewing.this, updatedPlay);
                        } else {
                            calls.plays()
                                    .onRungChangeResult(
                                            CallViewing.this,
                                            updatedPlay,
                                            newRung,
                                            new LegResult(
                                                    status / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                                                    LoadReport.NONE,
                                                    "status " + status,
                                                    () -> applyRungChange(SipCodec.body(response))));
                        }
                    }

                    @Override
                    public void onFailure(boolean heard) {
                        calls.plays()
                                .onRungChangeResult(
                                        CallViewing.this,
                                        updatedPlay,
                                        newRung,
                                        LegResult.failed(Outcome.TIMED_OUT, "no answer"));
                    }
                });
    }

    private boolean applyRungChange(String sdp) {
        boolean accepted = updateDescription(sdp);
        if (accepted) {
            reInviteCallers();
        }
        return accepted;
    }

    // ---- The side of the callers

    @Override
    void answer(Requester requester) {
        requester.serve(sessionId, hostDescription);
    }

    void addCaller(SipFront.Caller caller) {
        callers.add(caller);
    }

    /** Removes a caller that has left; when the last one leaves, the viewing ends with this reason. */
    void onCallerLeft(SipFront.Caller caller, String reason) {
        if (callers.remove(caller) && callers.isEmpty() && phase != Phase.ENDED) {
            calls.plays().endViewing(this, reason);
        }
    }

    private void reInviteCallers() {
        callers.forEach(calls::sendReInvite);
    }

    private void hangUpCallers(String reason) {
        List<SipFront.Caller> remaining = List.copyOf(callers);
        callers.clear();
        remaining.forEach(caller -> calls.hangUp(caller, reason));
    }

    @Override
    void onFailed(int status, double retryAfterMs) {
        hangUpCallers("SIP;cause=" + (status == 502 ? 500 : status));
    }

    @Override
    boolean canRecover(boolean moved) {
        return moved
                || calls.insertExecutor.decideRecovery(
                        this, Double.POSITIVE_INFINITY); // a call has no known end: it lasts until one side hangs up
    }

    @Override
    void onNotRecovered() {
        hangUpCallers("SIP;cause=500");
    }

    @Override
    void onHostEnded(boolean complete) {
        hangUpCallers("SIP;cause=200");
    }

    @Override
    void onClosed() {
        calls.onViewingClosed(this);
    }
}
