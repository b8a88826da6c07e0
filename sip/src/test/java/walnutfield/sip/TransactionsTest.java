package walnutfield.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Timers A to M and the states of RFC 3261, section 17, and RFC 6026, on a clock that only the test advances. */
class TransactionsTest {
    private static SIPResponse response(SIPRequest request, int status) {
        return Transactions.response(request, status, "t");
    }

    /** When an unanswered request is retransmitted (timers A and E), and when it fails (timers B and F). */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "INVITE | false | 0 500 1500 3500 7500 15500 31500 | 32000",
                "INVITE | true | 0 | 32000",
                "OPTIONS | false | 0 500 1500 3500 7500 11500 15500 19500 23500 27500 31500 | 32000",
                "OPTIONS | true | 0 | 32000"
            })
    void anUnansweredRequestIsRetransmittedUntilItFails(String method, boolean reliable, String times, int end) {
        SimulatedElement element = new SimulatedElement(reliable);
        element.transactions.send(SimulatedElement.request(method, "1", "c", null), element, element.user());
        element.advance(60_000);
        assertEquals(
                List.of(times.split(" ")),
                element.sent.stream()
                        .map(sent -> sent.substring(0, sent.indexOf(' ')))
                        .toList());
        assertEquals(List.of(end + " failed false"), element.events);
        assertEquals(0, element.transactions.openCount());
    }

    @Test
    void aProvisionalResponseStopsRetransmissionAndTimeoutOfAnInvite() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.transactions.send(request, element, element.user());
        element.advance(600);
        element.receive(response(request, 180));
        element.advance(100_000);
        assertEquals(List.of("0 INVITE", "500 INVITE"), element.sent);
        assertEquals(List.of("600 180"), element.events);
        element.receive(response(request, 486));
        element.receive(response(request, 486)); // a retransmission: acknowledged, not reported
        assertEquals(List.of("600 180", "100600 done 486"), element.events);
        assertEquals(List.of("100600 ACK", "100600 ACK"), element.sent.subList(2, 4));
        element.advance(32_000); // timer D
        assertEquals(0, element.transactions.openCount());
    }

    @Test
    void aNonInviteRequestIsRetransmittedEveryT2AfterAProvisionalResponse() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("OPTIONS", "1", "c", null);
        element.transactions.send(request, element, element.user());
        element.advance(100);
        element.receive(response(request, 100));
        element.advance(9000);
        assertEquals(List.of("0 OPTIONS", "500 OPTIONS", "4500 OPTIONS", "8500 OPTIONS"), element.sent);
        element.receive(response(request, 200));
        element.receive(response(request, 200));
        element.advance(5000); // timer K
        assertEquals(List.of("100 100", "9100 done 200"), element.events);
        assertEquals(0, element.transactions.openCount());
    }

    @Test
    void aRetransmitted2xxIsReportedForItsOwnAck() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.transactions.send(request, element, element.user());
        element.receive(response(request, 200));
        element.receive(response(request, 200));
        assertEquals(List.of("0 done 200", "0 again 200"), element.events);
        element.advance(32_000); // timer M
        element.receive(response(request, 200)); // the transaction has terminated
        assertEquals(2, element.events.size());
        assertEquals(0, element.transactions.openCount());
    }

    /** Guards against transactions that stay in memory, once terminated, until timers of 64 T1 fire. */
    @Test
    void aTerminatedTransactionLeavesNoTimers() {
        SimulatedElement element = new SimulatedElement(true);
        for (String method : List.of("OPTIONS", "INVITE")) {
            SIPRequest request = SimulatedElement.request(method, "1", "c", null);
            element.transactions.send(request, element, element.user());
            element.receive(response(request, 486));
            assertEquals(0, element.transactions.openCount());
            assertEquals(0, element.scheduledTasks(), method);
        }
        element.receive(SimulatedElement.request("INVITE", "2", "d", null));
        element.lastTransaction.respond(response(element.lastTransaction.request(), 200));
        element.advance(32_000); // timer L
        assertEquals(0, element.transactions.openCount());
        assertEquals(0, element.scheduledTasks());
    }

    @Test
    void aCancelWaitsForAProvisionalResponse() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        ClientTransaction transaction = element.transactions.send(request, element, element.user());
        element.transactions.cancel(transaction);
        element.advance(5000);
        assertEquals(
                List.of("0 INVITE"), element.sent, "a cancelled INVITE is not retransmitted: it could arrive late");
        element.receive(response(request, 100));
        assertEquals(List.of("0 INVITE", "5000 CANCEL"), element.sent);
        SIPRequest cancel = (SIPRequest) element.sentMessages.get(1);
        assertEquals(request.getTopmostVia().getBranch(), cancel.getTopmostVia().getBranch());
        element.receive(response(request, 200)); // crossed the CANCEL: the user must end the dialog
        assertEquals(List.of("5000 100", "5000 done 200"), element.events);
    }

    @Test
    void retransmissionsOfAnInviteGetTheLastResponseAndAreReportedOnce() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(request);
        element.advance(100);
        element.receive(request);
        element.advance(5000); // the user has not answered yet
        element.receive(request);
        assertEquals(List.of("0 100", "100 100", "5100 100"), element.sent);
        assertEquals(List.of("0 INVITE"), element.events);
        assertTrue(element.lastTransaction.respond(response(request, 503)));
        assertFalse(
                element.lastTransaction.respond(response(request, 200)), "a second final response must not be sent");
        assertEquals(503, element.lastTransaction.finalStatus());
    }

    /** A 486 without an ACK is retransmitted over UDP by timer G, until timer H ends the transaction. */
    @ParameterizedTest
    @CsvSource({"false, 0 500 1500 3500 7500 11500 15500 19500 23500 27500 31500", "true, 0"})
    void anErrorResponseIsRetransmittedWithoutAnAck(boolean reliable, String times) {
        SimulatedElement element = new SimulatedElement(reliable);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(request);
        element.lastTransaction.respond(response(request, 486));
        element.advance(60_000);
        assertEquals(
                List.of(times.split(" ")),
                element.sent.stream()
                        .filter(sent -> sent.endsWith("486"))
                        .map(sent -> sent.split(" ")[0])
                        .toList());
        assertEquals(0, element.transactions.openCount());
    }

    @Test
    void theAckOfAnErrorResponseStopsItsRetransmission() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(request);
        element.lastTransaction.respond(response(request, 486));
        element.advance(600);
        element.receive(SimulatedElement.request("ACK", "1", "c", "t"));
        element.advance(4900);
        // A late retransmission of the INVITE is absorbed until timer I fires.
        element.receive(SimulatedElement.request("INVITE", "1", "c", null));
        assertEquals(List.of("0 100", "0 486", "500 486"), element.sent);
        assertEquals(List.of("0 INVITE"), element.events);
        element.advance(200);
        assertEquals(0, element.transactions.openCount());
    }

    /** Even over TCP; the ACK of a 2xx has a branch of its own, so it is matched by the dialog. */
    @Test
    void a2xxIsRetransmittedOverAnyTransportUntilItsAck() {
        SimulatedElement element = new SimulatedElement(true);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(request);
        element.transactions.awaitAck(element.lastTransaction, "t");
        element.lastTransaction.respond(response(request, 200));
        element.advance(1600);
        assertEquals(List.of("0 100", "0 200", "500 200", "1500 200"), element.sent);
        element.receive(SimulatedElement.request("ACK", "2", "c", "t"));
        element.receive(SimulatedElement.request("ACK", "3", "c", "t"));
        element.advance(60_000);
        assertEquals(4, element.sent.size());
        assertEquals(List.of("0 INVITE", "1600 acked"), element.events);
        assertEquals(0, element.transactions.openCount());
    }

    @Test
    void aMissingAckIsReported() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(request);
        element.lastTransaction.onAckTimeout(() -> element.events.add("never"));
        element.transactions.awaitAck(element.lastTransaction, "t");
        element.lastTransaction.respond(response(request, 200));
        element.advance(31_999);
        assertFalse(element.events.contains("never"));
        element.advance(1);
        assertTrue(element.events.contains("never"));
    }

    @Test
    void aCancelIsReportedOnlyBeforeTheFinalResponse() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = SimulatedElement.request("INVITE", "1", "c", null);
        element.receive(SimulatedElement.request("CANCEL", "1", "c", null));
        assertEquals(List.of("0 481"), element.sent);
        element.advance(32_000);
        element.receive(request);
        element.receive(SimulatedElement.request("CANCEL", "1", "c", null));
        assertEquals("32000 cancelled", element.events.get(1));
        element.lastTransaction.respond(response(request, 487));
        SimulatedElement late = new SimulatedElement(false);
        late.receive(request);
        late.lastTransaction.respond(response(request, 200));
        late.receive(SimulatedElement.request("CANCEL", "1", "c", null)); // crossed the 200: answered, not reported
        assertEquals(List.of("0 100", "0 200", "0 200"), late.sent);
        assertEquals(List.of("0 INVITE"), late.events);
    }

    @Test
    void theSameInviteByAnotherPathIsMerged() {
        SimulatedElement element = new SimulatedElement(false);
        element.receive(SimulatedElement.request("INVITE", "1", "c", null));
        element.receive(SimulatedElement.request("INVITE", "2", "c", null));
        assertEquals(List.of("0 100", "0 482"), element.sent);
        assertEquals(1, element.events.size());
        element.receive(SimulatedElement.request("INVITE", "3", "other", null));
        assertEquals(2, element.events.size());
    }

    @Test
    void aRequestWithoutHopsLeftIsRejected() {
        SimulatedElement element = new SimulatedElement(false);
        SIPRequest request = (SIPRequest) SipCodec.parseOwn(
                SipCodec.encode(SimulatedElement.request("INVITE", "1", "c", null)).length > 0
                        ? new String(SipCodec.encode(SimulatedElement.request("INVITE", "1", "c", null)))
                                .replace("Max-Forwards: 70", "Max-Forwards: 0")
                        : "");
        element.receive(request);
        assertEquals(List.of("0 483"), element.sent);
        assertEquals(List.of(), element.events);
    }

    @Test
    void aLostConnectionFailsItsTransactions() {
        SimulatedElement element = new SimulatedElement(true);
        element.transactions.send(SimulatedElement.request("INVITE", "1", "c", null), element, element.user());
        element.transactions.connectionClosed(element);
        element.advance(60_000);
        assertEquals(List.of("0 failed false"), element.events);
        assertEquals(0, element.transactions.openCount());
    }

    /**
     * Two elements over a network that loses, duplicates and reorders: each request is reported at most once and gets
     * one final response or failure.
     */
    @Test
    void everyTransactionEndsOnceOverAFaultyNetwork() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            SimulatedElement network = new SimulatedElement(false);
            List<String> receivedMethods = new ArrayList<>();
            List<Integer> outcomes = new ArrayList<>();
            Transactions[] elements = new Transactions[2];
            Flow[] flows = new Flow[2];
            for (int i = 0; i < 2; i++) {
                int other = 1 - i;
                flows[i] = new Flow() {
                    @Override
                    public boolean isReliable() {
                        return false;
                    }

                    @Override
                    public java.net.InetSocketAddress remoteAddress() {
                        return network.remoteAddress();
                    }

                    @Override
                    public void send(byte[] message) {
                        for (int copies = random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
                            if (random.nextInt(10) > 1) {
                                network.schedule(network.now() + random.nextDouble() * 300, () -> {
                                    try {
                                        elements[other].receive(SipCodec.parse(message), flows[other]);
                                    } catch (MalformedMessageException e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
                            }
                        }
                    }
                };
            }
            elements[0] = new Transactions(new Timers(500, 4000, 5000, network), network);
            elements[1] = new Transactions(new Timers(500, 4000, 5000, network), new Transactions.User() {
                @Override
                public void onRequest(ServerTransaction transaction) {
                    receivedMethods.add(transaction.request().getMethod());
                    int status = transaction.request().getMethod().equals("INVITE") ? 486 : 200;
                    network.schedule(
                            network.now() + random.nextDouble() * 2000,
                            () -> transaction.respond(response(transaction.request(), status)));
                }

                @Override
                public void onCancel(ServerTransaction invite) {}

                @Override
                public void onAck(SIPRequest ack) {}
            });
            for (String method : List.of("INVITE", "OPTIONS")) {
                elements[0].send(
                        SimulatedElement.request(method, method + seed, "c", null),
                        flows[0],
                        new ClientTransaction.User() {
                            @Override
                            public void onFinalResponse(SIPResponse response) {
                                outcomes.add(response.getStatusCode());
                            }

                            @Override
                            public void onFailure(boolean provisionalReceived) {
                                outcomes.add(0);
                            }
                        });
            }
            network.advance(200_000);
            assertEquals(2, outcomes.size(), "seed " + seed);
            assertEquals(
                    receivedMethods.stream().distinct().count(),
                    receivedMethods.size(),
                    "seed " + seed + ": reported twice");
            assertEquals(0, elements[0].openCount() + elements[1].openCount(), "seed " + seed);
        }
    }
}
