package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gov.nist.javax.sip.message.SIPResponse;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import walnutfield.gateway.SipPeer.Received;
import walnutfield.play.PlayId;
import walnutfield.sip.OverloadControl;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipCodec;

/** Video calls over SIP through the gateway; the test controls each message of the caller and of the hosts. */
class SipFrontTest {
    private GatewayHarness harness;
    private SipPeer[] hosts;
    private SipPeer caller;

    private void startGateway(int hostCount, double t1Ms, int maxHalfOpenPerAddress) throws Exception {
        harness = new GatewayHarness(hostCount);
        harness.sipSettings = new GatewaySettings.Sip(0, t1Ms, maxHalfOpenPerAddress, 100, 1_800_000, true);
        harness.start(100, null);
        harness.acceptListStream();
        harness.sendFullList();
        hosts = new SipPeer[hostCount];
        for (int i = 0; i < hostCount; i++) {
            hosts[i] = new SipPeer(harness.portOf(i));
            hosts[i].ignoresOptions = false;
        }
        caller = new SipPeer(0).useUdp(harness.gateway.sipPort());
    }

    @AfterEach
    void stopAll() throws Exception {
        for (SipPeer host : hosts) {
            host.close();
        }
        caller.close();
        harness.close();
    }

    /** An INVITE that a host received. */
    private record Leg(SipPeer host, Received invite) {
        String play() {
            return SipCodec.header(invite.message(), SipFront.PLAY_ID_HEADER);
        }
    }

    /** Waits for the next INVITE at any host; other messages that the hosts receive meanwhile are discarded. */
    private Leg nextLeg() throws Exception {
        for (int i = 0; i < 2500; i++) {
            for (SipPeer host : hosts) {
                Received message = host.received.poll();
                if (message != null && message.summary().equals("INVITE")) {
                    return new Leg(host, message);
                }
            }
            Thread.sleep(2);
        }
        throw new AssertionError("no host received an INVITE within 5 s");
    }

