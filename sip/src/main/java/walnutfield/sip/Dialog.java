package walnutfield.sip;

import gov.nist.javax.sip.header.Contact;
import gov.nist.javax.sip.header.RecordRoute;
import gov.nist.javax.sip.header.RecordRouteList;
import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The state of a dialog (RFC 3261, section 12) at one of its user agents. */
public final class Dialog {
    private final String callId;
    private final String localAddress; // our From or To value, with the tag
    private final String remoteAddress; // the peer's From or To value, with the tag
    private final List<String> routeSet;
    private final Flow flow;
    private String remoteTarget; // the URI in the peer's Contact; null for none
    private long localSequence; // sequence number of our last request
    private long remoteSequence; // sequence number of the peer's last request; -1 for none

    private Dialog(
            String callId,
            String localAddress,
            String remoteAddress,
            List<String> routeSet,
            Flow flow,
            String remoteTarget,
            long localSequence,
            long remoteSequence) {
        this.callId = callId;
        this.localAddress = localAddress;
        this.remoteAddress = remoteAddress;
        this.routeSet = routeSet;
        this.flow = flow;
        this.remoteTarget = remoteTarget;
        this.localSequence = localSequence;
        this.remoteSequence = remoteSequence;
    }

    /** The dialog at the callee, who answers an INVITE with this To tag (section 12.1.1). */
    public static Dialog forCallee(SIPRequest invite, String tag, Flow flow) {
        return new Dialog(
                invite.getCallId().getCallId(),
                invite.getTo().getAddress() + ";tag=" + tag,
                value(invite.getFromHeader().toString()),
                routesOf(invite, false),
                flow,
                contactUri(invite),
                0,
                invite.getCSeq().getSeqNumber());
    }

    /** The dialog at the caller, whose INVITE got this response (section 12.1.2). */
    public static Dialog forCaller(SIPRequest invite, SIPResponse response, Flow flow) {
        return new Dialog(
                response.getCallId().getCallId(),
                value(response.getFromHeader().toString()),
                value(response.getToHeader().toString()),
                routesOf(response, true),
                flow,
                contactUri(response),
                invite.getCSeq().getSeqNumber(),
                -1);
    }

    private static String value(String header) {
        return header.substring(header.indexOf(':') + 1).strip();
    }

    /** The route set in the Record-Route fields of a message. */
    private static List<String> routesOf(SIPMessage message, boolean reversed) {
        List<String> routes = new ArrayList<>();
        RecordRouteList recordRoutes = message.getRecordRouteHeaders();
        if (recordRoutes != null) {
            for (RecordRoute r : recordRoutes) {
                routes.add(r.getAddress().toString());
            }
        }
        if (reversed) {
            Collections.reverse(routes);
        }
        return routes;
    }

    /** The URI in a message's Contact; null for none. */
    private static String contactUri(SIPMessage message) {
        Contact contact = message.getContactHeader();
        return contact == null || contact.getAddress() == null
                ? null
                : contact.getAddress().getURI().toString();
    }

    /** Where requests within the dialog are sent. */
    public Flow flow() {
        return flow;
    }

    /** The name of a dialog among those of one user agent: Call-ID and the agent's own tag. */
    public static String name(String callId, String ownTag) {
        return callId + " " + ownTag;
    }

    /** A new request within the dialog, with a session description or an empty body; a null contact is left out. */
    public SIPRequest request(String method, String via, String contact, String body) {
        return compose(method, ++localSequence, via, contact, body);
    }

    /** The ACK of a 2xx response to our INVITE with this sequence number (section 13.2.2.4). */
    public SIPRequest ack(long sequenceNumber, String via) {
        return compose("ACK", sequenceNumber, via, null, "");
    }

    private SIPRequest compose(String method, long sequenceNumber, String via, String contact, String body) {
        StringBuilder text = new StringBuilder(method)
                .append(' ')
                .append(remoteTarget == null ? "sip:unknown" : remoteTarget)
                .append(" SIP/2.0\r\n")
                .append("Via: ")
                .append(via)
                .append("\r\nMax-Forwards: 70\r\nFrom: ")
                .append(localAddress)
                .append("\r\nTo: ")
                .append(remoteAddress)
                .append("\r\nCall-ID: ")
                .append(callId)
                .append("\r\nCSeq: ")
                .append(sequenceNumber)
                .append(' ')
                .append(method)
                .append("\r\n");
        routeSet.forEach(r -> text.append("Route: ").append(r).append("\r\n"));
        if (contact != null) {
            text.append("Contact: <").append(contact).append(">\r\n");
        }
        return (SIPRequest)
                SipCodec.parseOwn(text.append(SipCodec.endOfMessage(body)).toString());
    }

    /**
     * Checks that a request of the peer is in order and records its sequence number. One that is not higher than the
     * last must be rejected with 500 (section 12.2.2). An INVITE or UPDATE in order may replace the remote target.
     */
    public boolean acceptInOrder(SIPRequest request) {
        if (request.getCSeq().getSeqNumber() <= remoteSequence) {
            return false;
        }
        remoteSequence = request.getCSeq().getSeqNumber();
        String newTarget = contactUri(request);
        remoteTarget = newTarget != null
                        && (request.getMethod().equals("INVITE")
                                || request.getMethod().equals("UPDATE"))
                ? newTarget
                : remoteTarget;
        return true;
    }
}
