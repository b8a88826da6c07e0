package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.gateway.GatewayHarness.HostRequest;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistReader;
import walnutfield.hls.Segment;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.play.TitleId;
import walnutfield.sse.Event;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;

/** Tests how inserts are stitched into viewings, against simulated hosts. */
class InsertsTest {
    private static Insert insert(Insert.Place place, double atMs, double replacedMs, boolean mandatory, int maxRung) {
        return new Insert(
                new InsertId("i"),
                new TitleId(99),
                0,
                3,
                maxRung,
                2000,
                2,
                place,
                atMs,
                replacedMs,
                mandatory,
                Set.of(),
                Set.of(),
                0,
                1e15,
                1);
    }

    private static GatewayHarness startedWith(int hosts, Insert insert) throws Exception {
        GatewayHarness harness = GatewayHarness.started(hosts);
        harness.gateway.updateInsertSchedule(new Schedule(List.of(insert)));
        return harness;
    }

    private static String mediaUri(CompletableFuture<HttpResponse<String>> asked) throws Exception {
        return PlaylistReader.multivariant(GatewayHarness.await(asked).body())
                .variants()
                .get(0)
                .uri();
    }

    private static MediaPlaylist mediaPlaylist(GatewayHarness harness, String uri) throws Exception {
        return PlaylistReader.media(GatewayHarness.await(harness.viewerGet(uri)).body());
    }

    /** Returns the playlist once it has this many segments. */
    private static MediaPlaylist mediaPlaylist(GatewayHarness harness, String uri, int segments) throws Exception {
        MediaPlaylist playlist = mediaPlaylist(harness, uri);
        while (playlist.segments().size() < segments) {
            Thread.sleep(20);
            playlist = mediaPlaylist(harness, uri);
        }
        return playlist;
    }

