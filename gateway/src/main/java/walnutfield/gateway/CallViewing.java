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
import walnutfield.sip.Malformed;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipText;

/**
 * A video call: back to back, a dialog with each copy of the caller's INVITE that was answered on one side, and one with
 * the media host on the other.
 */
final class CallViewing extends Viewing {
    static final String FRONT = "sip";

    private final Calls calls;
    private final Sdp offer;
    private final int hops; // that are left to what goes on from here (RFC 7332)
    private final List<Calls.Caller> callers = new ArrayList<>(); // emptied as they hang up
    private Dialog dialog; // with the host; null while there is none
    private String callId; // of that dialog
    private String instance; // of the host's life that it is part of
    private String description; // the host's, as last answered
    private boolean listening;

    CallViewing(Calls calls, Asked asked, Sdp offer, int hops, double takenAt) {
        super(asked, takenAt);
        this.hops = hops;
        this.calls = calls;
        this.offer = offer;
    }

    @Override
    Key key() {
        return new Key(FRONT, asked.viewer(), asked.title());
    }

    @Override
    Piece piece() {
        Catalogue.Title t = calls.catalogue.titles().get(asked.title());
        return new Piece(unplayedMs(t), t.firstCell(), t.holders());
    }

    private double unplayedMs(Catalogue.Title t) {
        return phase == Phase.PLAYING ? Math.max(0, t.lengthMs() - (calls.thread.now() - takenAt)) : t.lengthMs();
    }

    private String offered() {
        return offer.at(calls.catalogue.ladder().rate(asked.band(), rung) * 8);
    }

    String instance() {
        return instance;
    }

    String callId() {
        return callId;
    }

    String description() {
        return description;
    }

    // ---- The host's side

    /** One INVITE to a host, from its sending to the session that came of it. */
    private final class HostLeg implements Leg, ClientTransaction.User {
        private final int number;
        private final Consumer<Came> to;
        private ClientTransaction invite;
        private Flow way;
        private Dialog made; // a 2xx came
        private boolean off;
        private boolean carried;

        HostLeg(int number, Consumer<Came> to) {
            this.number = number;
            this.to = to;
        }

        void start() {
            way = calls.way(address);
            String host = address.getHostString() + ":" + address.getPort();
            invite = calls.send(
                    (SIPRequest) SipText.own("INVITE sip:" + asked.title().value() + "@" + host + " SIP/2.0\r\nVia: "
                            + calls.via() + "\r\nMax-Forwards: " + hops + "\r\nFrom: <sip:" + calls.name + "@"
                            + calls.at() + ">;tag=" + session + "."
                            + number + "\r\nTo: <sip:" + asked.title().value() + "@" + host + ">\r\nCall-ID: " + session
                            + "." + number
                            + "\r\nCSeq: 1 INVITE\r\nContact: <" + calls.contact() + ">\r\nAllow: " + Calls.ALLOW
                            + "\r\n" + Calls.PLAY + ": "
                            + session + "\r\n" + Calls.LEG + ": " + number + "\r\n" + Calls.BAND + ": "
                            + asked.band().name()
                            + "\r\n" + Calls.GATEWAY + ": " + calls.gateway() + "\r\n" + SipText.end(offered())),
                    way,
                    this);
        }

        @Override
        public void done(SIPResponse r) {
            int status = r.getStatusCode();
            LoadReport load = Calls.load(r);
            if (status < 300) {
                made = Dialog.asking(invite.request(), r, way);
                ack();
                if (off) { // it crossed its CANCEL (RFC 3261, section 9.1)
                    calls.bye(made, null);
                    return;
                }
                to.accept(new Came(Outcome.SERVED, load, "", () -> carry(r)));
            } else {
                to.accept(new Came(
                        status == 503 ? Outcome.REJECTED : Outcome.FAILED, load, "status " + status, () -> false));
            }
        }

        private void ack() {
            way.send(SipText.write(made.ack(1, calls.via())));
        }

        @Override
        public void again(SIPResponse r) {
            ack();
        }

