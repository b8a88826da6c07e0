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

/** A dialog (RFC 3261, section 12) as one of its ends sees it. */
public final class Dialog {
    private final String callId;
    private final String local; // From or To as we write ourselves, tag and all
    private final String remote; // the other end
    private final List<String> route;
    private final Flow flow;
    private String target; // the other end's Contact
    private long sent; // the number of our last request
    private long seen; // the number of the other end's last one; -1 for none

    private Dialog(
            String callId,
            String local,
            String remote,
            List<String> route,
            Flow flow,
            String target,
            long sent,
            long seen) {
        this.callId = callId;
        this.local = local;
        this.remote = remote;
        this.route = route;
        this.flow = flow;
        this.target = target;
        this.sent = sent;
        this.seen = seen;
    }

    /** Of who answers an INVITE with that tag (section 12.1.1). */
    public static Dialog answering(SIPRequest invite, String tag, Flow flow) {
        return new Dialog(
                invite.getCallId().getCallId(),
                invite.getTo().getAddress() + ";tag=" + tag,
                value(invite.getFromHeader().toString()),
                routes(invite, false),
                flow,
                target(invite),
                0,
                invite.getCSeq().getSeqNumber());
    }

    /** Of who sent an INVITE that was answered (section 12.1.2). */
    public static Dialog asking(SIPRequest invite, SIPResponse answer, Flow flow) {
        return new Dialog(
                answer.getCallId().getCallId(),
                value(answer.getFromHeader().toString()),
                value(answer.getToHeader().toString()),
                routes(answer, true),
                flow,
                target(answer),
                invite.getCSeq().getSeqNumber(),
                -1);
    }

    private static String value(String header) {
        return header.substring(header.indexOf(':') + 1).strip();
    }

    private static List<String> routes(SIPMessage m, boolean reversed) {
        List<String> out = new ArrayList<>();
        RecordRouteList all = m.getRecordRouteHeaders();
        if (all != null) {
            for (RecordRoute r : all) {
                out.add(r.getAddress().toString());
            }
        }
        if (reversed) {
            Collections.reverse(out);
        }
        return out;
    }

    private static String target(SIPMessage m) {
        Contact c = m.getContactHeader();
        return c == null || c.getAddress() == null
                ? null
                : c.getAddress().getURI().toString();
    }

    public Flow flow() {
        return flow;
    }

    /** Names the dialog among those of one end: Call-ID and that end's own tag. */
    public static String name(String callId, String ownTag) {
        return callId + " " + ownTag;
    }

    /** A request within it, with a session description or an empty body. */
    public SIPRequest request(String method, String via, String contact, String body) {
        return compose(method, ++sent, via, contact, body);
    }

    /** The ACK of a 2xx to our INVITE of that number (section 13.2.2.4). */
    public SIPRequest ack(long number, String via) {
        return compose("ACK", number, via, null, "");
    }

    private SIPRequest compose(String method, long number, String via, String contact, String body) {
        StringBuilder s = new StringBuilder(method)
                .append(' ')
                .append(target == null ? "sip:unknown" : target)
                .append(" SIP/2.0\r\n")
                .append("Via: ")
                .append(via)
                .append("\r\nMax-Forwards: 70\r\nFrom: ")
                .append(local)
                .append("\r\nTo: ")
                .append(remote)
                .append("\r\nCall-ID: ")
                .append(callId)
                .append("\r\nCSeq: ")
                .append(number)
                .append(' ')
                .append(method)
                .append("\r\n");
        route.forEach(r -> s.append("Route: ").append(r).append("\r\n"));
        if (contact != null) {
            s.append("Contact: <").append(contact).append(">\r\n");
        }
        return (SIPRequest) SipText.own(s.append(SipText.end(body)).toString());
    }

    /**
     * Whether a request of the other end comes in its order: a lower number than the last is refused with 500 (section
     * 12.2.2). One that is taken may tell a new target.
     */
    public boolean takes(SIPRequest r) {
        if (r.getCSeq().getSeqNumber() <= seen) {
            return false;
        }
        seen = r.getCSeq().getSeqNumber();
        String t = target(r);
        target = t != null && (r.getMethod().equals("INVITE") || r.getMethod().equals("UPDATE")) ? t : target;
        return true;
    }
}
