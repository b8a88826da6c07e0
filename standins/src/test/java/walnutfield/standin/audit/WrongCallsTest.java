package walnutfield.standin.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipNode;
import walnutfield.play.Ladder;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipText;
import walnutfield.sip.Transactions;
import walnutfield.standin.Callers;
import walnutfield.standin.HostPlan;
import walnutfield.standin.HostTerms;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.SipHosts;
import walnutfield.standin.Viewers;
import walnutfield.standin.Weather;

/** What a front for calls may do wrong is seen by the hosts and callers that it meets, and caught by the same auditor. */
class WrongCallsTest {
    private static final Weather.Sky CLEAR = new Weather.Sky(0, 0, 0);
    private static final Ladder LADDER = new Ladder(List.of(10.0, 20.0), List.of(0.5, 1.0), 8);
    private static final Map<String, TrafficClass> BANDS = new LinkedHashMap<>();
    private static final SlowStartPolicy COLD = new SlowStartPolicy(0.1, 4000, 2, 500);

    static {
        BANDS.put("free", new TrafficClass("free", 500, 1000, 1, false, 1, 0, 1, 0));
        BANDS.put("paid", new TrafficClass("paid", 500, 1000, 3, true, 1, 0, 1, 0));
        BANDS.put("seated", new TrafficClass("seated", 500, 1000, 3, false, 1, 1, 1, 1));
    }

    /** A socket that sends what it is told to. */
    private static final class Wire implements AutoCloseable {
        private final BlockingQueue<SIPMessage> came = new LinkedBlockingQueue<>();
        private final BlockingQueue<Flow> from = new LinkedBlockingQueue<>();
        private final SipNode node;
        private final int port;

