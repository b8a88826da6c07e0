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

/** Messages of the kinds that RFC 4475 lists, and whatever else may come: taken, or refused in one way. */
class TortureTest {
    private static final String GOOD =
            "INVITE sip:7@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK1\r\n"
                    + "Max-Forwards: 70\r\nFrom: <sip:1@a>;tag=f\r\nTo: <sip:7@b>\r\nCall-ID: c\r\nCSeq: 1 INVITE\r\n"
                    + "Contact: <sip:1@127.0.0.1:5070>\r\nContent-Length: 0\r\n\r\n";

    private static final String ODD = ";,<>\"@: \r\n%\\=";

    private static SIPMessage read(String s) throws Malformed {
        return SipText.read(s.getBytes(StandardCharsets.UTF_8));
    }

    /** What is to be replaced in a good message, and by what; RFC 4475's section and what it is to come to. */
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
    void eachKind(String name, String what, String by, String then) throws Exception {
        String text = GOOD.replace(un(what), by == null ? "" : un(by));
        assertTrue(!text.equals(GOOD), name);
        int status = 0;
        try {
            read(text);
        } catch (Malformed e) {
            status = e.status();
        }
        if (!then.equals("any")) { // else either reading is right, so long as nothing else happens
            assertEquals(then.equals("taken") ? 0 : Integer.parseInt(then), status, name);
        }
    }

    private static String un(String s) {
        return s.replace("\\r", "\r")
                .replace("\\n", "\n")
                .replace("\\t", "\t")
                .replace("\\u0000", "\0")
                .replace("\\u00e6", "\u00e6");
    }

    /** A mutated message is read or refused, never anything else; what is read has all that the upper parts rely on. */
    @Test
    void whateverComesIsReadOrRefused() {
        int taken = 0;
        for (long seed = 0; seed < 30_000; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            byte[] b = GOOD.getBytes(StandardCharsets.UTF_8);
            for (int n = 1 + r.nextInt(4); n > 0; n--) {
                int at = r.nextInt(b.length);
                int to = Math.min(b.length, at + r.nextInt(20));
                switch (r.nextInt(4)) {
                    case 0 -> b[at] = (byte) r.nextInt(256);
                    case 1 -> b = join(Arrays.copyOf(b, at), Arrays.copyOfRange(b, to, b.length)); // left out
                    case 2 -> b = join(Arrays.copyOf(b, to), Arrays.copyOfRange(b, at, b.length)); // twice
                    default -> b[at] = (byte) ODD.charAt(r.nextInt(ODD.length()));
                }
                b = b.length == 0 ? new byte[1] : b;
            }
            try {
                SIPMessage m = SipText.read(b);
                assertTrue(
                        m.getTopmostVia().getBranch() != null
                                && m.getCallId() != null
                                && m.getFromTag() != null
                                && m.getCSeq().getMethod() != null,
                        "seed " + seed);
                SipText.write(m);
                taken++;
            } catch (Malformed e) {
                assertTrue(e.status() >= 400 && e.status() < 600, "seed " + seed);
            }
        }
        assertTrue(taken > 1000 && taken < 29_000, "so many were taken: " + taken);
    }