    @Test
    void anInsertBeyondTheEndOfAProgrammeThatGrewIsDropped() throws Exception {
        try (GatewayHarness harness = startedWith(1, insert(Insert.Place.AT, 5000, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest(), GatewayHarness.growingPlaylist("g", 1, false));
            String uri = mediaUri(asked);
            harness.nextRequest("GET /S")
                    .exchange()
                    .respond(200, Headers.NONE, GatewayHarness.growingPlaylist("g", 2, true));
            harness.awaitCall("ProgrammeEnded[viewing=PlayId[value=1], lengthMs=2000.0]");
            MediaPlaylist playlist = mediaPlaylist(harness, uri);
            while (!playlist.ended()) {
                Thread.sleep(20);
                playlist = mediaPlaylist(harness, uri);
            }
            assertEquals(2, playlist.segments().size());
        }
    }

    private static String requestedTitle(HostRequest request) {
        return request.exchange().request().parameters().get("title");
    }

    private static String segmentKinds(MediaPlaylist playlist) {
        StringBuilder kinds = new StringBuilder();
        playlist.segments()
                .forEach(segment -> kinds.append(segment.discontinuity() ? "|" : "")
                        .append(segment.uri().contains("/i/") ? 'i' : 'p'));
        return kinds.toString();
    }

    @Test
    void aLeadingInsertComesFirstWithCorrectKeysAndTags() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest programme = harness.nextRequest("POST /S");
            harness.serve(programme);
            HostRequest insert = harness.nextRequest("POST /S");
            assertEquals("99", requestedTitle(insert));
            assertEquals("insert-free", insert.exchange().request().parameters().get("band"));
            assertFalse(asked.isDone(), "the viewer waits for the leading insert");
            harness.serve(insert, 2);
            MediaPlaylist playlist = mediaPlaylist(harness, mediaUri(asked), 3);
            assertTrue(segmentKinds(playlist).startsWith("ii|p"), segmentKinds(playlist));
            assertTrue(playlist.segments()
                    .get(0)
                    .tag("EXT-X-DATERANGE")
                    .orElseThrow()
                    .value()
                    .contains("PLANNED-DURATION=2.000,SCTE35-OUT=0xFC30"));
            Segment first = playlist.segments().get(2);
            assertTrue(first.tag("EXT-X-DATERANGE").orElseThrow().value().contains(",DURATION=2.000,SCTE35-IN=0xFC30"));
            assertTrue(first.tag(Segment.KEY).orElseThrow().value().startsWith("METHOD=AES-128"));
            assertEquals(
                    playlist.segments().get(0).programDateTime().orElseThrow().plusSeconds(2),
                    first.programDateTime().orElseThrow());
        }
    }

    /** Each row: why an optional insert cannot be played; the play starts without it. "floor" sends no leg at all. */
    @ParameterizedTest
    @CsvSource({"503", "rubbish", "floor", "zero"})
    void anUnavailableInsertDoesNotDelayThePlay(String failure) throws Exception {
        try (GatewayHarness harness =
                startedWith(1, insert(Insert.Place.BEFORE, 0, 0, false, failure.equals("floor") ? 0 : 2))) {
            CompletableFuture<HttpResponse<String>> asked =
                    harness.requestPlay(failure.equals("floor") ? "seated" : "free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            if (!failure.equals("floor")) {
                HostRequest insert = harness.nextRequest("POST /S");
                switch (failure) {
                    case "503" -> insert.exchange().respond(503, Headers.NONE, new byte[0]);
                    case "zero" ->
                        insert.exchange()
                                .respond(
                                        200,
                                        Headers.NONE,
                                        "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-ENDLIST\n".getBytes());
                    default -> insert.exchange().respond(200, Headers.NONE, "#EXTM3U\nx".getBytes());
                }
            }
            MediaPlaylist playlist = mediaPlaylist(harness, mediaUri(asked), 1);
            assertFalse(segmentKinds(playlist).contains("i"), segmentKinds(playlist));
            HostRequest more = harness.hostRequests.poll();
            assertTrue(more == null || !more.requestLine().startsWith("POST"), "the insert is not retried forever");
        }
    }

    @Test
    void anInsertContinuesOnAnotherHostWithoutAGap() throws Exception {
        try (GatewayHarness harness = startedWith(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest programme = harness.nextRequest("POST /S");
            harness.serve(programme);
            HostRequest insert = harness.nextRequest("POST /S");
            Exchange stream = harness.serve(insert, 5);
            String uri = mediaUri(asked);
            MediaPlaylist before = mediaPlaylist(harness, uri, 3);
            stream.abort();
            HostRequest again = harness.nextRequest("POST /S");
            assertEquals("99", requestedTitle(again));
            assertNotEquals(insert.session(), again.session());
            harness.serve(again, 5);
            MediaPlaylist playlist = mediaPlaylist(harness, uri, 6);
            assertEquals(
                    "iiiii",
                    segmentKinds(playlist).substring(0, 5),
                    "no discontinuity where only the host changes: " + segmentKinds(playlist));
            assertEquals(
                    before.segments(),
                    playlist.segments().subList(0, before.segments().size()));
            assertTrue(
                    playlist.segments().get(4).uri().endsWith(again.session()),
                    playlist.segments().get(4).uri());
        }
    }

    @Test
    void anInsertLostTwiceIsCutShortAndTheProgrammeContinues() throws Exception {
        try (GatewayHarness harness = startedWith(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            Exchange first = harness.serve(harness.nextRequest("POST /S"), 9);
            String uri = mediaUri(asked);
            mediaPlaylist(harness, uri, 3);
            first.abort();
            harness.serve(harness.nextRequest("POST /S"), 9).abort();
            MediaPlaylist playlist = mediaPlaylist(harness, uri);
            while (!segmentKinds(playlist).contains("p")) {
                Thread.sleep(20);
                playlist = mediaPlaylist(harness, uri);
            }
            assertTrue(segmentKinds(playlist).matches("i{3,9}\\|p+"), segmentKinds(playlist));
            String dateRange = playlist.segments()
                    .get(segmentKinds(playlist).indexOf('|'))
                    .tag("EXT-X-DATERANGE")
                    .orElseThrow()
                    .value();
            assertTrue(
                    dateRange.contains(String.format(
                            ",DURATION=%d.000", segmentKinds(playlist).indexOf('|'))),
                    dateRange + " " + segmentKinds(playlist));
        }
    }

    @Test
    void anInsertThatReplacesAStretchSkipsIt() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.INSTEAD, 2000, 4000, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest programme = harness.nextRequest("POST /S");
            harness.serve(programme);
            String uri = mediaUri(asked);
            HostRequest insert = harness.nextRequest("POST /S");
            harness.serve(insert, 2);
            MediaPlaylist playlist = mediaPlaylist(harness, uri, 4);
            assertEquals("p|ii|p", segmentKinds(playlist));
            assertTrue(
                    playlist.segments().get(3).uri().contains("/3.ts"),
                    "segments 1 and 2 are skipped: " + playlist.segments());
        }
    }

    @Test
    void anInsertIsNotShownTwiceToAReturningViewer() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            Exchange programme = harness.serve(harness.nextRequest("POST /S"));
            Exchange insert = harness.serve(harness.nextRequest("POST /S"), 2);
            mediaPlaylist(harness, mediaUri(asked), 1);
            insert.sendChunk(new Event("end", "whole").bytes());
            harness.awaitCall("LegEnded");
            programme.sendChunk(new Event("end", "whole").bytes());
            while (harness.countCalls("LegEnded") < 2) {
                Thread.sleep(5);
            }
            CompletableFuture<HttpResponse<String>> again = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            assertFalse(segmentKinds(mediaPlaylist(harness, mediaUri(again), 1)).contains("i"));
            assertNull(harness.hostRequests.poll());
        }
    }

    @Test
    void aWithdrawnScheduleKeepsStartedInserts() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            HostRequest insert = harness.nextRequest("POST /S");
            harness.gateway.updateInsertSchedule(Schedule.NONE);
            harness.serve(insert, 2);
            assertTrue(segmentKinds(mediaPlaylist(harness, mediaUri(asked), 2)).startsWith("ii"));
            CompletableFuture<HttpResponse<String>> other = harness.requestPlay("free", 2);
            harness.serve(harness.nextRequest("POST /S"));
            assertFalse(segmentKinds(mediaPlaylist(harness, mediaUri(other), 1)).contains("i"));
        }
    }

    @Test
    void aWaitingViewerIsAnsweredByTheLatencyTarget() throws Exception {
        try (GatewayHarness harness = startedWith(1, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            long startedAt = System.nanoTime();
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            harness.nextRequest("POST /S"); // the insert's host never answers
            assertEquals(200, GatewayHarness.await(asked).statusCode());
            assertTrue((System.nanoTime() - startedAt) / 1e6 < 3000, "long before the deadline");
        }
    }

    /** The desk moves a play while an insert is listed: the insert continues, then the programme from its new host. */
    @Test
    void aMoveDuringAnInsertLeavesTheInsertComplete() throws Exception {
        try (GatewayHarness harness = startedWith(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            HostRequest programme = harness.nextRequest("POST /S");
            harness.serve(programme);
            harness.serve(harness.nextRequest("POST /S"), 4);
            String uri = mediaUri(asked);
            mediaPlaylist(harness, uri, 2);
            harness.nextMovedPlay.set(new walnutfield.play.PlayId(
                    Long.parseLong(programme.session().replaceAll(".*-", ""))));
            HostRequest moved = harness.nextRequest("POST /S");
            assertEquals("7", requestedTitle(moved));
            harness.serve(moved);
            MediaPlaylist playlist = mediaPlaylist(harness, uri, 5);
            assertTrue(segmentKinds(playlist).startsWith("iiii|p"), segmentKinds(playlist));
            assertTrue(
                    playlist.segments().get(4).uri().endsWith(moved.session()),
                    playlist.segments().get(4).uri());
            assertTrue(harness.deskCalls().stream().anyMatch(c -> c.contains("CANCELLED")));
        }
    }

    /** The desk moves the insert itself: its rest comes from the new host without a discontinuity. */
    @Test
    void aMovedInsertContinuesFromItsNewHost() throws Exception {
        try (GatewayHarness harness = startedWith(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            HostRequest insert = harness.nextRequest("POST /S");
            harness.serve(insert, 6);
            String uri = mediaUri(asked);
            mediaPlaylist(harness, uri, 3);
            harness.nextMovedPlay.set(
                    new walnutfield.play.PlayId(Long.parseLong(insert.session().replaceAll(".*-", ""))));
            HostRequest again = harness.nextRequest("POST /S");
            assertEquals("99", requestedTitle(again));
            harness.serve(again, 6);
            MediaPlaylist playlist = mediaPlaylist(harness, uri, 7);
            assertTrue(segmentKinds(playlist).startsWith("iiiiii|p"), segmentKinds(playlist));
        }
    }

    /** A request repeated while the insert ends joins the viewing: it gets the same playlist and no second insert. */
    @Test
    void aRetryThatCrossesTheInsertsEndJoinsTheViewing() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            harness.serve(harness.nextRequest("POST /S"));
            Exchange insert = harness.serve(harness.nextRequest("POST /S"), 2);
            String uri = mediaUri(asked);
            mediaPlaylist(harness, uri, 3);
            CompletableFuture<HttpResponse<String>> again = harness.requestPlay("free", 1);
            insert.sendChunk(new Event("end", "whole").bytes());
            assertEquals(uri, mediaUri(again));
            harness.awaitCall("InsertEnded");
            assertEquals(1, harness.countCalls("ViewingStarted"));
            assertTrue(segmentKinds(mediaPlaylist(harness, uri)).startsWith("ii|p"));
        }
    }

    /** A viewer who leaves before the insert's point is reached: no host is asked for the insert. */
    @Test
    void aViewerWhoLeavesBeforeTheInsertPointCausesNoRequest() throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.AT, 10_000, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay("free", 1);
            Exchange programme = harness.serve(harness.nextRequest("POST /S"));
            mediaUri(asked);
            programme.sendChunk(new Event("end", "idle").bytes());
            harness.awaitCall("ViewingEnded");
            assertNull(harness.hostRequests.poll());
            assertFalse(harness.deskCalls().stream().anyMatch(c -> c.startsWith("InsertDue")));
        }
    }

    /** The play's host is lost while its viewer waits for a leading insert: the viewer is answered immediately. */
    @ParameterizedTest
    @CsvSource({"paid, 502", "free, 200"})
    void aViewerWhoWaitsForAnInsertIsAnsweredWhenThePlayIsLost(String trafficClass, int status) throws Exception {
        try (GatewayHarness harness = startedWith(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = harness.requestPlay(trafficClass, 1);
            Exchange programme = harness.serve(harness.nextRequest("POST /S"));
            HostRequest insert = harness.nextRequest("POST /S");
            programme.abort();
            if (status == 200) { // the play is recovered, and the insert after it
                harness.serve(harness.nextRequest("POST /S"));
                harness.serve(insert, 2);
            }
            assertEquals(status, GatewayHarness.await(asked).statusCode());
        }
    }
}
