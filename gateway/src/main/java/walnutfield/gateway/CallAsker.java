package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPResponse;
import java.util.Map;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipText;

/** A caller's INVITE. */
final class CallAsker implements Asker {
    /** What other fronts' words are in SIP (RFC 3261, section 21). */
    private static final Map<Integer, Integer> STATUS = Map.of(429, 486, 502, 500);

    final ServerTransaction invite;
    final Viewing.Key key;
    private final Calls calls;
    private final String tag;
    private volatile boolean done;
    private Runnable gone = () -> {};

    CallAsker(Calls calls, ServerTransaction invite, Viewing.Key key, String tag) {
        this.calls = calls;
        this.invite = invite;
        this.key = key;
        this.tag = tag;
    }

    @Override
    public boolean isDone() {
        return done;
    }

    @Override
    public void onGone(Runnable what) {
        gone = what;
    }

    /** The caller has taken it back. */
    void cancelled() {
        if (!done) {
            done = true;
            calls.finalAnswer(invite, calls.response(invite, 487, tag));
            gone.run();
        }
    }

    @Override
    public void serve(String play, String body) {
        if (!done) {
            done = true;
            calls.confirm(this, tag, play, body);
        }
    }

    @Override
    public void refuse(int status, String play, double holdOffMs) {
        if (done) {
            return;
        }
        done = true;
        SIPResponse r = calls.response(invite, STATUS.getOrDefault(status, status), tag);
        if (status == 503 && holdOffMs > 0) {
            SipText.add(r, "Retry-After", Long.toString((long) Math.ceil(holdOffMs / 1000)));
        }
        if (play != null) {
            SipText.add(r, Calls.PLAY, play);
        }
        calls.finalAnswer(invite, r);
    }
}