        Wire() throws Exception {
            node = new SipNode("wrong", 10, new SipNode.Receiver() {
                @Override
                public void came(byte[] message, Flow flow, int localPort) {
                    try {
                        from.add(flow);
                        came.add(SipText.read(message));
                    } catch (Malformed e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                public void broken(Flow flow) {}
            });
            port = node.bind(0, true);
        }

        /** A leg to a host, as a gateway sends it; waits for its final answer. */
        int leg(int host, String play, int leg, String band, double kbit) throws Exception {
            String offer = Sdp.of("127.0.0.1", 4000, 1, kbit);
            send(
                    host,
                    "INVITE sip:1@h SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:" + port + ";branch=z9hG4bK" + play + leg
                            + "\r\nMax-Forwards: 70\r\nFrom: <sip:g@g>;tag=g\r\nTo: <sip:1@h>\r\nCall-ID: " + play + "."
                            + leg
                            + "\r\nCSeq: 1 INVITE\r\nPlay-Leg: " + leg + "\r\nPlay-Band: " + band
                            + "\r\nPlay-Gateway: gw\r\nContent-Type: "
                            + "application/sdp\r\nContent-Length: " + offer.length() + "\r\n\r\n" + offer);
            while (true) {
                SIPMessage m = came.poll(5, TimeUnit.SECONDS);
                if (m == null
                        || m instanceof SIPResponse r
                                && r.getStatusCode() >= 200
                                && m.getCallId().getCallId().equals(play + "." + leg)) {
                    return m == null ? 0 : ((SIPResponse) m).getStatusCode();
                }
            }
        }

        void send(int to, String text) {
            node.datagrams(port, new InetSocketAddress("127.0.0.1", to)).send(text.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void close() throws Exception {
            node.close();
        }
    }

    private static Auditor auditor() {
        Auditor a = new Auditor(new Rules(BANDS, new RetryPolicy(4, 1, 0, 10_000), COLD, 300, 150));
        a.gatewayUp("gw", 0);
        return a;
    }

    /** What is sent to the hosts, and the rule that it breaks; -1 for none. */
    @ParameterizedTest
    @CsvSource({
        "one leg, -1",
        "two legs out, 1",
        "paid again, 1",
        "under the floor, 4",
        "too many seats, 4",
        "too many legs, 5",
        "to a draining host, 2",
        "onto a cold host, 3"
    })
    void whatIsSentToHostsIsHeldAgainstTheRules(String what, int rule) throws Exception {
        Auditor a = auditor();
        List<HostPlan> plans =
                List.of(new HostPlan("h0", "p", 0, 0, 1e6, 40, 1), new HostPlan("h1", "p", 1, 0, 1e6, 40, 1));
        HostTerms terms =
                new HostTerms(LADDER, BANDS, COLD, List.of(), 0, 1, 0, 300, 0, 100, 0, 1, 5, 0, 60_000, Map.of());
        try (MediaHosts hosts = new MediaHosts(plans, terms, 1, a);
                SipHosts sip = new SipHosts(hosts, 50, CLEAR, 2, a);
                Wire w = new Wire()) {
            int one = hosts.port("h0");
            int other = hosts.port("h1");
            switch (what) {
                case "two legs out" -> {
                    hosts.slow("h0", 1500);
                    Thread slow = new Thread(() -> {
                        try (Wire again = new Wire()) {
                            again.leg(one, "gw.1-1", 0, "free", 80);
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
                    slow.start();
                    Thread.sleep(300);
                    assertEquals(200, w.leg(other, "gw.1-1", 1, "free", 80));
                    slow.join();
                }
                case "paid again" -> {
                    hosts.failing("h0", 1);
                    assertEquals(500, w.leg(one, "gw.1-1", 0, "paid", 160));
                    assertEquals(200, w.leg(other, "gw.1-1", 1, "paid", 160));
                }
                case "under the floor" -> assertEquals(200, w.leg(one, "gw.1-1", 0, "seated", 80));
                case "too many seats" -> {
                    assertEquals(200, w.leg(one, "gw.1-1", 0, "seated", 160));
                    assertEquals(200, w.leg(one, "gw.1-2", 0, "seated", 160));
                }
                case "too many legs" -> {
                    hosts.failing("h0", 1);
                    for (int i = 0; i < 4; i++) {
                        assertEquals(500, w.leg(one, "gw.1-1", i, "free", 80));
                    }
                }
                case "to a draining host" -> {
                    a.listTold(
                            "gw", "h0", walnutfield.play.HostDescriptor.LifecycleState.DRAINING, 0, Clock.now() - 5000);
                    assertEquals(200, w.leg(one, "gw.1-1", 0, "free", 80));
                }
                case "onto a cold host" -> {
                    hosts.crash("h0");
                    hosts.restart("h0");
                    a.listTold(
                            "gw",
                            "h0",
                            walnutfield.play.HostDescriptor.LifecycleState.READY,
                            hosts.startedAt("h0"),
                            Clock.now());
                    for (int i = 0; i < 40; i++) {
                        if (w.leg(one, "gw.1-" + i, 0, "free", 80) == 0) {
                            break;
                        }
                    }
                }
                default -> assertEquals(200, w.leg(one, "gw.1-1", 0, "free", 80));
            }
            check(a.verdicts(Clock.now()), rule, what);
        }
    }

    private static void check(List<Verdict> all, int rule, String what) {
        for (int i = 0; i < all.size(); i++) {
            assertEquals(
                    i == rule,
                    !all.get(i).broken().isEmpty(),
                    what + ": " + all.get(i).rule() + " " + all.get(i).broken());
        }
    }

    /** How a front answers INVITEs, and whether that keeps the first rule. */
    @ParameterizedTest
    @CsvSource({"once, false", "a copy, false", "two answers, true", "late, true", "never, true"})
    void whatCallersAreAnsweredIsHeldAgainstTheFirstRule(String how, boolean broken) throws Exception {
        Auditor a = auditor();
        try (Wire front = new Wire();
                Callers callers = new Callers(
                        new Callers.Habits(0, 0, 0, 0, 0, 100),
                        LADDER,
                        50,
                        CLEAR,
                        1,
                        () -> new Viewers.Gate("gw", front.port),
                        a)) {
            callers.come(1, BANDS.get("free"), 1);
            callers.come(1, BANDS.get("free"), 1); // one by datagrams, one by a stream
            for (int i = 0; i < 2; i++) {
                SIPMessage m = front.came.poll(5, TimeUnit.SECONDS);
                Flow to = front.from.take();
                SIPRequest r = (SIPRequest) m;
                Thread.sleep(how.equals("late") ? 1300 : 0);
                for (int status : how.equals("never")
                        ? new int[0]
                        : how.equals("once")
                                ? new int[] {503}
                                : how.equals("two answers") ? new int[] {503, 500} : new int[] {503, 503}) {
                    to.send(SipText.write(Transactions.response(r, status, "t")));
                }
                if (how.equals("late")) {
                    break;
                }
            }
            for (int i = 0;
                    i < 400
                            && (callers.open() > 0
                                    || !how.equals("never") && callers.figures().get(3) == 0);
                    i++) {
                Thread.sleep(10);
            }
            Verdict v = a.verdicts(Clock.now() + 10_000).get(0);
            assertEquals(broken, !v.broken().isEmpty(), how + " " + v.broken());
            assertTrue(v.checked() > 0);
        }
    }
}
