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
 * Parses and encodes SIP messages (RFC 3261, sections 7 and 25) with JAIN-SIP's parser. Checks before and after the
 * parser ensure that any input gives either a message with every field that the callers rely on, or a
 * {@link MalformedMessageException}.
 */
public final class SipCodec {
    /** Largest message: the size limit of a UDP datagram (RFC 3261, section 18.1.1). */
    public static final int MAX_MESSAGE_BYTES = 65_535;

    private static final int MAX_HEADER_LINES = 256; // with the start line and the empty line
    private static final int MAX_LINE_BYTES = 8_192;
    private static final Pattern STATUS_LINE =
            Pattern.compile("SIP/2\\.0 [1-6][0-9]{2}( .*)?", Pattern.CASE_INSENSITIVE);
    private static final Pattern REQUEST_LINE =
            Pattern.compile("[A-Za-z0-9.!%*_+`'~-]{1,64} [^ \t<>\"]+ ([A-Za-z]{1,16}/[0-9]+\\.[0-9]+)");

    private SipCodec() {}

    /** Parses a complete message; bytes after the body of the length in Content-Length are discarded (section 18.3). */
    public static SIPMessage parse(byte[] bytes) throws MalformedMessageException {
        if (bytes.length > MAX_MESSAGE_BYTES) {
            throw new MalformedMessageException(513, "message longer than " + MAX_MESSAGE_BYTES + " bytes");
        }
        int headerEnd = headerEnd(bytes);
        if (headerEnd < 0) {
            throw new MalformedMessageException(400, "no empty line at the end of the header section");
        }
        checkLines(bytes, headerEnd);
        checkStartLine(bytes);
        SIPMessage parsed;
        try {
            parsed = new StringMsgParser().parseSIPMessage(bytes, true, true, (e, message, type, field, text) -> {
                if (type != null && STRICT_FIELDS.contains(type.getSimpleName())) {
                    throw e;
                }
            });
        } catch (ParseException | RuntimeException e) { // the parser throws any exception on unexpected input
            throw new MalformedMessageException(400, "malformed message: " + e.getMessage());
        }
        if (parsed == null) {
            throw new MalformedMessageException(400, "no message found");
        }
        checkFields(parsed, bytes.length - headerEnd);
        return parsed;
    }

