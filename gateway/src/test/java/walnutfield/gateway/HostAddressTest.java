package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.gateway.SipPeer.Received;
import walnutfield.net.Exchange;
import walnutfield.play.HostDescriptor;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipCodec;
import walnutfield.sse.Event;

/** A host of HLS or SIP is its id and its start, not its address: another one listed at the address has replaced it. */
class HostAddressTest {
    private static final int OTHER_CELL = 5; // does not hold the title

    /** Guards against set-ups for a host that has gone which reach another one at its address. */
    @Test
    void noSetUpForAHostIsSentToAnotherOneAtItsAddress() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            harness.sendHostAtAddressOf(0, "h9", OTHER_CELL, System.currentTimeMillis());
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            assertNull(harness.hostRequests.poll(1, TimeUnit.SECONDS));
            assertEquals(503, GatewayHarness.await(asked).statusCode());
            harness.sendFullList(); // the old host with its old start: no news
            asked = harness.requestPlay("free", 2);
            assertNull(harness.hostRequests.poll(1, TimeUnit.SECONDS));
            assertEquals(503, GatewayHarness.await(asked).statusCode());
        }
    }

    /** Guards against load reports of a new host that are taken for those of the one that had its address. */
    @Test
    void aLoadReportCountsForTheHostThatHoldsTheAddress() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            double startedAt = System.currentTimeMillis() - 1;
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            Exchange stream = harness.serve(harness.nextRequest());
            GatewayHarness.await(asked);
            harness.sendHostAtAddressOf(0, "h9", 0, startedAt);
            stream.sendChunk(new Event("load", "TEXT application_utilization=0.25").bytes());
            harness.awaitCall("LoadReported[host=HostId[value=h9]");
        }
    }

    /**
     * Guards against calls that stand for ever because a later process at the address answers OPTIONS. Neither process
     * names its instance.
     */
    @ParameterizedTest
    @CsvSource({"h9, " + OTHER_CELL, "h0, 0"})
    void callsOfAHostEndAsALaterOneIsListedAtItsAddress(String laterHost, int cell) throws Exception {
        GatewayHarness harness = new GatewayHarness(2);
        harness.sipSettings = new GatewaySettings.Sip(0, 100, 100, 100, 1_800_000, true);
        harness.start(100, null);
        harness.acceptListStream();
        harness.sendFullList();
        try (harness;
                SipPeer first = new SipPeer(harness.portOf(0));
                SipPeer second = new SipPeer(harness.portOf(1));
                SipPeer caller = new SipPeer(0).useUdp(harness.gateway.sipPort())) {
            first.ignoresOptions = second.ignoresOptions = false;
            first.hostInstance = second.hostInstance = null;
            harness.sendStateChange(1, HostDescriptor.LifecycleState.DRAINING);
            caller.send(caller.invite("a", "free", 1));
            first.accept(first.await("INVITE"));
            caller.ack(caller.await("200 INVITE"));
            harness.sendStateChange(1, HostDescriptor.LifecycleState.READY);
            Thread.sleep(2);
            harness.clearDeskCalls();
            harness.sendHostAtAddressOf(0, laterHost, cell, System.currentTimeMillis());
            second.accept(second.await("INVITE"));
            Received reInvite = caller.await("INVITE");
            assertTrue(SipCodec.body(reInvite.message()).contains("m=video " + second.port + " "));
            caller.respond(reInvite, 200, null, null, Sdp.of("127.0.0.1", 4000, 2, 800));
        }
    }
}
