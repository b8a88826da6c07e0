package walnutfield.standin.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipTransport;
import walnutfield.play.Ladder;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Transactions;
import walnutfield.standin.Callers;
import walnutfield.standin.HostPlan;
import walnutfield.standin.ImpairedNetwork;
import walnutfield.standin.MediaHostSettings;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.SipHosts;
import walnutfield.standin.Viewers;

/**
 * Guards against an auditor that misses breaches of a gateway's SIP front. A test socket plays the front and breaks a
 * rule towards the simulated hosts or callers, which must lead to a breach of that rule and no other.
 */
class WrongCallsTest {
    private static final ImpairedNetwork.Impairments NO_IMPAIRMENTS = new ImpairedNetwork.Impairments(0, 0, 0);
    private static final Ladder LADDER = new Ladder(List.of(10.0, 20.0), List.of(0.5, 1.0), 8);
    private static final Map<String, TrafficClass> TRAFFIC_CLASSES = new LinkedHashMap<>();
    private static final SlowStartPolicy SLOW_START = new SlowStartPolicy(0.1, 4000, 2, 500);

    static {
        TRAFFIC_CLASSES.put("free", new TrafficClass("free", 500, 1000, 1, false, 1, 0, 1, 0));
        TRAFFIC_CLASSES.put("paid", new TrafficClass("paid", 500, 1000, 3, true, 1, 0, 1, 0));
        TRAFFIC_CLASSES.put("seated", new TrafficClass("seated", 500, 1000, 3, false, 1, 1, 1, 1));
    }

    /** A SIP socket that sends the given messages and queues those it receives. */
    private static final class TestSocket implements AutoCloseable {
        private final BlockingQueue<SIPMessage> received = new LinkedBlockingQueue<>();
        private final BlockingQueue<Flow> senders = new LinkedBlockingQueue<>();
        private final SipTransport node;
        private final int port;

        private final Set<String> seenCalls = new HashSet<>();

        TestSocket() throws Exception {
            node = new SipTransport("wrong", 10, new SipTransport.Receiver() {
                @Override
                public void onMessage(byte[] message, Flow flow, int localPort) {
                    try {
                        senders.add(flow);
                        received.add(SipCodec.parse(message));
                    } catch (MalformedMessageException e) {
                        throw new IllegalStateException(e);
                    }
                }

                @Override
                public void onConnectionClosed(Flow flow) {}
            });
            port = node.bind(0, true);
        }

        /** Sends a leg to a host, as a gateway does, and waits for its final status; 0 if none comes. */
        int sendLeg(int hostPort, String play, int legNumber, String trafficClass, double kbit) throws Exception {
            String offer = Sdp.of("127.0.0.1", 4000, 1, kbit);
            send(
                    hostPort,
                    "INVITE sip:1@h SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:" + port + ";branch=z9hG4bK" + play
                            + legNumber
                            + "\r\nMax-Forwards: 70\r\nFrom: <sip:g@g>;tag=g\r\nTo: <sip:1@h>\r\nCall-ID: " + play + "."
                            + legNumber
                            + "\r\nCSeq: 1 INVITE\r\nPlay-Leg: " + legNumber + "\r\nPlay-Band: " + trafficClass
                            + "\r\nPlay-Gateway: gw\r\nContent-Type: "
                            + "application/sdp\r\nContent-Length: " + offer.length() + "\r\n\r\n" + offer);
            while (true) {
                SIPMessage message = received.poll(5, TimeUnit.SECONDS);
                if (message == null
                        || message instanceof SIPResponse response
                                && response.getStatusCode() >= 200
                                && message.getCallId().getCallId().equals(play + "." + legNumber)) {
                    return message == null ? 0 : ((SIPResponse) message).getStatusCode();
                }
            }
        }

        /**
         * Waits for the INVITE of a call that was not seen before. On a busy machine a retransmission of the first
         * INVITE, or the ACK of its answer, can arrive before the INVITE of the second call.
         */
        SIPRequest nextCall() throws InterruptedException {
            while (true) {
                SIPRequest request = (SIPRequest) received.poll(5, TimeUnit.SECONDS);
                assertNotNull(request, "no INVITE of a further call within 5 s");
                if (request.getMethod().equals("INVITE")
                        && seenCalls.add(request.getCallId().getCallId())) {
                    return request;
                }
                senders.take();
            }
        }