    // JAIN-SIP's names of the parts that must be valid if present; other fields that cannot be parsed are ignored.
    private static final List<String> STRICT_FIELDS = List.of(
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

    /** The index after the empty line that ends the header section; -1 if there is none. */
    private static int headerEnd(byte[] bytes) {
        for (int i = 3; i < bytes.length; i++) {
            if (bytes[i] == '\n' && bytes[i - 1] == '\r' && bytes[i - 2] == '\n' && bytes[i - 3] == '\r') {
                return i + 1;
            }
        }
        return -1;
    }

    /** Checks what JAIN-SIP's parser does not: the strict syntax of the start line (section 25) and the SIP version. */
    private static void checkStartLine(byte[] bytes) throws MalformedMessageException {
        int end = 0;
        while (bytes[end] != '\r' && bytes[end] != '\n') {
            end++;
        }
        String line = new String(bytes, 0, end, StandardCharsets.UTF_8);
        if (STATUS_LINE.matcher(line).matches()) {
            return;
        }
        Matcher requestLine = REQUEST_LINE.matcher(line);
        if (!requestLine.matches()) {
            throw new MalformedMessageException(400, "malformed start line");
        }
        if (!requestLine.group(1).equalsIgnoreCase("SIP/2.0")) {
            throw new MalformedMessageException(505, "version is not SIP/2.0");
        }
    }

    /** Limits the length and the number of the header lines, and rejects zero bytes. */
    private static void checkLines(byte[] bytes, int headerEnd) throws MalformedMessageException {
        int lines = 0;
        int lineStart = 0;
        for (int i = 0; i < headerEnd; i++) {
            if (bytes[i] == 0) {
                throw new MalformedMessageException(400, "zero byte in the header section");
            }
            if (bytes[i] == '\n') {
                lines++;
                if (i - lineStart > MAX_LINE_BYTES || lines > MAX_HEADER_LINES) {
                    throw new MalformedMessageException(513, "header line too long, or too many header lines");
                }
                lineStart = i + 1;
            }
        }
    }

    /** Checks the fields that the transactions and dialogs rely on. */
    private static void checkFields(SIPMessage message, int bodyBytes) throws MalformedMessageException {
        if (message.getTopmostVia() == null
                || message.getFrom() == null
                || message.getTo() == null
                || message.getCallId() == null
                || message.getCSeq() == null
                || message.getCSeq().getMethod() == null) {
            throw new MalformedMessageException(400, "missing Via, From, To, Call-ID or CSeq");
        }
        if (message.getCallId().getCallId() == null
                || message.getCallId().getCallId().isBlank()
                || message.getTopmostVia().getBranch() == null) {
            throw new MalformedMessageException(400, "empty Call-ID, or no branch in the topmost Via");
        }
        if (message.getFromTag() == null) {
            throw new MalformedMessageException(400, "no tag in From");
        }
        if (message.getContentLength() != null && message.getContentLength().getContentLength() > bodyBytes) {
            throw new MalformedMessageException(400, "body shorter than Content-Length");
        }
        if (message instanceof SIPRequest request) {
            if (request.getRequestURI() == null) {
                throw new MalformedMessageException(400, "no Request-URI");
            }
            if (!request.getMethod().equals(request.getCSeq().getMethod())) {
                throw new MalformedMessageException(400, "method in CSeq differs from the request's");
            }
            if (request.getCSeq().getSeqNumber() < 0 || request.getCSeq().getSeqNumber() > 0x7FFFFFFFL) {
                throw new MalformedMessageException(400, "sequence number in CSeq out of range");
            }
        } else if (message instanceof SIPResponse response
                && (response.getStatusCode() < 100 || response.getStatusCode() > 699)) {
            throw new MalformedMessageException(400, "status code out of range");
        }
    }

    /**
     * The response to a malformed request, built from those of its header fields that can be found; null if a required
     * one is missing, or if the message is a response or an ACK, which get no response.
     */
    public static byte[] errorResponse(byte[] malformed, MalformedMessageException cause) {
        String text = new String(malformed, 0, Math.min(malformed.length, MAX_LINE_BYTES), StandardCharsets.UTF_8);
        String[] lines = text.split("\r\n");
        if (lines[0].startsWith("SIP/") || lines[0].startsWith("ACK ")) {
            return null;
        }
        StringBuilder out = new StringBuilder("SIP/2.0 ").append(cause.status()).append(" Refused\r\n");
        for (String name : List.of("Via:", "From:", "To:", "Call-ID:", "CSeq:")) {
            String line = null;
            for (String candidate : lines) {
                line = line == null && candidate.regionMatches(true, 0, name, 0, name.length()) ? candidate : line;
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

    /** Parses a message that this program composed; a malformed one is a programming error. */
    public static SIPMessage parseOwn(String text) {
        try {
            return parse(text.getBytes(StandardCharsets.UTF_8));
        } catch (MalformedMessageException e) {
            throw new IllegalArgumentException(text, e);
        }
    }

    /** Encodes a message. */
    public static byte[] encode(SIPMessage message) {
        return message.encodeAsBytes("udp");
    }

    /** The value of a header field, several of one name joined by commas; null if there is none. */
    public static String header(SIPMessage message, String name) {
        StringBuilder out = new StringBuilder();
        for (Iterator<?> headers = message.getHeaders(name); headers.hasNext(); ) {
            String line = headers.next().toString();
            out.append(out.length() == 0 ? "" : ", ")
                    .append(line.substring(line.indexOf(':') + 1).strip());
        }
        return out.length() == 0 ? null : out.toString();
    }

    /** Adds a header field to a message that this program composed. */
    public static void addHeader(SIPMessage message, String name, String value) {
        message.addHeader(name + ": " + value);
    }

    /**
     * The end of a message's text: Content-Type if there is a body, Content-Length, which counts bytes (RFC 3261,
     * section 20.14), the empty line and the body.
     */
    public static String endOfMessage(String body) {
        return (body.isEmpty() ? "" : "Content-Type: application/sdp\r\n") + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** Sets a session description as the body of a message that this program composed. */
    public static void setDescription(SIPMessage message, String description) {
        addHeader(message, "Content-Type", "application/sdp");
        message.setMessageContent(description.getBytes(StandardCharsets.UTF_8));
    }

    /** The integer at the start of a header field, or the default if there is none. */
    public static long headerAsLong(SIPMessage message, String name, long defaultValue) {
        String value = header(message, name);
        return value != null && value.matches("[0-9]{1,9}.*")
                ? Long.parseLong(value.replaceAll("[^0-9].*", ""))
                : defaultValue;
    }

    /** The sent-by value of a Via, part of the key that matches requests to transactions (section 17.2.3). */
    static String sentBy(Via via) {
        return via.getHost() + ":" + via.getPort();
    }

    /** The body as UTF-8 text; empty if there is none. */
    public static String body(SIPMessage message) {
        byte[] raw = message.getRawContent();
        return raw == null ? "" : new String(raw, StandardCharsets.UTF_8);
    }
}
