package walnutfield.sip;

import gov.nist.javax.sip.header.Via;
import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import gov.nist.javax.sip.parser.StringMsgParser;
import java.nio.charset.StandardCharsets;
import java.text.ParseException;
import java.util.Iterator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads and writes messages (RFC 3261, sections 7 and 25) with JAIN-SIP's parser behind a rim of our own: whatever comes,
 * there is either a message with all that the upper parts rely on, or one {@link Malformed}.
 */
public final class SipText {
    /** A datagram holds no more (RFC 3261, section 18.1.1). */
    public static final int MOST = 65_535;

    private static final int FIELDS_MOST = 256;
    private static final int LINE_MOST = 8_192;
    private static final Pattern STATUS_LINE =
            Pattern.compile("SIP/2\\.0 [1-6][0-9]{2}( .*)?", Pattern.CASE_INSENSITIVE);
    private static final Pattern REQUEST_LINE =
            Pattern.compile("[A-Za-z0-9.!%*_+`'~-]{1,64} [^ \t<>\"]+ ([A-Za-z]{1,16}/[0-9]+\\.[0-9]+)");

    private SipText() {}

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
        startLine(bytes);
        SIPMessage m;
        try {
            m = new StringMsgParser().parseSIPMessage(bytes, true, true, (e, message, type, field, text) -> {
                if (type != null
                        && NEEDED.contains(type.getSimpleName())) { // others that it cannot read are passed over
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

    private static final List<String> NEEDED = List.of(
            "Via",
            "ViaList",
            "From",
            "To",
            "CSeq",
            "CallID",
            "MaxForwards",
            "ContentLength",
            "ContactList",
            "Contact",
            "RequestLine",
            "StatusLine",
            "RouteList",
            "RecordRouteList");

    private static int headEnd(byte[] b) {
        for (int i = 3; i < b.length; i++) {
            if (b[i] == '\n' && b[i - 1] == '\r' && b[i - 2] == '\n' && b[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    /** JAIN's parser is more lenient with it than section 25 is, and with a version that is not ours. */
    private static void startLine(byte[] b) throws Malformed {
        int end = 0;
        while (b[end] != '\r' && b[end] != '\n') {
            end++;
        }
        String line = new String(b, 0, end, StandardCharsets.UTF_8);
        if (STATUS_LINE.matcher(line).matches()) {
            return;
        }
        Matcher m = REQUEST_LINE.matcher(line);
        if (!m.matches()) {
            throw new Malformed(400, "a start line that is none");
        }
        if (!m.group(1).equalsIgnoreCase("SIP/2.0")) {
            throw new Malformed(505, "not SIP/2.0");
        }
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
        if (m.getTopmostVia() == null
                || m.getFrom() == null
                || m.getTo() == null
                || m.getCallId() == null
                || m.getCSeq() == null
                || m.getCSeq().getMethod() == null) {
            throw new Malformed(400, "a field that every message has is missing");
        }
        if (m.getCallId().getCallId() == null
                || m.getCallId().getCallId().isBlank()
                || m.getTopmostVia().getBranch() == null) {
            throw new Malformed(400, "no Call-ID, or no branch in the topmost Via");
        }
        if (m.getFromTag() == null) {
            throw new Malformed(400, "no tag in From");
        }
        if (m.getContentLength() != null && m.getContentLength().getContentLength() > bodyBytes) {
            throw new Malformed(400, "the body is shorter than Content-Length");
        }
        if (m instanceof SIPRequest r) {
            if (r.getRequestURI() == null) {
                throw new Malformed(400, "no request URI");
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

    /**
     * What the sender of a malformed request is told, made of the fields that can be told apart in it; null where that is
     * not enough, or where it is no request that has a response.
     */
    public static byte[] refusal(byte[] malformed, Malformed why) {
        String text = new String(malformed, 0, Math.min(malformed.length, LINE_MOST), StandardCharsets.UTF_8);
        String[] lines = text.split("\r\n");
        if (lines[0].startsWith("SIP/") || lines[0].startsWith("ACK ")) {
            return null;
        }
        StringBuilder out = new StringBuilder("SIP/2.0 ").append(why.status()).append(" Refused\r\n");
        for (String name : List.of("Via:", "From:", "To:", "Call-ID:", "CSeq:")) {
            String line = null;
            for (String l : lines) {
                line = line == null && l.regionMatches(true, 0, name, 0, name.length()) ? l : line;
            }
            if (line == null) {
                return null;
            }
            out.append(line)
                    .append(name.equals("To:") && !line.contains(";tag=") ? ";tag=refused" : "")
                    .append("\r\n");
        }
        return out.append("Content-Length: 0\r\n\r\n").toString().getBytes(StandardCharsets.UTF_8);
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

    /** The value of a field, or of all of that name as a list; null where there is none. */
    public static String field(SIPMessage m, String name) {
        StringBuilder out = new StringBuilder();
        for (Iterator<?> all = m.getHeaders(name); all.hasNext(); ) {
            String line = all.next().toString();
            out.append(out.length() == 0 ? "" : ", ")
                    .append(line.substring(line.indexOf(':') + 1).strip());
        }
        return out.length() == 0 ? null : out.toString();
    }

    /** Adds a field to a message of our own. */
    public static void add(SIPMessage m, String name, String value) {
        m.addHeader(name + ": " + value);
    }

    /** The end of a request's text: its last fields and its body, which is counted in bytes (RFC 3261, section 20.14). */
    public static String end(String body) {
        return (body.isEmpty() ? "" : "Content-Type: application/sdp\r\n") + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** Gives a message of our own a session description. */
    public static void describe(SIPMessage m, String description) {
        add(m, "Content-Type", "application/sdp");
        m.setMessageContent(description.getBytes(StandardCharsets.UTF_8));
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
