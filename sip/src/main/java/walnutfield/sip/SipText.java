package walnutfield.sip;

import gov.nist.javax.sip.header.Via;
import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import gov.nist.javax.sip.parser.StringMsgParser;
import java.nio.charset.StandardCharsets;
import java.text.ParseException;
import java.util.List;

/**
 * Reads and writes messages (RFC 3261, sections 7 and 25) with JAIN-SIP's parser behind a rim of our own: whatever comes,
 * there is either a message with all that the upper parts rely on, or one {@link Malformed}.
 */
public final class SipText {
    /** A datagram holds no more (RFC 3261, section 18.1.1). */
    public static final int MOST = 65_535;
    private static final int FIELDS_MOST = 256;
    private static final int LINE_MOST = 8_192;

    private SipText() { }

    /** Whole messages only: what follows the body that Content-Length tells is cut off (section 18.3). */
    public static SIPMessage read(byte[] bytes) throws Malformed {
        if (bytes.length > MOST) {
            throw new Malformed(513, "longer than " + MOST + " bytes");
        }
        int head = headEnd(bytes);
        if (head < 0) {
            throw new Malformed(400, "no end of the header");
        }
        lines(bytes, head);
        SIPMessage m;
        try {
            m = new StringMsgParser().parseSIPMessage(bytes, true, true, (e, message, type, field, text) -> {
                if (type != null && NEEDED.contains(type.getSimpleName())) { // others that it cannot read are passed over
                    throw e;
                }
            });
        } catch (ParseException | RuntimeException e) { // the parser throws what it likes at what it does not expect
            throw new Malformed(400, "malformed: " + e.getMessage());
        }
        if (m == null) {
            throw new Malformed(400, "no message");
        }
        check(m, bytes.length - head);
        return m;
    }

    private static final List<String> NEEDED = List.of("Via", "ViaList", "From", "To", "CSeq", "CallID", "MaxForwards",
        "ContentLength", "ContactList", "Contact", "RequestLine", "StatusLine", "RouteList", "RecordRouteList");

    private static int headEnd(byte[] b) {
        for (int i = 3; i < b.length; i++) {
            if (b[i] == '\n' && b[i - 1] == '\r' && b[i - 2] == '\n' && b[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    private static void lines(byte[] b, int head) throws Malformed {
        int fields = 0;
        int from = 0;
        for (int i = 0; i < head; i++) {
            if (b[i] == 0) {
                throw new Malformed(400, "a zero byte in the header");
            }
            if (b[i] == '\n') {
                fields++;
                if (i - from > LINE_MOST || fields > FIELDS_MOST) {
                    throw new Malformed(513, "a field too long, or too many");
                }
                from = i + 1;
            }
        }
    }

    private static void check(SIPMessage m, int bodyBytes) throws Malformed {
        if (m.getTopmostVia() == null || m.getFrom() == null || m.getTo() == null || m.getCallId() == null
            || m.getCSeq() == null || m.getCSeq().getMethod() == null) {
            throw new Malformed(400, "a field that every message has is missing");
        }
        if (m.getCallId().getCallId() == null || m.getCallId().getCallId().isBlank() || m.getTopmostVia().getBranch() == null) {
            throw new Malformed(400, "no Call-ID, or no branch in the topmost Via");
        }
        if (m.getFromTag() == null) {
            throw new Malformed(400, "no tag in From");
        }
        if (m.getContentLength() != null && m.getContentLength().getContentLength() > bodyBytes) {
            throw new Malformed(400, "the body is shorter than Content-Length");
        }
        if (m instanceof SIPRequest r) {
            if (r.getRequestURI() == null || r.getRequestLine().getSipVersion() == null
                || !r.getRequestLine().getSipVersion().equalsIgnoreCase("SIP/2.0")) {
                throw new Malformed(505, "not SIP/2.0");
            }
            if (!r.getMethod().equals(r.getCSeq().getMethod())) {
                throw new Malformed(400, "CSeq names another method");
            }
            if (r.getCSeq().getSeqNumber() < 0 || r.getCSeq().getSeqNumber() > 0x7FFFFFFFL) {
                throw new Malformed(400, "the number in CSeq is none");
            }
        } else if (m instanceof SIPResponse r && (r.getStatusCode() < 100 || r.getStatusCode() > 699)) {
            throw new Malformed(400, "a status that is none");
        }
    }

    /** A message that we composed ourselves; it cannot be malformed but by a fault of ours. */
    public static SIPMessage own(String text) {
        try {
            return read(text.getBytes(StandardCharsets.UTF_8));
        } catch (Malformed e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    public static byte[] write(SIPMessage m) {
        return m.encodeAsBytes("udp");
    }

    /** The value of a field that is not of RFC 3261; null where there is none. */
    public static String field(SIPMessage m, String name) {
        String line = m.getHeader(name) == null ? null : m.getHeader(name).toString();
        return line == null ? null : line.substring(line.indexOf(':') + 1).strip();
    }

    /** A whole number in a field, or {@code otherwise}. */
    public static long whole(SIPMessage m, String name, long otherwise) {
        String v = field(m, name);
        return v != null && v.matches("[0-9]{1,9}.*") ? Long.parseLong(v.replaceAll("[^0-9].*", "")) : otherwise;
    }

    /** What tells the transactions of one sender apart: who sent it (section 17.2.3). */
    static String sentBy(Via via) {
        return via.getHost() + ":" + via.getPort();
    }

    public static String body(SIPMessage m) {
        byte[] raw = m.getRawContent();
        return raw == null ? "" : new String(raw, StandardCharsets.UTF_8);
    }
}
