package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPResponse;
import java.util.Map;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipCodec;

/** A caller's INVITE that waits for its final response. */
final class CallRequester implements Requester {
    /** SIP status codes (RFC 3261, section 21) that replace HTTP status codes; all others are sent unchanged. */
    private static final Map<Integer, Integer> SIP_STATUS_BY_HTTP_STATUS = Map.of(429, 486, 502, 500);

    final ServerTransaction invite;
    final Viewing.Key key;
    private final SipFront calls;
    private final String tag;
    private volatile boolean done;
    private Runnable onGone = () -> {};

    CallRequester(SipFront calls, ServerTransaction invite, Viewing.Key key, String tag) {
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
    public void onGone(Runnable action) {
        onGone = action;
    }

    /** Answers the INVITE with 487 after the caller's CANCEL. */
    void cancelled() {
        if (!done) {
            done = true;
            calls.sendFinalResponse(invite, calls.createResponse(invite, 487, tag));
            onGone.run();
        }
    }

    @Override
    public void serve(String play, String body) {
        if (!done) {
            done = true;
            calls.accept(this, tag, play, body);
        }
    }

    @Override
    public void refuse(int status, String play, double retryAfterMs) {
        if (done) {
            return;
        }
        done = true;
        SIPResponse response =
                calls.createResponse(invite, SIP_STATUS_BY_HTTP_STATUS.getOrDefault(status, status), tag);
        if (status == 503 && retryAfterMs > 0) {
            SipCodec.addHeader(response, "Retry-After", Long.toString((long) Math.ceil(retryAfterMs / 1000)));
        }
        if (play != null) {
            SipCodec.addHeader(response, SipFront.PLAY_ID_HEADER, play);
        }
        calls.sendFinalResponse(invite, response);
    }
}
