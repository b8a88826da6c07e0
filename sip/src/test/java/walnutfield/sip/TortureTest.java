package walnutfield.sip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The torture test messages of RFC 4475, mutated messages, byte streams, session descriptions and overload parameters:
 * each input is either accepted or rejected by {@link MalformedMessageException}; no other exception may escape.
 */
class TortureTest {
    private static final String VALID_INVITE =
            "INVITE sip:7@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK1\r\n"
                    + "Max-Forwards: 70\r\nFrom: <sip:1@a>;tag=f\r\nTo: <sip:7@b>\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n"
                    + "Contact: <sip:1@127.0.0.1:5070>\r\nContent-Length: 0\r\n\r\n";

    private static final String SEPARATORS = ";,<>\"@: \r\n%\\=";

    private static SIPMessage read(String text) throws MalformedMessageException {
        return SipCodec.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Section of RFC 4475 and case; text replaced in a valid message, its replacement, and the expected result. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "3.1.1.1 folded lines, odd case | From: <sip:1@a>;tag=f | FROM :\t<sip:1@a>\\r\\n  ;tag  =  f | taken",
                "3.1.1.1 a short name | Call-ID: c | i:  c | taken",
                "3.1.1.2 any token as a method | INVITE sip | !x%z*_+`'~ sip | 400",
                "3.1.1.3 escapes in a user | sip:7@127 | sip:sips%3Auser%40example.com@127 | taken",
                "3.1.1.4 a null in escape | sip:7@127 | sip:null-%00-null@127 | taken",
                "3.1.1.6 no space before < | <sip:1@a> | one<sip:1@a> | taken",
                "3.1.1.8 an extra field of one letter | Content-Length | X: y\\r\\nContent-Length | taken",
                "3.1.1.9 semicolons in a user | sip:7@127 | sip:user;par=u%40example.net@127 | taken",
                "3.1.1.12 an unusual reason | CSeq | Subject: \\u00e6\\r\\nCSeq | taken",
                "3.1.2.1 separators after a parameter | branch=z9hG4bK1 | branch=z9hG4bK1;;,;,, | 400",
                "3.1.2.2 Content-Length larger than the body | Content-Length: 0 | Content-Length: 9999 | 400",
                "3.1.2.3 a negative Content-Length | Content-Length: 0 | Content-Length: -999 | 400",
                "3.1.2.4 a number over 32 bits | CSeq: 1 | CSeq: 36893488147419103232 | 400",
                "3.1.2.4 a number over 31 bits | CSeq: 1 | CSeq: 4294967295 | 400",
                "3.1.2.6 an unclosed quote | <sip:7@b> | \"Mr. J. User <sip:7@b> | 400",
                "3.1.2.7 a URI in angle brackets | sip:7@127.0.0.1 SIP | <sip:7@127.0.0.1> SIP | 400",
                "3.1.2.8 spaces within a URI | sip:7@127.0.0.1 SIP | sip:7@127.0.0.1; lr SIP | 400",
                "3.1.2.9 more spaces than one | INVITE sip | INVITE  sip | 400",
                "3.1.2.10 spaces at the line's end | SIP/2.0\\r\\nVia | SIP/2.0  \\r\\nVia | any",
                "3.1.2.16 another version | SIP/2.0\\r\\nVia | SIP/7.0\\r\\nVia | 505",
                "3.1.2.17 CSeq of another method | 1 INVITE | 1 OPTIONS | 400",
                "3.1.2.18 an unknown method in CSeq | 1 INVITE | 1 NEWMETHOD | 400",
                "3.3.1 no From | From: <sip:1@a>;tag=f\\r\\n |  | 400",
                "3.3.1 no tag in From | ;tag=f |  | 400",
                "3.3.1 no Via | Via: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK1\\r\\n |  | 400",
                "3.3.1 no Call-ID | Call-ID: c\\r\\n |  | 400",
                "3.3.1 no CSeq | CSeq: 1 INVITE\\r\\n |  | 400",
                "3.3.8 From and To twice | To: <sip:7@b> | To: <sip:8@b>\\r\\nTo: <sip:7@b> | any",
                "3.3.15 a body that is no description | Content-Length: 0 | Content-Type: text/x\\r\\nContent-Length: 0 | taken",
                "a zero byte | Call-ID: c | Call-ID: c\\u0000d | 400",
                "no branch | ;branch=z9hG4bK1 |  | 400",
                "an empty Call-ID | Call-ID: c | Call-ID: | 400"
            })
    void tortureMessages(String name, String replaced, String replacement, String expected) throws Exception {
        String text = VALID_INVITE.replace(unescape(replaced), replacement == null ? "" : unescape(replacement));
        assertTrue(!text.equals(VALID_INVITE), name);
        int status = 0;
        try {
            read(text);
        } catch (MalformedMessageException e) {
            status = e.status();
        }
        if (!expected.equals("any")) { // "any": it may be accepted or rejected, but no other exception may escape
            assertEquals(expected.equals("taken") ? 0 : Integer.parseInt(expected), status, name);
        }
    }

    private static String unescape(String text) {
        return text.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\u0000", "\0")
                .replace("\\u00e6", "\u00e6");
    }

    /** Mutated messages are accepted or rejected, and an accepted one has every field that the callers rely on. */
    @Test
    void mutatedMessagesAreAcceptedOrRejected() {
        int accepted = 0;
        for (long seed = 0; seed < 30_000; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            byte[] bytes = VALID_INVITE.getBytes(StandardCharsets.UTF_8);
            for (int edits = 1 + random.nextInt(4); edits > 0; edits--) {
                int start = random.nextInt(bytes.length);
                int end = Math.min(bytes.length, start + random.nextInt(20));
                switch (random.nextInt(4)) {
                    case 0 -> bytes[start] = (byte) random.nextInt(256);
                    // Removes the bytes from start to end.
                    case 1 -> bytes = join(Arrays.copyOf(bytes, start), Arrays.copyOfRange(bytes, end, bytes.length));
                    // Repeats the bytes from start to end.
                    case 2 -> bytes = join(Arrays.copyOf(bytes, end), Arrays.copyOfRange(bytes, start, bytes.length));
                    default -> bytes[start] = (byte) SEPARATORS.charAt(random.nextInt(SEPARATORS.length()));
                }
                bytes = bytes.length == 0 ? new byte[1] : bytes;
            }
            try {
                SIPMessage parsed = SipCodec.parse(bytes);
                assertTrue(
                        parsed.getTopmostVia().getBranch() != null
                                && parsed.getCallId() != null
                                && parsed.getFromTag() != null
                                && parsed.getCSeq().getMethod() != null,
                        "seed " + seed);
                SipCodec.encode(parsed);
                accepted++;
            } catch (MalformedMessageException e) {
                assertTrue(e.status() >= 400 && e.status() < 600, "seed " + seed);
            }
        }
        assertTrue(accepted > 1000 && accepted < 29_000, "accepted messages: " + accepted);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] joined = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 9_000, 70_000})
    void overlongFieldsAreRejected(int length) throws Exception {
        String text = VALID_INVITE.replace("Call-ID: c", "Call-ID: " + "c".repeat(length));
        if (length < 8_000) {
            assertEquals(length, read(text).getCallId().getCallId().length());
        } else {
            assertEquals(
                    513,
                    assertThrows(MalformedMessageException.class, () -> read(text))
                            .status());
        }
    }

    @Test
    void aDatagramOf64KilobytesIsParsed() throws Exception {
        String body = "x".repeat(64_000);
        SIPMessage message = read(VALID_INVITE.replace(
                "Content-Length: 0\r\n\r\n", "Content-Type: text/plain\r\nContent-Length: 64000\r\n\r\n" + body));
        assertEquals(body, SipCodec.body(message));
    }

    // Byte streams

    /** Three messages with keep-alives between them, read in parts that are split at every byte. */
    @Test
    void aStreamSplitAnywhereGivesTheSameMessages() throws Exception {
        String withBody = VALID_INVITE.replace("Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nv=0\n");
        byte[] stream =
                ("\r\n\r\n" + VALID_INVITE + "\r\n\r\n" + withBody + VALID_INVITE).getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= stream.length; split++) {
            for (int middle : new int[] {1, 7}) {
                List<String> messages = new ArrayList<>();
                Framer framer =
                        new Framer(10_000, bytes -> messages.add(new String(bytes, StandardCharsets.UTF_8)), () -> {});
                framer.receive(Arrays.copyOf(stream, split));
                framer.receive(Arrays.copyOfRange(stream, split, Math.min(stream.length, split + middle)));
                framer.receive(Arrays.copyOfRange(stream, Math.min(stream.length, split + middle), stream.length));
                assertEquals(List.of(VALID_INVITE, withBody, VALID_INVITE), messages, "split at " + split);
            }
        }
    }

    @Test
    void aStreamReadByteByByteGivesItsMessages() throws Exception {
        List<String> messages = new ArrayList<>();
        int[] pings = new int[1];
        Framer framer =
                new Framer(10_000, bytes -> messages.add(new String(bytes, StandardCharsets.UTF_8)), () -> pings[0]++);
        for (byte b : (VALID_INVITE + "\r\n\r\n" + VALID_INVITE).getBytes(StandardCharsets.UTF_8)) {
            framer.receive(new byte[] {b});
        }
        assertEquals(List.of(VALID_INVITE, VALID_INVITE), messages);
        assertEquals(1, pings[0]);
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 0, X: 0, 400",
        "Content-Length: 0, Content-Length: -1, 400",
        "Content-Length: 0, l: 20000, 513",
        "Call-ID: c, Call-ID: LONG, 513"
    })
    void aStreamWithoutMessageBoundariesIsRejected(String replaced, String replacement, int status) {
        String text = VALID_INVITE.replace(replaced, replacement.replace("LONG", "c".repeat(20_000)));
        Framer framer = new Framer(10_000, bytes -> {}, () -> {});
        assertEquals(
                status,
                assertThrows(
                                MalformedMessageException.class,
                                () -> framer.receive(text.getBytes(StandardCharsets.UTF_8)))
                        .status());
    }

    // Session descriptions

    private static final String SDP_FORMAT =
            "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\n%st=0 0\r\n"
                    + "m=audio 4000 RTP/AVP 0\r\n%sm=video 4002 RTP/AVP 96\r\n%sa=rtpmap:96 H264/90000\r\n%s";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                "- | - | - | - | NaN",
                "- | - | b=AS:800 | - | 800",
                "- | - | b=TIAS:640500 | - | 640.5",
                "- | - | b=AS:800\\r\\nb=TIAS:700000 | - | 700",
                "b=AS:1000 | - | - | - | 1000",
                "b=AS:1000 | b=AS:64 | - | - | 936",
                "b=CT:500 | b=AS:64 | b=AS:800 | - | 436",
                "- | - | b=AS:800 | m=video 4004 RTP/AVP 97\\r\\nb=AS:200 | 800",
                "- | - | b=AS:800 | m=video 0 RTP/AVP 97\\r\\nb=AS:9000 | 800"
            })
    void theVideoBandwidthIsParsedAndReplaced(
            String session, String audio, String video, String furtherMedia, double kbit) throws Exception {
        String text = String.format(SDP_FORMAT, line(session), line(audio), line(video), line(furtherMedia));
        Sdp parsed = Sdp.parse(text);
        assertEquals(kbit, parsed.videoKbitPerS());
        assertTrue(parsed.hasVideo());
        Sdp limited = Sdp.parse(parsed.withVideoRate(123.4));
        assertTrue(limited.videoKbitPerS() <= 123.41, limited.text());
        assertTrue(
                limited.text().contains("m=video 4002 RTP/AVP 96\r\nb=AS:124\r\nb=TIAS:123400\r\na=rtpmap"),
                limited.text());
    }

    private static String line(String escaped) {
        return escaped == null ? "" : unescape(escaped) + "\r\n";
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "x",
                "v=0",
                "v=0\r\nm=video x RTP/AVP 96\r\n",
                "v=0\r\no=- 1 1 IN IP4 a\r\ns=-\r\nt=0 0\r\nb=AS:many\r\n"
            })
    void invalidDescriptionsAreRejectedOrHaveNoVideo(String text) {
        try {
            Sdp parsed = Sdp.parse(text);
            assertTrue(
                    !parsed.hasVideo() && Double.isNaN(parsed.videoKbitPerS()),
                    "accepted with video or a bandwidth: " + text);
        } catch (MalformedMessageException e) {
            assertEquals(400, e.status());
        }
    }

    // Overload control

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                "oc=20;oc-algo=\"loss\";oc-validity=500;oc-seq=7.5 | 1.25",
                "oc=0 | NaN",
                "oc=100 | 100",
                "oc=101 | -",
                "oc=x | -",
                "oc | -",
                "oc=20;oc-algo=\"rate\" | -"
            })
    void overloadParametersAreParsed(String parameters, Double utilization) throws Exception {
        SIPRequest request =
                (SIPRequest) read(VALID_INVITE.replace("branch=z9hG4bK1", "branch=z9hG4bK1;" + parameters));
        OverloadControl overload = OverloadControl.read(request.getTopmostVia());
        assertEquals(utilization, overload == null ? null : (Double) overload.utilization());
    }

    @Test
    void writtenOverloadParametersAreParsedAgain() throws Exception {
        SIPRequest request =
                (SIPRequest) read(VALID_INVITE.replace("branch=z9hG4bK1", "branch=z9hG4bK1;oc;oc-algo=\"loss\""));
        assertTrue(OverloadControl.isSupported(request.getTopmostVia()));
        new OverloadControl(35, 500, 12.5).write(request.getTopmostVia());
        assertEquals(
                new OverloadControl(35, 500, 12.5),
                OverloadControl.read(((SIPRequest) SipCodec.parse(SipCodec.encode(request))).getTopmostVia()));
        assertArrayEquals(SipCodec.encode(request), SipCodec.encode(SipCodec.parse(SipCodec.encode(request))));
    }
}
