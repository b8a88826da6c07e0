package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.gateway.GatewayHarness.HostRequest;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistReader;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.play.HostDescriptor;
import walnutfield.sse.Event;

/** Tests the HTTP front of a gateway against simulated hosts and a simulated list service. */
class GatewayTest {
    private static String mediaUri(HttpResponse<String> response) throws Exception {
        return PlaylistReader.multivariant(response.body()).variants().get(0).uri();
    }

    private static MediaPlaylist mediaPlaylist(GatewayHarness harness, String uri) throws Exception {
        return PlaylistReader.media(GatewayHarness.await(harness.viewerGet(uri)).body());
    }

    @Test
    void aPlaylistIsRewrittenForTheSession() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest leg = harness.nextRequest();
            assertEquals("POST /S", leg.requestLine());
            assertEquals("2", leg.exchange().request().parameters().get("rung"));
            harness.serve(leg);
            HttpResponse<String> response = GatewayHarness.await(asked);
            assertEquals(
                    leg.session(), response.headers().firstValue("Session-Id").orElse(""));
            MediaPlaylist playlist = mediaPlaylist(harness, mediaUri(response));
            String host = "http://127.0.0.1:" + harness.portOf(0) + "/";
            assertTrue(
                    playlist.segments().get(0).uri().startsWith(host + "m/2/0.ts?session="),
                    playlist.segments().get(0).uri());
            assertEquals(
                    host + "k2",
                    playlist.keysAt(0).get(0).attributes().get("URI").orElse(""));
            assertFalse(playlist.ended());
        }
    }

    @Test
    void aHostThatDiesBeforeTheFirstSegmentIsReplacedAtTheNextOne() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest first = harness.nextRequest();
            harness.serve(first);
            String uri = mediaUri(GatewayHarness.await(asked));
            int listedBefore = mediaPlaylist(harness, uri).segments().size();
            harness.cutHost(first.host());
            HostRequest second = harness.nextRequest("POST /S");
            assertNotEquals(first.host(), second.host());
            assertNotEquals(first.session(), second.session());
            harness.serve(second);
            MediaPlaylist playlist = mediaPlaylist(harness, uri);
            while (playlist.segments().size() <= listedBefore) { // the playlist grows with playback time
                Thread.sleep(50);
                playlist = mediaPlaylist(harness, uri);
            }
            assertTrue(playlist.segments().get(listedBefore).uri().contains(":" + harness.portOf(second.host()) + "/"));
            assertFalse(playlist.segments().get(listedBefore).discontinuity(), "the same rung from another host");
            assertTrue(
                    playlist.segments().get(listedBefore - 1).uri().contains(":" + harness.portOf(first.host()) + "/"));
        }
    }

    @Test
    void aGrowingProgrammeIsReloadedUntilItsEnd() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest(), GatewayHarness.growingPlaylist("g", 1, false));
            String uri = mediaUri(GatewayHarness.await(asked));
            assertEquals(1, mediaPlaylist(harness, uri).segments().size());
            harness.nextRequest("GET /S")
                    .exchange()
                    .respond(500, Headers.NONE, new byte[0]); // a single failed reload ends nothing
            harness.nextRequest("GET /S")
                    .exchange()
                    .respond(200, Headers.NONE, GatewayHarness.growingPlaylist("g", 2, false));
            HostRequest again = harness.nextRequest("GET /S"); // this reload shows that the one before was applied
            assertFalse(mediaPlaylist(harness, uri).ended());
            again.exchange().respond(200, Headers.NONE, GatewayHarness.growingPlaylist("g", 3, true));
            MediaPlaylist playlist = mediaPlaylist(harness, uri);
            while (!playlist.ended()) {
                Thread.sleep(20);
                playlist = mediaPlaylist(harness, uri);
            }
            assertEquals(3, playlist.segments().size());
            assertEquals(MediaPlaylist.Type.EVENT, playlist.type());
        }
    }

    @Test
    void aHostThatRemovesListedSegmentsIsReplaced() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest first = harness.nextRequest();
            harness.serve(first, GatewayHarness.growingPlaylist("g", 3, false));
            String uri = mediaUri(GatewayHarness.await(asked));
            assertEquals(3, mediaPlaylist(harness, uri).segments().size());
            harness.nextRequest("GET /S")
                    .exchange()
                    .respond(200, Headers.NONE, GatewayHarness.growingPlaylist("other", 4, false));
            HostRequest second = harness.nextRequest("POST /S");
            assertNotEquals(first.host(), second.host());
            harness.serve(
                    second, GatewayHarness.growingPlaylist("g", 2, false)); // the second host lags behind the first
            harness.nextRequest("GET /S")
                    .exchange()
                    .respond(200, Headers.NONE, GatewayHarness.growingPlaylist("g", 4, true));
            MediaPlaylist playlist = mediaPlaylist(harness, uri);
            while (!playlist.ended()) {
                Thread.sleep(20);
                playlist = mediaPlaylist(harness, uri);
            }
            assertEquals(4, playlist.segments().size());
            assertTrue(playlist.segments().get(3).uri().contains(":" + harness.portOf(second.host()) + "/"));
            assertFalse(playlist.segments().get(3).discontinuity(), "the same encoding from another host");
        }
    }

    @Test
    void withoutAnotherHostThePlaylistEndsWithAnErrorStatus() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest());
            String uri = mediaUri(GatewayHarness.await(asked));
            harness.cutHost(0);
            HttpResponse<String> response = GatewayHarness.await(harness.viewerGet(uri));
            while (response.statusCode() == 200) {
                Thread.sleep(50);
                response = GatewayHarness.await(harness.viewerGet(uri));
            }
            assertEquals(503, response.statusCode());
            assertEquals("1", response.headers().firstValue("Retry-After").orElse(""));
        }
    }

    /** Guards against plays that stay in memory, once they have ended, until the timers of their deadline and leg fire. */
    @Test
    void endedPlaysLeaveNoTimers() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            int before = harness.gateway.pendingTimers();
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("paid", 1);
            harness.nextRequest("POST /S").exchange().respond(500, Headers.NONE, new byte[0]);
            assertEquals(502, GatewayHarness.await(asked).statusCode());
            assertTrue(harness.gateway.pendingTimers() <= before, "the deadline of the class is 4 s away");
        }
    }

    @Test
    void aRetryWhileTheFirstTryIsOpenJoinsIt() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> first = harness.requestPlay("free", 1);
            HostRequest leg = harness.nextRequest();
            CompletableFuture<HttpResponse<String>> second = harness.requestPlay("free", 1);
            CompletableFuture<HttpResponse<String>> other = harness.requestPlay("free", 2);
            HostRequest others =
                    harness.nextRequest(); // viewer 1's second request came before this one and sent no leg
            assertEquals("2", others.exchange().request().parameters().get("viewer"));
            harness.serve(leg);
            assertEquals(
                    GatewayHarness.await(first).body(),
                    GatewayHarness.await(second).body());
            others.exchange().respond(503, Headers.NONE, new byte[0]);
            harness.nextRequest("POST /S").exchange().respond(503, Headers.NONE, new byte[0]);
            assertEquals(503, GatewayHarness.await(other).statusCode());
        }
    }

    /** Each row: traffic class, how its first leg fails, and the viewer's status or "again" for a second leg. */
    @ParameterizedTest
    @CsvSource({
        "paid, 500, 502",
        "paid, cut, 502",
        "free, 500, again",
        "free, cut, again",
        "paid, 503, again",
        "paid, rubbish, 502",
        "free, rubbish, again"
    })
    void firstLegOutcomeDecidesTheAnswer(String trafficClass, String failure, String expected) throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay(trafficClass, 1);
            HostRequest leg = harness.nextRequest();
            switch (failure) {
                case "cut" -> leg.exchange().abort();
                case "rubbish" ->
                    leg.exchange().respond(200, Headers.NONE, "#EXTM3U\n#EXTINF".getBytes(StandardCharsets.UTF_8));
                default -> leg.exchange().respond(Integer.parseInt(failure), Headers.NONE, new byte[0]);
            }
            if (expected.equals("again")) {
                HostRequest second = harness.nextRequest();
                assertNotEquals(leg.host(), second.host());
                assertEquals("1", second.exchange().request().parameters().get("leg"));
                harness.serve(second);
                assertEquals(200, GatewayHarness.await(asked).statusCode());
            } else {
                assertEquals(
                        Integer.parseInt(expected), GatewayHarness.await(asked).statusCode());
                assertNull(harness.hostRequests.poll());
            }
        }
    }

    @Test
    void aResponseAfterTheLegTimeoutStartsNothing() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest late = harness.nextRequest();
            HostRequest second = harness.nextRequest(); // sent after the first leg's timeout
            late.exchange().respond(200, Headers.NONE, GatewayHarness.encryptedPlaylist("2"));
            harness.serve(second);
            MediaPlaylist playlist = mediaPlaylist(harness, mediaUri(GatewayHarness.await(asked)));
            assertTrue(playlist.segments().get(0).uri().contains(":" + harness.portOf(second.host()) + "/"));
            assertEquals(1, harness.countCalls("LegStarted"));
        }
    }

    @Test
    void aViewerThatDisconnectsCancelsItsPendingLeg() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            CountDownLatch gone = new CountDownLatch(1);
            try (Socket socket = new Socket("127.0.0.1", harness.port)) {
                socket.getOutputStream()
                        .write("GET /play/7.m3u8?band=paid&viewer=1 HTTP/1.1\r\nHost: x\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
                harness.nextRequest().exchange().onDisconnect(gone::countDown);
            }
            assertTrue(gone.await(10, TimeUnit.SECONDS), "the host sees the connection of the leg closed");
            harness.awaitCall("ViewerLeft");
            harness.awaitCall("LegEnded");
            assertTrue(harness.deskCalls().stream().anyMatch(c -> c.contains("CANCELLED")));
        }
    }

    @Test
    void seatsCountPendingSetUps() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> first = harness.requestPlay("seated", 1);
            HostRequest leg = harness.nextRequest();
            assertEquals(
                    503, GatewayHarness.await(harness.requestPlay("seated", 2)).statusCode());
            Exchange stream = harness.serve(leg);
            assertEquals(200, GatewayHarness.await(first).statusCode());
            assertEquals(
                    503, GatewayHarness.await(harness.requestPlay("seated", 3)).statusCode());
            stream.sendChunk(new Event("end", "whole").bytes());
            harness.awaitCall("LegEnded");
            CompletableFuture<HttpResponse<String>> next = harness.requestPlay("seated", 4);
            harness.serve(harness.nextRequest("POST /S"));
            assertEquals(200, GatewayHarness.await(next).statusCode());
        }
    }

    @Test
    void aFullQueueRejectsBeforeAPlayIsAdmitted() throws Exception {
        try (GatewayHarness harness = new GatewayHarness(1).start(4, null)) {
            harness.acceptListStream();
            harness.sendFullList();
            harness.gateway.stall(900);
            List<CompletableFuture<HttpResponse<String>>> requests = new ArrayList<>();
            for (int viewer = 0; viewer < 12; viewer++) {
                requests.add(harness.requestPlay("free", viewer));
            }
            while (requests.stream().filter(CompletableFuture::isDone).count() < 8) { // while the desk is still stalled
                Thread.sleep(5);
            }
            for (CompletableFuture<HttpResponse<String>> request : requests) {
                if (request.isDone()) {
                    assertEquals(503, request.get().statusCode());
                    assertEquals(
                            "2",
                            request.get().headers().firstValue("Retry-After").orElse(""));
                }
            }
            harness.awaitCall("PlayRequested");
            while (harness.hostRequests.size() < 4) {
                Thread.sleep(5);
            }
            assertEquals(4, harness.countCalls("PlayRequested"));
        }
    }

    @Test
    void requestsThatWaitTooLongForTheDeskAreRejected() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            harness.gateway.stall(2000);
            HttpResponse<String> response =
                    GatewayHarness.await(harness.requestPlay("paid", 1)); // while the desk is still stalled
            assertEquals(503, response.statusCode());
            harness.requestPlay("free", 2);
            assertEquals(
                    "2", harness.nextRequest().exchange().request().parameters().get("viewer"));
            assertEquals(1, harness.countCalls("PlayRequested"));
        }
    }

    @Test
    void aHostThatStopsSendingHeartbeatsIsReplaced() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            harness.requestPlay("free", 1);
            HostRequest first = harness.nextRequest();
            harness.serveWithoutHeartbeat(first); // a host without a heartbeat for 700 ms counts as lost
            HostRequest second = harness.nextRequest("POST /S");
            assertNotEquals(first.host(), second.host());
            assertTrue(harness.deskCalls().stream().anyMatch(c -> c.contains("CONNECTION_LOST")));
        }
    }

    @Test
    void aPaidPlayIsNotRecoveredAfterItsConnectionIsLost() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("paid", 1);
            Exchange stream = harness.serve(harness.nextRequest());
            String uri = mediaUri(GatewayHarness.await(asked));
            stream.abort();
            HttpResponse<String> response = GatewayHarness.await(harness.viewerGet(uri));
            while (response.statusCode() == 200) {
                Thread.sleep(20);
                response = GatewayHarness.await(harness.viewerGet(uri));
            }
            assertEquals(502, response.statusCode());
            assertNull(harness.hostRequests.poll());
        }
    }

    @Test
    void aDrainingHostGetsNoNewLegs() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            harness.sendStateChange(0, HostDescriptor.LifecycleState.DRAINING);
            for (int i = 0; i < 6; i++) {
                harness.requestPlay("free", i);
                assertEquals(1, harness.nextRequest("POST /S").host());
            }
        }
    }

    /** A host with a full backlog accepts no connection; the leg that waits for one is cancelled before it is sent. */
    @Test
    void anUnsentLegIsCancelledWhenItsHostDrains() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            int full = harness.fillBacklog();
            CompletableFuture<HttpResponse<String>> asked = null;
            for (int viewer = 0; asked == null; viewer++) { // until a leg goes to the host with the full backlog
                CompletableFuture<HttpResponse<String>> attempt = harness.requestPlay("paid", viewer);
                HostRequest request = harness.hostRequests.poll(200, TimeUnit.MILLISECONDS);
                if (request == null) {
                    asked = attempt;
                }
            }
            harness.sendStateChange(full, HostDescriptor.LifecycleState.DRAINING);
            HostRequest other = harness.nextRequest("POST /S");
            assertNotEquals(full, other.host());
            assertTrue(
                    harness.deskCalls().stream().anyMatch(c -> c.contains("NOT_SENT")),
                    harness.deskCalls().toString());
            harness.serve(other);
            assertEquals(200, GatewayHarness.await(asked).statusCode());
        }
    }

    /** After a stall, list updates are handled before play requests, and an answer in time before the leg's timeout. */
    @Test
    void eventsQueuedDuringAStallAreHandledInOrder() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(2)) {
            CompletableFuture<HttpResponse<String>> first = harness.requestPlay("free", 1);
            HostRequest leg = harness.nextRequest();
            harness.gateway.stall(900); // longer than the leg's timeout
            harness.requestPlay("free", 2);
            harness.requestPlay("free", 3);
            leg.exchange().respond(200, Headers.NONE, GatewayHarness.encryptedPlaylist("2"));
            harness.sendStateChange(leg.host(), HostDescriptor.LifecycleState.DRAINING);
            for (int i = 0; i < 2; i++) {
                assertNotEquals(leg.host(), harness.nextRequest("POST /S").host());
            }
            assertEquals(200, GatewayHarness.await(first).statusCode());
            assertTrue(harness.deskCalls().stream().noneMatch(c -> c.contains("TIMED_OUT")));
        }
    }

    @Test
    void anInvalidListIsRejectedAndTheLastGoodOneStays() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            harness.sendList("walnutfield-hosts 1 whole 9\nhost h0 address=nowhere\n");
            harness.requestPlay("free", 1);
            assertEquals("POST /S", harness.nextRequest().requestLine());
        }
    }

    /** Without a persisted list, the first list counts as a persisted one, which proves nothing about the present. */
    @Test
    void theFirstListWithoutAPersistedOneIsTreatedAsPersisted() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            assertEquals(
                    List.of("PersistedHostListLoaded[hosts=[]]", "PersistedHostListLoaded[hosts=[HostDescriptor"),
                    harness.deskCalls().stream()
                            .filter(c -> c.contains("HostList"))
                            .map(c -> c.replaceAll("HostDescriptor.*", "HostDescriptor"))
                            .toList());
            harness.list.abort();
            harness.acceptListStream();
            harness.sendList(harness.fullListText());
            harness.awaitCall("HostListReplaced[hosts=[HostDescriptor");
        }
    }

    @Test
    void theListIsPersistedAcrossARestartAndRequestedAgain(@TempDir Path dir) throws Exception {
        Path persistedList = dir.resolve("hosts");
        try (GatewayHarness harness = new GatewayHarness(2).start(100, persistedList)) {
            harness.acceptListStream();
            harness.sendFullList();
            while (!Files.exists(persistedList)) {
                Thread.sleep(10);
            }
            harness.gateway.close();
            harness.clearDeskCalls();
            harness.listRequests.clear();
            harness.start(100, persistedList);
            harness.requestPlay("free", 1);
            assertEquals("POST /S", harness.nextRequest().requestLine());
            assertTrue(harness.deskCalls().get(0).startsWith("PersistedHostListLoaded"));
            harness.acceptListStream();
            harness.list.abort();
            harness.awaitCall("HostListUnavailable");
            harness.acceptListStream();
        }
    }

    @Test
    void aDrainingGatewayAnswersPendingRequestsAndRejectsNewOnes() throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            CompletableFuture<HttpResponse<String>> pending = harness.requestPlay("free", 1);
            HostRequest leg = harness.nextRequest();
            CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> {
                try {
                    harness.gateway.drain(10_000);
                } catch (java.io.IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            });
            HttpResponse<String> health = GatewayHarness.await(harness.viewerGet("/health"));
            while (health.statusCode() == 200) {
                health = GatewayHarness.await(harness.viewerGet("/health"));
            }
            assertEquals(
                    503, GatewayHarness.await(harness.requestPlay("free", 2)).statusCode());
            harness.serve(leg);
            assertEquals(200, GatewayHarness.await(pending).statusCode());
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    /** Each row: an invalid request and the status of its answer. */
    @ParameterizedTest
    @CsvSource({
        "/play/8.m3u8?band=free&viewer=1, 404",
        "/play/7.m3u8?band=odd&viewer=1, 400",
        "/play/7.m3u8?band=free, 400",
        "/session/none.m3u8, 404",
        "/, 404",
        "/play/x.m3u8, 404"
    })
    void invalidRequestsAreAnsweredImmediately(String target, int status) throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            assertEquals(status, GatewayHarness.await(harness.viewerGet(target)).statusCode());
            assertNull(harness.hostRequests.poll());
        }
    }

    /** CMCD's top bitrate, in kbit/s, limits the rung. */
    @ParameterizedTest
    @CsvSource({"5000, 2", "3200, 2", "3199, 1", "100, 0"})
    void topBitrateLimitsTheRung(int topBitrateKbitS, int rung) throws Exception {
        try (GatewayHarness harness = GatewayHarness.started(1)) {
            harness.viewerGet("/play/7.m3u8?band=free&CMCD=bl%3D1%2Csid%3D%22a%22%2Ctb%3D" + topBitrateKbitS);
            assertEquals(
                    Integer.toString(rung),
                    harness.nextRequest().exchange().request().parameters().get("rung"));
        }
    }
}