        @Override
        public void failed(boolean heard) {
            to.accept(Came.not(heard ? Outcome.CONNECTION_LOST : Outcome.TIMED_OUT, "no final response"));
        }

        private boolean carry(SIPResponse r) {
            carried = true;
            dialog = made;
            callId = r.getCallId().getCallId();
            instance = SipText.field(r, Calls.INSTANCE);
            return describe(SipText.body(r));
        }

        @Override
        public void callOff() {
            off = true;
            if (made == null) {
                calls.cancel(invite);
            } else if (!carried) { // answered, and the answer not yet taken up
                calls.bye(made, null);
            }
        }

        @Override
        public boolean callOffUnsent() {
            return false; // datagrams go out at once
        }

        @Override
        public boolean wentOut() {
            return true;
        }
    }

    @Override
    Leg send(int number, Consumer<Came> to) {
        HostLeg leg = new HostLeg(number, to);
        leg.start();
        return leg;
    }

    private boolean describe(String text) {
        try {
            if (!Sdp.read(text).video()) {
                return false;
            }
        } catch (Malformed e) {
            return false;
        }
        description = text;
        return true;
    }

    @Override
    void listen() {
        listening = true;
        calls.follow(this);
    }

    @Override
    boolean isListening() {
        return listening;
    }

    @Override
    void leave(boolean tell) {
        if (listening) {
            listening = false;
            calls.unfollow(this);
        }
        if (tell && dialog != null) {
            calls.bye(dialog, null);
        }
        dialog = null;
    }

    @Override
    void started(boolean again, double tookMs) {
        if (again) {
            tellCallers();
        }
        calls.plays().answerAll(this);
    }

    /** Rates go by UPDATE (RFC 3311): it needs no ACK and stands in the way of no re-INVITE. */
    @Override
    void change() {
        PlayId now = play;
        int to = rung;
        calls.send(
                dialog.request("UPDATE", calls.via(), calls.contact(), offered()),
                dialog.flow(),
                new ClientTransaction.User() {
                    @Override
                    public void done(SIPResponse r) {
                        int status = r.getStatusCode();
                        if (status == 481 || status == 408) { // the host knows nothing of it any more (RFC 5057)
                            calls.plays().broke(CallViewing.this, now);
                        } else {
                            calls.plays()
                                    .rungServed(
                                            CallViewing.this,
                                            now,
                                            to,
                                            new Came(
                                                    status / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                                                    LoadReport.NONE,
                                                    "status " + status,
                                                    () -> changed(SipText.body(r))));
                        }
                    }

                    @Override
                    public void failed(boolean heard) {
                        calls.plays().rungServed(CallViewing.this, now, to, Came.not(Outcome.TIMED_OUT, "no answer"));
                    }
                });
    }

    private boolean changed(String text) {
        boolean ok = describe(text);
        if (ok) {
            tellCallers();
        }
        return ok;
    }

    // ---- The callers' side

    @Override
    void answer(Asker x) {
        x.serve(session, description);
    }

    void joined(Calls.Caller c) {
        callers.add(c);
    }

    /** A caller has gone; with the last one the call is over. */
    void left(Calls.Caller c, String how) {
        if (callers.remove(c) && callers.isEmpty() && phase != Phase.OVER) {
            calls.plays().leave(this, how);
        }
    }

    private void tellCallers() {
        callers.forEach(calls::invite);
    }

    private void hangUp(String reason) {
        List<Calls.Caller> all = List.copyOf(callers);
        callers.clear();
        all.forEach(c -> calls.hangUp(c, reason));
    }

    @Override
    void ended(int status, double holdOffMs) {
        hangUp("SIP;cause=" + (status == 502 ? 500 : status));
    }

    @Override
    boolean comesBack(boolean moved) {
        return moved || calls.beside.comesBack(this, Double.POSITIVE_INFINITY); // it lasts until one hangs up
    }

    @Override
    void brokenOff() {
        hangUp("SIP;cause=500");
    }

    @Override
    void hostEnded(boolean whole) {
        hangUp("SIP;cause=200");
    }

    @Override
    void over() {
        calls.over(this);
    }
}