        void send(int destinationPort, String text) {
            node.udpFlow(port, new InetSocketAddress("127.0.0.1", destinationPort))
                    .send(text.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public void close() throws Exception {
            node.close();
        }
    }

    private static Auditor newAuditor() {
        Auditor auditor =
                new Auditor(new Rules(TRAFFIC_CLASSES, new RetryPolicy(4, 1, 0, 10_000), SLOW_START, 300, 150));
        auditor.gatewayStarted("gw", 0);
        return auditor;
    }

    /** Each scenario of set-ups sent to hosts, and the index of the rule that it breaks; -1 for none. */
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
    void detectsBreachesInSetUpsSentToHosts(String scenario, int rule) throws Exception {
        Auditor auditor = newAuditor();
        List<HostPlan> plans =
                List.of(new HostPlan("h0", "p", 0, 0, 1e6, 40, 1), new HostPlan("h1", "p", 1, 0, 1e6, 40, 1));
        MediaHostSettings settings = new MediaHostSettings(
                LADDER, TRAFFIC_CLASSES, SLOW_START, List.of(), 0, 1, 0, 300, 0, 100, 0, 1, 5, 0, 60_000, Map.of());
        try (MediaHosts hosts = new MediaHosts(plans, settings, 1, auditor);
                SipHosts sipHosts = new SipHosts(hosts, 50, NO_IMPAIRMENTS, 2, auditor);
                TestSocket socket = new TestSocket()) {
            int firstPort = hosts.port("h0");
            int secondPort = hosts.port("h1");
            switch (scenario) {
                case "two legs out" -> {
                    hosts.setExtraSetUpMs("h0", 1500);
                    Thread slowLeg = new Thread(() -> {
                        try (TestSocket otherSocket = new TestSocket()) {
                            otherSocket.sendLeg(firstPort, "gw.1-1", 0, "free", 80);
                        } catch (Exception e) {
                            throw new IllegalStateException(e);
                        }
                    });
                    slowLeg.start();
                    Thread.sleep(300);
                    assertEquals(200, socket.sendLeg(secondPort, "gw.1-1", 1, "free", 80));
                    slowLeg.join();
                }
                case "paid again" -> {
                    hosts.setFailureRatio("h0", 1);
                    assertEquals(500, socket.sendLeg(firstPort, "gw.1-1", 0, "paid", 160));
                    assertEquals(200, socket.sendLeg(secondPort, "gw.1-1", 1, "paid", 160));
                }
                case "under the floor" -> assertEquals(200, socket.sendLeg(firstPort, "gw.1-1", 0, "seated", 80));
                case "too many seats" -> {
                    assertEquals(200, socket.sendLeg(firstPort, "gw.1-1", 0, "seated", 160));
                    assertEquals(200, socket.sendLeg(firstPort, "gw.1-2", 0, "seated", 160));
                }
                case "too many legs" -> {
                    hosts.setFailureRatio("h0", 1);
                    for (int i = 0; i < 4; i++) {
                        assertEquals(500, socket.sendLeg(firstPort, "gw.1-1", i, "free", 80));
                    }
                }
                case "to a draining host" -> {
                    auditor.hostUpdateSent(
                            "gw", "h0", walnutfield.play.HostDescriptor.LifecycleState.DRAINING, 0, Clock.now() - 5000);
                    assertEquals(200, socket.sendLeg(firstPort, "gw.1-1", 0, "free", 80));
                }
                case "onto a cold host" -> {
                    hosts.crash("h0");
                    hosts.restart("h0");
                    auditor.hostUpdateSent(
                            "gw",
                            "h0",
                            walnutfield.play.HostDescriptor.LifecycleState.READY,
                            hosts.startedAt("h0"),
                            Clock.now());
                    for (int i = 0; i < 40; i++) {
                        if (socket.sendLeg(firstPort, "gw.1-" + i, 0, "free", 80) == 0) {
                            break;
                        }
                    }
                }
                default -> assertEquals(200, socket.sendLeg(firstPort, "gw.1-1", 0, "free", 80));
            }
            assertOnlyBroken(auditor.verdicts(Clock.now()), rule, scenario);
        }
    }

    private static void assertOnlyBroken(List<Verdict> verdicts, int rule, String scenario) {
        for (int i = 0; i < verdicts.size(); i++) {
            assertEquals(
                    i == rule,
                    !verdicts.get(i).breaches().isEmpty(),
                    scenario + ": " + verdicts.get(i).rule() + " "
                            + verdicts.get(i).breaches());
        }
    }

    /** Each way in which a front answers INVITEs, and whether it breaks the first rule. */
    @ParameterizedTest
    @CsvSource({"once, false", "a copy, false", "two answers, true", "late, true", "never, true"})
    void detectsBreachesOfTheFirstRuleInAnswers(String answering, boolean isBroken) throws Exception {
        Auditor auditor = newAuditor();
        try (TestSocket front = new TestSocket();
                Callers callers = new Callers(
                        new Callers.Behavior(0, 0, 0, 0, 0, 100),
                        LADDER,
                        50,
                        NO_IMPAIRMENTS,
                        1,
                        () -> new Viewers.GatewayAddress("gw", front.port),
                        auditor)) {
            callers.addArrival(1, TRAFFIC_CLASSES.get("free"), 1);
            callers.addArrival(1, TRAFFIC_CLASSES.get("free"), 1); // one over datagrams, one over a stream
            Thread.sleep(200);
            for (int i = 0; i < 2; i++) {
                SIPRequest invite = front.nextCall();
                Flow flow = front.senders.take();
                Thread.sleep(answering.equals("late") ? 1300 : 0);
                for (int status : answering.equals("never")
                        ? new int[0]
                        : answering.equals("once")
                                ? new int[] {503}
                                : answering.equals("two answers") ? new int[] {503, 500} : new int[] {503, 503}) {
                    flow.send(SipCodec.encode(Transactions.response(invite, status, "t")));
                }
                if (answering.equals("late")) {
                    break;
                }
            }
            for (int i = 0;
                    i < 400
                            && (callers.openRequests() > 0
                                    || !answering.equals("never")
                                            && callers.counts().get(3) == 0);
                    i++) {
                Thread.sleep(10);
            }
            Verdict verdict = auditor.verdicts(Clock.now() + 10_000).get(0);
            assertEquals(isBroken, !verdict.breaches().isEmpty(), answering + " " + verdict.breaches());
            assertTrue(verdict.checked() > 0);
        }
    }
}
