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

/** Timers A to K and the states of RFC 3261, section 17, by a clock that only the test moves. */
class TransactionsTest {
    private static SIPResponse answer(SIPRequest r, int status) {
        return Transactions.response(r, status, "t");
    }

    /** When an unanswered request goes out again (A, E), and when it is given up (B, F). */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "INVITE | false | 0 500 1500 3500 7500 15500 31500 | 32000",
                "INVITE | true | 0 | 32000",
                "OPTIONS | false | 0 500 1500 3500 7500 11500 15500 19500 23500 27500 31500 | 32000",
                "OPTIONS | true | 0 | 32000"
            })
    void anUnansweredRequestIsRepeatedAndGivenUp(String method, boolean reliable, String times, int end) {
        Wire w = new Wire(reliable);
        w.element.send(Wire.request(method, "1", "c", null), w, w.user());
        w.pass(60_000);
        assertEquals(
                List.of(times.split(" ")),
                w.sent.stream().map(s -> s.substring(0, s.indexOf(' '))).toList());
        assertEquals(List.of(end + " failed false"), w.told);
        assertEquals(0, w.element.open());
    }

    @Test
    void aProvisionalResponseStopsTheCopiesOfAnInviteAndItsEnd() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.element.send(r, w, w.user());
        w.pass(600);
        w.receive(answer(r, 180));
        w.pass(100_000);
        assertEquals(List.of("0 INVITE", "500 INVITE"), w.sent);
        assertEquals(List.of("600 180"), w.told);
        w.receive(answer(r, 486));
        w.receive(answer(r, 486)); // a copy: acknowledged, not told
        assertEquals(List.of("600 180", "100600 done 486"), w.told);
        assertEquals(List.of("100600 ACK", "100600 ACK"), w.sent.subList(2, 4));
        w.pass(32_000); // D
        assertEquals(0, w.element.open());
    }

    @Test
    void aRequestThatIsNoInviteGoesOnAtTheSlowPaceAfterAProvisionalResponse() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("OPTIONS", "1", "c", null);
        w.element.send(r, w, w.user());
        w.pass(100);
        w.receive(answer(r, 100));
        w.pass(9000);
        assertEquals(List.of("0 OPTIONS", "500 OPTIONS", "4500 OPTIONS", "8500 OPTIONS"), w.sent);
        w.receive(answer(r, 200));
        w.receive(answer(r, 200));
        w.pass(5000); // K
        assertEquals(List.of("100 100", "9100 done 200"), w.told);
        assertEquals(0, w.element.open());
    }

    @Test
    void aRepeatedOkWantsItsOwnAck() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.element.send(r, w, w.user());
        w.receive(answer(r, 200));
        w.receive(answer(r, 200));
        assertEquals(List.of("0 done 200", "0 again 200"), w.told);
        w.pass(32_000); // M
        w.receive(answer(r, 200)); // nobody waits any more
        assertEquals(2, w.told.size());
        assertEquals(0, w.element.open());
    }

    @Test
    void aCancelWaitsForAProvisionalResponse() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        ClientTransaction t = w.element.send(r, w, w.user());
        w.element.cancel(t);
        w.pass(5000);
        assertEquals(List.of("0 INVITE"), w.sent, "and it is not repeated, lest it come late");
        w.receive(answer(r, 100));
        assertEquals(List.of("0 INVITE", "5000 CANCEL"), w.sent);
        SIPRequest c = (SIPRequest) w.messages.get(1);
        assertEquals(r.getTopmostVia().getBranch(), c.getTopmostVia().getBranch());
        w.receive(answer(r, 200)); // it crossed: its user learns of the 200 and must end it
        assertEquals(List.of("5000 100", "5000 done 200"), w.told);
    }

    @Test
    void copiesOfAnInviteAreAnsweredFromMemoryAndToldOnce() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(r);
        w.pass(100);
        w.receive(r);
        w.pass(5000); // held
        w.receive(r);
        assertEquals(List.of("0 100", "100 100", "5100 100"), w.sent);
        assertEquals(List.of("0 INVITE"), w.told);
        assertTrue(w.last.answer(answer(r, 503)));
        assertFalse(w.last.answer(answer(r, 200)), "one final response");
        assertEquals(503, w.last.finalStatus());
    }

    /** G and H: a refusal is repeated until its ACK; I: what comes late is taken up. */
    @ParameterizedTest
    @CsvSource({"false, 0 500 1500 3500 7500 11500 15500 19500 23500 27500 31500", "true, 0"})
    void aRefusalIsRepeatedUntilItsAck(boolean reliable, String times) {
        Wire w = new Wire(reliable);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(r);
        w.last.answer(answer(r, 486));
        w.pass(60_000);
        assertEquals(
                List.of(times.split(" ")),
                w.sent.stream()
                        .filter(s -> s.endsWith("486"))
                        .map(s -> s.split(" ")[0])
                        .toList());
        assertEquals(0, w.element.open());
    }

    @Test
    void theAckOfARefusalEndsItsCopies() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(r);
        w.last.answer(answer(r, 486));
        w.pass(600);
        w.receive(Wire.request("ACK", "1", "c", "t"));
        w.pass(4900);
        w.receive(Wire.request("INVITE", "1", "c", null)); // a late copy
        assertEquals(List.of("0 100", "0 486", "500 486"), w.sent);
        assertEquals(List.of("0 INVITE"), w.told);
        w.pass(200);
        assertEquals(0, w.element.open());
    }

    @Test
    void anOkIsRepeatedOverAnyWayUntilItsAckWhichHasABranchOfItsOwn() {
        Wire w = new Wire(true);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(r);
        w.element.awaitsAck(w.last, "t");
        w.last.answer(answer(r, 200));
        w.pass(1600);
        assertEquals(List.of("0 100", "0 200", "500 200", "1500 200"), w.sent);
        w.receive(Wire.request("ACK", "2", "c", "t"));
        w.receive(Wire.request("ACK", "3", "c", "t"));
        w.pass(60_000);
        assertEquals(4, w.sent.size());
        assertEquals(List.of("0 INVITE", "1600 acked"), w.told);
        assertEquals(0, w.element.open());
    }

    @Test
    void whereTheAckNeverComesThatIsTold() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(r);
        w.last.onUnacked(() -> w.told.add("never"));
        w.element.awaitsAck(w.last, "t");
        w.last.answer(answer(r, 200));
        w.pass(31_999);
        assertFalse(w.told.contains("never"));
        w.pass(1);
        assertTrue(w.told.contains("never"));
    }

    @Test
    void aCancelIsAnsweredAndToldWhileTheInviteIsOpen() {
        Wire w = new Wire(false);
        SIPRequest r = Wire.request("INVITE", "1", "c", null);
        w.receive(Wire.request("CANCEL", "1", "c", null));
        assertEquals(List.of("0 481"), w.sent);
        w.pass(32_000);
        w.receive(r);
        w.receive(Wire.request("CANCEL", "1", "c", null));
        assertEquals("32000 cancelled", w.told.get(1));
        w.last.answer(answer(r, 487));
        Wire late = new Wire(false);
        late.receive(r);
        late.last.answer(answer(r, 200));
        late.receive(Wire.request("CANCEL", "1", "c", null)); // it crossed the 200: answered, and nothing else
        assertEquals(List.of("0 100", "0 200", "0 200"), late.sent);
        assertEquals(List.of("0 INVITE"), late.told);
    }

    @Test
    void theSameCallByAnotherWayIsMerged() {
        Wire w = new Wire(false);
        w.receive(Wire.request("INVITE", "1", "c", null));
        w.receive(Wire.request("INVITE", "2", "c", null));
        assertEquals(List.of("0 100", "0 482"), w.sent);
        assertEquals(1, w.told.size());
        w.receive(Wire.request("INVITE", "3", "other", null));
        assertEquals(2, w.told.size());
    }

    @Test
    void whatHasNoHopsLeftIsALoop() {
        Wire w = new Wire(false);
        SIPRequest r = (SIPRequest) SipText.own(
                SipText.write(Wire.request("INVITE", "1", "c", null)).length > 0
                        ? new String(SipText.write(Wire.request("INVITE", "1", "c", null)))
                                .replace("Max-Forwards: 70", "Max-Forwards: 0")
                        : "");
        w.receive(r);
        assertEquals(List.of("0 483"), w.sent);
        assertEquals(List.of(), w.told);
    }

    @Test
    void aBrokenWayFailsWhatIsOpenOverIt() {
        Wire w = new Wire(true);
        w.element.send(Wire.request("INVITE", "1", "c", null), w, w.user());
        w.element.broken(w);
        w.pass(60_000);
        assertEquals(List.of("0 failed false"), w.told);
        assertEquals(0, w.element.open());
    }

    /** Two elements over a wire that loses, repeats and reorders: each request is told once and finally answered once. */
    @Test
    void everyTransactionEndsOnceWhateverTheWireDoes() {
        for (long seed = 0; seed < 300; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Wire clock = new Wire(false);
            List<String> asked = new ArrayList<>();
            List<Integer> finals = new ArrayList<>();
            Transactions[] ends = new Transactions[2];
            Flow[] to = new Flow[2];
            for (int i = 0; i < 2; i++) {
                int other = 1 - i;
                to[i] = new Flow() {
                    @Override
                    public boolean isReliable() {
                        return false;
                    }

                    @Override
                    public java.net.InetSocketAddress remote() {
                        return clock.remote();
                    }

                    @Override
                    public void send(byte[] message) {
                        for (int copies = random.nextInt(5) == 0 ? 2 : 1; copies > 0; copies--) {
                            if (random.nextInt(10) > 1) {
                                clock.at(clock.now() + random.nextDouble() * 300, () -> {
                                    try {
                                        ends[other].received(SipText.read(message), to[other]);
                                    } catch (Malformed e) {
                                        throw new IllegalStateException(e);
                                    }
                                });
                            }
                        }
                    }
                };
            }
            ends[0] = new Transactions(new Timers(500, 4000, 5000, clock), clock);
            ends[1] = new Transactions(new Timers(500, 4000, 5000, clock), new Transactions.User() {
                @Override
                public void request(ServerTransaction t) {
                    asked.add(t.request().getMethod());
                    int status = t.request().getMethod().equals("INVITE") ? 486 : 200;
                    clock.at(clock.now() + random.nextDouble() * 2000, () -> t.answer(answer(t.request(), status)));
                }

                @Override
                public void cancelled(ServerTransaction invite) {}

                @Override
                public void acked(SIPRequest ack) {}
            });
            for (String method : List.of("INVITE", "OPTIONS")) {
                ends[0].send(Wire.request(method, method + seed, "c", null), to[0], new ClientTransaction.User() {
                    @Override
                    public void done(SIPResponse r) {
                        finals.add(r.getStatusCode());
                    }

                    @Override
                    public void failed(boolean heard) {
                        finals.add(0);
                    }
                });
            }
            clock.pass(200_000);
            assertEquals(2, finals.size(), "seed " + seed);
            assertEquals(asked.stream().distinct().count(), asked.size(), "seed " + seed + ": told twice");
            assertEquals(0, ends[0].open() + ends[1].open(), "seed " + seed);
        }
    }
}