    private static byte[] join(byte[] a, byte[] b) {
        byte[] out = Arrays.copyOf(a, a.length + b.length);
        System.arraycopy(b, 0, out, a.length, b.length);
        return out;
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 9_000, 70_000})
    void whatIsTooLongIsRefused(int length) throws Exception {
        String text = GOOD.replace("Call-ID: c", "Call-ID: " + "c".repeat(length));
        if (length < 8_000) {
            assertEquals(length, read(text).getCallId().getCallId().length());
        } else {
            assertEquals(513, assertThrows(Malformed.class, () -> read(text)).status());
        }
    }

    @Test
    void aDatagramOf64KilobytesIsRead() throws Exception {
        String body = "x".repeat(64_000);
        SIPMessage m = read(GOOD.replace(
                "Content-Length: 0\r\n\r\n", "Content-Type: text/plain\r\nContent-Length: 64000\r\n\r\n" + body));
        assertEquals(body, SipText.body(m));
    }

    // ---- Streams

    /** Three messages, with keep-alives between, split at every byte. */
    @Test
    void aStreamIsCutWhereverItWasSplit() throws Exception {
        String withBody = GOOD.replace("Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nv=0\n");
        byte[] all = ("\r\n\r\n" + GOOD + "\r\n\r\n" + withBody + GOOD).getBytes(StandardCharsets.UTF_8);
        for (int at = 0; at <= all.length; at++) {
            for (int gap : new int[] {1, 7}) {
                List<String> out = new ArrayList<>();
                Framer f = new Framer(10_000, b -> out.add(new String(b, StandardCharsets.UTF_8)), () -> {});
                f.take(Arrays.copyOf(all, at));
                f.take(Arrays.copyOfRange(all, at, Math.min(all.length, at + gap)));
                f.take(Arrays.copyOfRange(all, Math.min(all.length, at + gap), all.length));
                assertEquals(List.of(GOOD, withBody, GOOD), out, "split at " + at);
            }
        }
    }

    @Test
    void aByteAtATime() throws Exception {
        List<String> out = new ArrayList<>();
        int[] pings = new int[1];
        Framer f = new Framer(10_000, b -> out.add(new String(b, StandardCharsets.UTF_8)), () -> pings[0]++);
        for (byte b : (GOOD + "\r\n\r\n" + GOOD).getBytes(StandardCharsets.UTF_8)) {
            f.take(new byte[] {b});
        }
        assertEquals(List.of(GOOD, GOOD), out);
        assertEquals(1, pings[0]);
    }

    @ParameterizedTest
    @CsvSource({
        "Content-Length: 0, X: 0, 400",
        "Content-Length: 0, Content-Length: -1, 400",
        "Content-Length: 0, l: 20000, 513",
        "Call-ID: c, Call-ID: LONG, 513"
    })
    void aStreamThatCannotBeToldApartIsRefused(String what, String by, int status) {
        String text = GOOD.replace(what, by.replace("LONG", "c".repeat(20_000)));
        Framer f = new Framer(10_000, b -> {}, () -> {});
        assertEquals(
                status,
                assertThrows(Malformed.class, () -> f.take(text.getBytes(StandardCharsets.UTF_8)))
                        .status());
    }

    // ---- Descriptions

    private static final String SDP = "v=0\r\no=- 1 1 IN IP4 127.0.0.1\r\ns=-\r\nc=IN IP4 127.0.0.1\r\n%st=0 0\r\n"
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
    void theRateOfVideoIsRead(String session, String audio, String video, String more, double kbit) throws Exception {
        String text = String.format(SDP, line(session), line(audio), line(video), line(more));
        Sdp s = Sdp.read(text);
        assertEquals(kbit, s.kbitS());
        assertTrue(s.video());
        Sdp at = Sdp.read(s.at(123.4));
        assertTrue(at.kbitS() <= 123.41, at.text());
        assertTrue(at.text().contains("m=video 4002 RTP/AVP 96\r\nb=AS:124\r\nb=TIAS:123400\r\na=rtpmap"), at.text());
    }

    private static String line(String s) {
        return s == null ? "" : un(s) + "\r\n";
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
    void whatIsNoDescriptionIsRefused(String text) {
        try {
            Sdp s = Sdp.read(text);
            assertTrue(!s.video() && Double.isNaN(s.kbitS()), "taken for one without video: " + text);
        } catch (Malformed e) {
            assertEquals(400, e.status());
        }
    }

    // ---- Overload control

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
    void whatAServerWantsSparedIsRead(String parameters, Double use) throws Exception {
        SIPRequest r = (SIPRequest) read(GOOD.replace("branch=z9hG4bK1", "branch=z9hG4bK1;" + parameters));
        Overload o = Overload.read(r.getTopmostVia());
        assertEquals(use, o == null ? null : (Double) o.use());
    }

    @Test
    void whatIsWrittenIsReadAgain() throws Exception {
        SIPRequest r = (SIPRequest) read(GOOD.replace("branch=z9hG4bK1", "branch=z9hG4bK1;oc;oc-algo=\"loss\""));
        assertTrue(Overload.isAsked(r.getTopmostVia()));
        new Overload(35, 500, 12.5).write(r.getTopmostVia());
        assertEquals(
                new Overload(35, 500, 12.5),
                Overload.read(((SIPRequest) SipText.read(SipText.write(r))).getTopmostVia()));
        assertArrayEquals(SipText.write(r), SipText.write(SipText.read(SipText.write(r))));
    }
}