    /** Sets up a call; returns the 200 that the caller received. */
    private Received establishCall(String callId, String trafficClass, int user) throws Exception {
        caller.send(caller.invite(callId, trafficClass, user));
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        Received ok = caller.await("200 INVITE");
        caller.ack(ok);
        return ok;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void setsUpAndEndsACall(boolean overTcp) throws Exception {
        startGateway(1, 200, 100);
        if (overTcp) {
            caller.useTcp(harness.gateway.sipPort());
        }
        caller.send(caller.invite("a", "free", 1));
        caller.await("100 INVITE");
        Leg leg = nextLeg();
        Sdp offer = Sdp.parse(SipCodec.body(leg.invite().message()));
        assertEquals(3200, offer.videoKbitPerS(), "the offer must carry the rate of the highest rung, 400 kB/s");
        leg.host().accept(leg.invite());
        Received ok = caller.await("200 INVITE");
        assertEquals(leg.play(), SipCodec.header(ok.message(), SipFront.PLAY_ID_HEADER));
        assertTrue(SipCodec.body(ok.message()).contains("m=video " + leg.host().port + " "));
        caller.ack(ok);
        harness.awaitCall("LegStarted[");
        caller.send(caller.requestInDialog("BYE", ok, 2, ""));
        caller.await("200 BYE");
        leg.host().respond(leg.host().await("BYE"), 200, null, null, "");
        harness.awaitCall("LegEnded[play=PlayId[value=1], leg=0, host=HostId[value=h0], outcome=CANCELLED");
    }

    @Test
    void hostByeEndsTheCall() throws Exception {
        startGateway(1, 200, 100);
        Received ok = establishCall("a", "free", 1);
        SipPeer host = hosts[0].useUdp(harness.gateway.sipPort());
        String play = SipCodec.header(ok.message(), SipFront.PLAY_ID_HEADER);
        host.send(host.request("BYE", play + ".0", 1, "sip:gw@127.0.0.1", 7, ";tag=" + play + ".0", "", ""));
        host.await("200 BYE");
        Received bye = caller.await("BYE");
        assertEquals("SIP;cause=200", SipCodec.header(bye.message(), "Reason"));
        caller.respond(bye, 200, null, null, "");
        harness.awaitCall("LegEnded[play=PlayId[value=1], leg=0, host=HostId[value=h0], outcome=SERVED");
    }

    /**
     * A failed first leg either ends the call with the expected status or is retried on the other host ("again"),
     * depending on the traffic class and on how the leg failed.
     */
    @ParameterizedTest
    @CsvSource({
        "paid, 500, 500",
        "free, 500, again",
        "free, 503, again",
        "paid, 503, again",
        "paid, 404, 500",
        "paid, rubbish, 500",
        "free, rubbish, again",
        "free, novideo, again"
    })
    void failedFirstLegIsRetriedOrEndsTheCall(String trafficClass, String hostAnswer, String expected)
            throws Exception {
        startGateway(2, 200, 100);
        caller.send(caller.invite("a", trafficClass, 1));
        Leg leg = nextLeg();
        boolean isOk = hostAnswer.equals("rubbish") || hostAnswer.equals("novideo");
        leg.host()
                .respond(
                        leg.invite(),
                        isOk ? 200 : Integer.parseInt(hostAnswer),
                        null,
                        null,
                        hostAnswer.equals("novideo")
                                ? "v=0\r\no=- 1 1 IN IP4 a\r\ns=-\r\nt=0 0\r\nm=audio 1 RTP/AVP 0\r\n"
                                : isOk ? "rubbish" : "");
        leg.host().await("ACK");
        if (isOk) {
            leg.host().await("BYE"); // ends the session that the host's 200 established
        }
        if (expected.equals("again")) {
            Leg retry = nextLeg();
            assertNotEquals(leg.host(), retry.host());
            retry.host().accept(retry.invite());
            caller.await("200 INVITE");
        } else {
            assertEquals(expected + " INVITE", caller.await(expected).summary());
        }
    }

    /** The 503 of a play that no host admits carries Retry-After, and oc if the Via of the INVITE asked for it. */
    @Test
    void rejectionByEveryHostCarriesRetryAfter() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1).replace("branch=z9hG4bKa1", "branch=z9hG4bKa1;oc"));
        Leg leg = nextLeg();
        leg.host().respond(leg.invite(), 503, "Retry-After", "5", "");
        leg.host().await("ACK");
        Received rejection = caller.await("503");
        assertTrue(SipCodec.headerAsLong(rejection.message(), "Retry-After", 0) > 0);
        assertEquals(
                0,
                OverloadControl.read(((SIPResponse) rejection.message()).getTopmostVia())
                        .lossPercent());
    }

    /** Retransmissions arrive while the INVITE waits for its final response; none of them becomes a play. */
    @Test
    void retransmittedInviteCreatesNoSecondPlay() throws Exception {
        startGateway(1, 2000, 100);
        String invite = caller.invite("a", "free", 1);
        for (int i = 0; i < 5; i++) {
            caller.send(invite);
        }
        Leg leg = nextLeg();
        caller.send(invite);
        assertFalse(
                leg.host().receives("INVITE", 100),
                "no second INVITE may arrive; a retransmission is due only after T1");
        leg.host().accept(leg.invite());
        caller.await("200 INVITE");
        assertEquals(1, harness.countCalls("PlayRequested"));
    }

    @Test
    void secondInviteOfTheSameCallerJoinsTheOpenViewing() throws Exception {
        startGateway(2, 200, 100);
        caller.send(caller.invite("a", "paid", 1));
        Leg leg = nextLeg();
        caller.send(caller.invite("b", "paid", 1)); // as from a proxy that abandoned the first INVITE
        leg.host().accept(leg.invite());
        Received firstOk = caller.await("200 INVITE");
        Received secondOk = caller.await("200 INVITE");
        assertNotEquals(
                firstOk.message().getCallId().getCallId(),
                secondOk.message().getCallId().getCallId());
        assertEquals(SipCodec.body(firstOk.message()), SipCodec.body(secondOk.message()));
        caller.ack(firstOk);
        caller.ack(secondOk);
        caller.send(caller.requestInDialog("BYE", firstOk, 2, ""));
        caller.await("200 BYE");
        assertFalse(leg.host().receives("BYE", 200), "the other dialog continues, so the host must not receive BYE");
        caller.send(caller.requestInDialog("BYE", secondOk, 2, ""));
        leg.host().await("BYE");
        assertEquals(1, harness.countCalls("PlayRequested"));
    }

    /** A lost 200 is retransmitted; neither that nor a late copy of the INVITE sets up a paid play a second time. */
    @Test
    void okIsRetransmittedUntilItsAck() throws Exception {
        startGateway(2, 50, 100);
        caller.send(caller.invite("a", "paid", 1));
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        Received firstOk = caller.await("200 INVITE");
        Received secondOk = caller.await("200 INVITE");
        assertEquals(firstOk.message().getToTag(), secondOk.message().getToTag());
        caller.send(caller.invite("a", "paid", 1)); // a late retransmission
        caller.ack(secondOk);
        assertFalse(caller.receives("BYE", 200));
        assertEquals(1, harness.countCalls("PlayRequested"));
    }

    @Test
    void missingAckEndsTheCall() throws Exception {
        startGateway(1, 10, 100);
        caller.send(caller.invite("a", "free", 1));
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        Received bye = caller.await("BYE"); // after 64 * T1
        caller.respond(bye, 200, null, null, "");
        leg.host().await("BYE");
        harness.awaitCall("LegEnded[play=PlayId[value=1], leg=0, host=HostId[value=h0], outcome=CANCELLED");
    }

    @Test
    void cancelEndsThePlayRequest() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1));
        Leg leg = nextLeg();
        leg.host().respond(leg.invite(), 183, null, null, "");
        caller.send(caller.request("CANCEL", "a", 1, "sip:7@gw;band=free", 1, "", "", ""));
        caller.await("200 CANCEL");
        caller.await("487 INVITE");
        Received cancel = leg.host().await("CANCEL");
        leg.host().respond(cancel, 200, null, null, "");
        leg.host().respond(leg.invite(), 487, null, null, "");
        leg.host().await("ACK");
        harness.awaitCall("ViewerLeft[play=PlayId[value=1]]");
    }

    @Test
    void cancelCrossingTheHostsOkEndsItsSession() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1));
        Leg leg = nextLeg();
        leg.host().respond(leg.invite(), 180, null, null, "");
        caller.send(caller.request("CANCEL", "a", 1, "sip:7@gw;band=free", 1, "", "", ""));
        leg.host().await("CANCEL");
        leg.host().accept(leg.invite()); // the 200 crosses the CANCEL
        leg.host().await("BYE");
        caller.await("487 INVITE");
    }

    @Test
    void cancelCrossingTheGatewaysOkHasNoEffect() throws Exception {
        startGateway(1, 200, 100);
        Received ok = establishCall("a", "free", 1);
        caller.send(caller.request("CANCEL", "a", 1, "sip:7@gw;band=free", 1, "", "", ""));
        caller.await("200 CANCEL");
        assertFalse(caller.receives("487", 100));
        caller.send(caller.requestInDialog("BYE", ok, 2, ""));
        caller.await("200 BYE");
    }

    /**
     * A host sends 183 and then nothing more. The leg is cancelled at its timeout. A free play is then retried on
     * another host; a paid one, which must not be set up twice, fails.
     */
    @ParameterizedTest
    @CsvSource({"free, 200", "paid, 500"})
    void legTimesOutWhenItsHostStopsAfter183(String trafficClass, int status) throws Exception {
        startGateway(2, 200, 100);
        caller.send(caller.invite("a", trafficClass, 1));
        Leg leg = nextLeg();
        leg.host().respond(leg.invite(), 183, null, null, "");
        leg.host().await("CANCEL");
        if (status == 200) {
            Leg retry = nextLeg();
            assertNotEquals(leg.host(), retry.host());
            retry.host().accept(retry.invite());
        }
        caller.await(status + " INVITE");
    }

    @Test
    void rungChangeSendsUpdateToTheHostAndReInviteToTheCaller() throws Exception {
        startGateway(1, 100, 100);
        Received ok = establishCall("a", "free", 1);
        harness.setRung(new PlayId(1), 0);
        Received update = hosts[0].await("UPDATE");
        assertEquals(
                800,
                Sdp.parse(SipCodec.body(update.message())).videoKbitPerS(),
                "the offer must carry the rate of the lowest rung, 100 kB/s");
        hosts[0].respond(update, 200, null, null, Sdp.of("127.0.0.1", hosts[0].port, 2, 800));
        Received firstReInvite = caller.await("INVITE");
        assertEquals(ok.message().getToTag(), firstReInvite.message().getFromTag());
        caller.respond(firstReInvite, 491, null, null, ""); // glare: the gateway sends its re-INVITE again later
        caller.await("ACK");
        Received secondReInvite = caller.await("INVITE");
        caller.respond(secondReInvite, 200, null, null, Sdp.of("127.0.0.1", 4000, 2, 800));
        caller.await("ACK");
    }

    @Test
    void reInviteDuringTheGatewaysReInviteGets491() throws Exception {
        startGateway(1, 200, 100);
        Received ok = establishCall("a", "free", 1);
        harness.setRung(new PlayId(1), 0);
        Received update = hosts[0].await("UPDATE");
        hosts[0].respond(update, 200, null, null, Sdp.of("127.0.0.1", hosts[0].port, 2, 800));
        caller.await("INVITE");
        caller.send(caller.requestInDialog("INVITE", ok, 2, Sdp.of("127.0.0.1", 4000, 2, 100)));
        caller.await("491 INVITE");
        caller.send(caller.requestInDialog("BYE", ok, 1, "")); // a CSeq number that was already used
        caller.await("500 BYE");
    }

    @Test
    void hostThatRejectsARungChangeKeepsTheOldRung() throws Exception {
        startGateway(1, 200, 100);
        establishCall("a", "free", 1);
        harness.setRung(new PlayId(1), 0);
        hosts[0].respond(hosts[0].await("UPDATE"), 488, null, null, "");
        harness.awaitCall("RungReported[play=PlayId[value=1], rung=2]");
    }

    /** A host is lost if it stops answering OPTIONS, reports another instance, or no longer has the dialog (481). */
    @ParameterizedTest
    @ValueSource(strings = {"silent", "instance", "481"})
    void callOfALostHostRecoversOnAnotherHost(String failure) throws Exception {
        startGateway(2, 100, 100);
        caller.send(caller.invite("a", "free", 1));
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        Received ok = caller.await("200 INVITE");
        caller.ack(ok);
        harness.awaitCall("LegStarted[");
        if (failure.equals("instance")) { // the host was restarted and no longer has the call
            leg.host().hostInstance = "two";
        } else if (failure.equals("silent")) {
            leg.host().ignoresOptions = true;
        } else {
            harness.setRung(new PlayId(1), 0);
            leg.host().respond(leg.host().await("UPDATE"), 481, null, null, "");
        }
        SipPeer other = hosts[0] == leg.host() ? hosts[1] : hosts[0];
        Received recoveryInvite = other.await("INVITE"); // the lost host receives no further INVITE
        other.accept(recoveryInvite);
        Received reInvite = caller.await("INVITE");
        assertTrue(SipCodec.body(reInvite.message()).contains("m=video " + other.port + " "));
        caller.respond(reInvite, 200, null, null, Sdp.of("127.0.0.1", 4000, 2, 800));
        harness.awaitCall("LegEnded[play=PlayId[value=1], leg=0, host=HostId[value=h" + (hosts[0] == leg.host() ? 0 : 1)
                + "], outcome=CONNECTION_LOST");
    }

    @Test
    void movedPlaySendsAnInviteToAnotherHost() throws Exception {
        startGateway(2, 200, 100);
        Received ok = establishCall("a", "free", 1);
        assertEquals("1", SipCodec.header(ok.message(), SipFront.PLAY_ID_HEADER).replaceAll(".*-", ""));
        harness.nextMovedPlay.set(new PlayId(1));
        harness.sendFullList();
        Leg newLeg = nextLeg();
        newLeg.host().accept(newLeg.invite());
        Received reInvite = caller.await("INVITE");
        assertTrue(SipCodec.body(reInvite.message()).contains("m=video " + newLeg.host().port + " "));
        harness.awaitCall("LegEnded[play=PlayId[value=1], leg=0");
    }

    /** Each case replaces a part of a valid INVITE, which is then rejected with this status and requests no play. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            nullValues = "-",
            value = {
                "sip:7@gw;band=free | sip:8@gw;band=free | 404",
                "sip:7@gw;band=free | sip:x@gw;band=free | 404",
                "sip:7@gw;band=free | sip:7@gw | 400",
                "sip:7@gw;band=free | sip:7@gw;band=none | 400",
                "Contact | Require: 100rel\\r\\nContact | 420",
                "Contact | Session-Expires: 30\\r\\nContact | 422",
                "application/sdp | text/plain | 415",
                "m=video | m=audio | 488",
                "v=0 | v=9 | 400",
                "INVITE | MESSAGE | 405",
                "1 INVITE | 1 OPTIONS | 400",
                "Max-Forwards: 70 | Max-Forwards: 0 | 483",
                "m=video 4000 | m=video 0000 | 488"
            })
    void invalidInviteIsRejectedWithoutAPlay(String original, String replacement, int status) throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1).replace(original, replacement.replace("\\r\\n", "\r\n")));
        assertTrue(caller.await(Integer.toString(status)).summary().startsWith(Integer.toString(status)));
        assertEquals(0, harness.countCalls("PlayRequested"));
    }

    /**
     * Content-Length counts bytes, not characters. With a length that is too small, the host would reject the INVITE
     * and the caller the re-INVITE.
     */
    @Test
    void sessionDescriptionsMayContainNonAsciiText() throws Exception {
        startGateway(1, 200, 100);
        String offer = Sdp.of("127.0.0.1", 4000, 1, 100_000).replace("s=-", "s=\u00c5rsm\u00f8te");
        caller.send(caller.invite("a", "free", 1, "", offer));
        Leg leg = nextLeg();
        assertTrue(SipCodec.body(leg.invite().message()).contains("s=\u00c5rsm\u00f8te"));
        leg.host()
                .respond(
                        leg.invite(),
                        200,
                        SipFront.HOST_INSTANCE_HEADER,
                        "one",
                        offer.replace("m=video 4000", "m=video " + leg.host().port));
        caller.ack(caller.await("200 INVITE"));
        leg.host().await("ACK");
        harness.setRung(new PlayId(1), 0);
        leg.host().respond(leg.host().await("UPDATE"), 200, null, null, offer);
        String reInviteBody = SipCodec.body(caller.await("INVITE").message());
        assertTrue(
                reInviteBody.contains("s=\u00c5rsm\u00f8te") && reInviteBody.endsWith("H264/90000\r\n"), reInviteBody);
    }

    /** Without the decrement, a call to a host that routes back to the gateway would loop forever (RFC 7332). */
    @Test
    void maxForwardsIsDecrementedThroughTheGateway() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1).replace("Max-Forwards: 70", "Max-Forwards: 5"));
        assertEquals(4, nextLeg().invite().request().getMaxForwards().getMaxForwards());
    }

    /** A caller retries without waiting for Retry-After: each attempt gets exactly one final response, and no 200. */
    @Test
    void eachAttemptOfARapidlyRetryingCallerIsAnswered() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1));
        Leg leg = nextLeg();
        leg.host().respond(leg.invite(), 503, null, null, "");
        leg.host().await("ACK");
        caller.await("503");
        for (int i = 0; i < 30; i++) {
            caller.send(caller.invite("b" + i, "free", 1));
        }
        Map<String, Set<Integer>> finalStatuses = new TreeMap<>();
        for (int i = 0; i < 1000 && finalStatuses.size() < 30; i++) {
            Received message = caller.received.poll(10, TimeUnit.MILLISECONDS);
            if (message != null
                    && message.message() instanceof SIPResponse r
                    && r.getStatusCode() >= 200
                    && r.getCallId().getCallId().startsWith("b")) {
                finalStatuses
                        .computeIfAbsent(r.getCallId().getCallId(), k -> new TreeSet<>())
                        .add(r.getStatusCode());
            }
            Received invite = leg.host().received.poll();
            if (invite != null && invite.summary().equals("INVITE")) {
                leg.host().respond(invite, 503, null, null, "");
            }
        }
        assertEquals(30, finalStatuses.size(), "each attempt must get a final response: " + finalStatuses);
        finalStatuses.forEach((callId, statuses) -> assertEquals(1, statuses.size(), callId + " had " + statuses));
        assertTrue(finalStatuses.values().stream().noneMatch(statuses -> statuses.contains(200)));
    }

    @Test
    void bandwidthOfTheOfferLimitsTheRung() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite("a", "free", 1, "", Sdp.of("127.0.0.1", 4000, 1, 1700)));
        assertEquals(
                1600, Sdp.parse(SipCodec.body(nextLeg().invite().message())).videoKbitPerS());
    }

    /** INVITEs beyond the limit of half-open calls per address get 503; an ACK makes room for another one. */
    @Test
    void halfOpenCallsPerAddressAreLimited() throws Exception {
        startGateway(1, 200, 3);
        for (int i = 0; i < 4; i++) {
            caller.send(caller.invite("a" + i, "free", 10 + i));
        }
        Received rejection = caller.await("503");
        assertEquals("a3", rejection.message().getCallId().getCallId());
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        caller.ack(caller.await("200 INVITE")); // one half-open call less
        harness.awaitCall("LegStarted[");
        caller.send(caller.invite("b", "free", 20));
        while (!nextLeg().play().endsWith("-4")) {} // the rejected one is no play, so this is the fourth
        assertEquals(4, harness.countCalls("PlayRequested"));
    }

    /**
     * Copies of one INVITE arrive while the event loop is stalled. The first is rejected; the copies still in the
     * queue must not be admitted afterwards.
     */
    @Test
    void retransmissionsOfARejectedInviteAreRejectedToo() throws Exception {
        startGateway(1, 100, 100);
        harness.gateway.stall(1800);
        String invite = caller.invite("a", "free", 1);
        for (int i = 0; i < 6; i++) {
            caller.send(invite);
            assertFalse(caller.receives("200", 200));
        }
        caller.await("503");
        assertFalse(caller.receives("100", 1500));
        assertEquals(0, harness.countCalls("PlayRequested"));
    }

    /**
     * One address sends ten thousand INVITEs and acknowledges no response. They are admitted up to the address's limit,
     * the others are rejected, and other viewers are still served.
     */
    @Test
    void floodOfHalfOpenCallsIsRejected() throws Exception {
        startGateway(1, 200, 20);
        for (int i = 0; i < 10_000; i++) {
            caller.send(caller.invite("a" + i, "free", 1000 + i));
            if (i % 50 == 49) {
                Thread.sleep(1); // lets the gateway read: the socket drops what exceeds its buffer
            }
        }
        for (int i = 0; !caller.receives("200 OPTIONS", 200); i++) { // waits until the queue is empty again
            assertTrue(i < 100);
            caller.send(caller.request("OPTIONS", "o" + i, 1, "sip:gw", 1, "", "", ""));
        }
        var hlsResponse = harness.requestPlay("free", 5);
        Received first = nextLeg().invite();
        assertTrue(
                first.request().getFrom().toString().contains("sip:gw"),
                "the first INVITE at a host must come from the gateway");
        GatewayHarness.HostRequest hlsRequest = harness.nextRequest("POST /S");
        harness.serve(hlsRequest);
        assertEquals(200, GatewayHarness.await(hlsResponse).statusCode());
        long admitted = harness.countCalls("PlayRequested");
        assertTrue(
                admitted > 20 && admitted < 5000,
                "shed plays make room for others, but most INVITEs must be rejected before they become plays: "
                        + admitted);
    }

    @Test
    void sessionExpiresOfTheOkNamesTheCallerAsRefresher() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.invite(
                "a", "free", 1, "Supported: timer\r\nSession-Expires: 120\r\n", Sdp.of("127.0.0.1", 4000, 1, 800)));
        Leg leg = nextLeg();
        leg.host().accept(leg.invite());
        Received ok = caller.await("200 INVITE");
        assertEquals("120;refresher=uac", SipCodec.header(ok.message(), "Session-Expires"));
        assertEquals("timer", SipCodec.header(ok.message(), "Require"));
        caller.ack(ok);
        caller.send(caller.requestInDialog("UPDATE", ok, 2, ""));
        caller.await("200 UPDATE");
    }

    @Test
    void optionsAreAnsweredAndMalformedMessagesAreRejectedOrDropped() throws Exception {
        startGateway(1, 200, 100);
        caller.send(caller.request("OPTIONS", "o", 1, "sip:gw", 1, "", "", ""));
        assertEquals(
                SipFront.ALLOWED_METHODS,
                SipCodec.header(caller.await("200 OPTIONS").message(), "Allow"));
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", harness.gateway.sipPort()));
            for (byte[] datagram : List.of(
                    new byte[] {1, 2, 3, 4, 5, 6}, new byte[65_000], "INVITE".getBytes(StandardCharsets.UTF_8))) {
                socket.send(new DatagramPacket(datagram, datagram.length));
            }
        }
        caller.send(caller.invite("z", "free", 1).replace("INVITE sip", "INVITE  sip"));
        assertEquals("400 INVITE", caller.await("400").summary());
        caller.send(caller.request("OPTIONS", "p", 1, "sip:gw", 1, "", "", ""));
        caller.await("200 OPTIONS");
    }

    @Test
    void hostReportsReachTheDirector() throws Exception {
        startGateway(1, 200, 100);
        establishCall("a", "free", 1);
        hosts[0].reportHeader = SipFront.DELIVERED_SHARE_HEADER + ": 0.5";
        harness.awaitCall("DeliveredShareReported[host=HostId[value=h0], share=0.5]");
        hosts[0].overload = new OverloadControl(20, 500, 1);
        harness.awaitCall("LoadReported[host=HostId[value=h0], load=LoadReport[linkUse=1.25");
    }
}
