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
import walnutfield.gateway.Outside.Came;
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

/** Inserts through the gateway, against hosts that answer only when told. */
class InsertsTest {
    private static Insert insert(Insert.Place place, double atMs, double insteadMs, boolean must, int topRung) {
        return new Insert(
                new InsertId("i"),
                new TitleId(99),
                0,
                3,
                topRung,
                2000,
                2,
                place,
                atMs,
                insteadMs,
                must,
                Set.of(),
                Set.of(),
                0,
                1e15,
                1);
    }

    private static Outside with(int hosts, Insert i) throws Exception {
        Outside o = Outside.up(hosts);
        o.gateway.schedule(new Schedule(List.of(i)));
        return o;
    }

    private static String media(CompletableFuture<HttpResponse<String>> asked) throws Exception {
        return PlaylistReader.multivariant(Outside.of(asked).body())
                .variants()
                .get(0)
                .uri();
    }

    private static MediaPlaylist list(Outside o, String uri) throws Exception {
        return PlaylistReader.media(Outside.of(o.get(uri)).body());
    }

    /** The playlist once it has that many segments. */
    private static MediaPlaylist list(Outside o, String uri, int segments) throws Exception {
        MediaPlaylist p = list(o, uri);
        while (p.segments().size() < segments) {
            Thread.sleep(20);
            p = list(o, uri);
        }
        return p;
    }

    @Test
    void anInsertBeyondTheEndOfAProgrammeThatGrewIsDropped() throws Exception {
        try (Outside o = with(1, insert(Insert.Place.AT, 5000, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next(), Outside.growing("g", 1, false));
            String uri = media(asked);
            o.next("GET /S").x().answer(200, Headers.NONE, Outside.growing("g", 2, true));
            o.until("ProgrammeEnded[viewing=PlayId[value=1], lengthMs=2000.0]");
            MediaPlaylist p = list(o, uri);
            while (!p.ended()) {
                Thread.sleep(20);
                p = list(o, uri);
            }
            assertEquals(2, p.segments().size());
        }
    }

    private static String title(Came c) {
        return c.x().request().parameters().get("title");
    }

    private static String kinds(MediaPlaylist p) {
        StringBuilder b = new StringBuilder();
        p.segments()
                .forEach(s ->
                        b.append(s.discontinuity() ? "|" : "").append(s.uri().contains("/i/") ? 'i' : 'p'));
        return b.toString();
    }

    @Test
    void anInsertBeforeComesFirstAndItsKeysAndMarksAreRight() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Came main = o.next("POST /S");
            o.serve(main);
            Came insert = o.next("POST /S");
            assertEquals("99", title(insert));
            assertEquals("insert-free", insert.x().request().parameters().get("band"));
            assertFalse(asked.isDone(), "the viewer waits for what comes first");
            o.serve(insert, 2);
            MediaPlaylist p = list(o, media(asked), 3);
            assertTrue(kinds(p).startsWith("ii|p"), kinds(p));
            assertTrue(p.segments()
                    .get(0)
                    .tag("EXT-X-DATERANGE")
                    .orElseThrow()
                    .value()
                    .contains("PLANNED-DURATION=2.000,SCTE35-OUT=0xFC30"));
            Segment first = p.segments().get(2);
            assertTrue(first.tag("EXT-X-DATERANGE").orElseThrow().value().contains(",DURATION=2.000,SCTE35-IN=0xFC30"));
            assertTrue(first.tag(Segment.KEY).orElseThrow().value().startsWith("METHOD=AES-128"));
            assertEquals(
                    p.segments().get(0).date().orElseThrow().plusSeconds(2),
                    first.date().orElseThrow());
        }
    }

    /** What comes of an insert's first leg when it may be dropped: the play goes on at once, under its floor nothing is. */
    @ParameterizedTest
    @CsvSource({"503", "rubbish", "floor", "zero"})
    void anInsertThatCannotBeHadDoesNotHoldThePlay(String how) throws Exception {
        try (Outside o = with(1, insert(Insert.Place.BEFORE, 0, 0, false, how.equals("floor") ? 0 : 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask(how.equals("floor") ? "seated" : "free", 1);
            o.serve(o.next("POST /S"));
            if (!how.equals("floor")) {
                Came insert = o.next("POST /S");
                switch (how) {
                    case "503" -> insert.x().answer(503, Headers.NONE, new byte[0]);
                    case "zero" ->
                        insert.x()
                                .answer(
                                        200,
                                        Headers.NONE,
                                        "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-ENDLIST\n".getBytes());
                    default -> insert.x().answer(200, Headers.NONE, "#EXTM3U\nx".getBytes());
                }
            }
            MediaPlaylist p = list(o, media(asked), 1);
            assertFalse(kinds(p).contains("i"), kinds(p));
            Came more = o.came.poll();
            assertTrue(more == null || !more.what().startsWith("POST"), "the insert is not tried for ever");
        }
    }

    @Test
    void anInsertWhoseHostDiesIsTakenUpElsewhereWithoutAGap() throws Exception {
        try (Outside o = with(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Came main = o.next("POST /S");
            o.serve(main);
            Came insert = o.next("POST /S");
            Exchange stream = o.serve(insert, 5);
            String uri = media(asked);
            MediaPlaylist before = list(o, uri, 3);
            stream.abort();
            Came again = o.next("POST /S");
            assertEquals("99", title(again));
            assertNotEquals(insert.session(), again.session());
            o.serve(again, 5);
            MediaPlaylist p = list(o, uri, 6);
            assertEquals("iiiii", kinds(p).substring(0, 5), "no mark where only the host changes: " + kinds(p));
            assertEquals(
                    before.segments(), p.segments().subList(0, before.segments().size()));
            assertTrue(
                    p.segments().get(4).uri().endsWith(again.session()),
                    p.segments().get(4).uri());
        }
    }

    @Test
    void anInsertThatIsLostTwiceIsCutAndTheProgrammeGoesOn() throws Exception {
        try (Outside o = with(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            Exchange first = o.serve(o.next("POST /S"), 9);
            String uri = media(asked);
            list(o, uri, 3);
            first.abort();
            o.serve(o.next("POST /S"), 9).abort();
            MediaPlaylist p = list(o, uri);
            while (!kinds(p).contains("p")) {
                Thread.sleep(20);
                p = list(o, uri);
            }
            assertTrue(kinds(p).matches("i{3,9}\\|p+"), kinds(p));
            String told = p.segments()
                    .get(kinds(p).indexOf('|'))
                    .tag("EXT-X-DATERANGE")
                    .orElseThrow()
                    .value();
            assertTrue(told.contains(String.format(",DURATION=%d.000", kinds(p).indexOf('|'))), told + " " + kinds(p));
        }
    }

    @Test
    void oneInsteadOfAStretchPassesOverIt() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.INSTEAD, 2000, 4000, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Came main = o.next("POST /S");
            o.serve(main);
            String uri = media(asked);
            Came insert = o.next("POST /S");
            o.serve(insert, 2);
            MediaPlaylist p = list(o, uri, 4);
            assertEquals("p|ii|p", kinds(p));
            assertTrue(
                    p.segments().get(3).uri().contains("/3.ts"), "segments 1 and 2 are passed over: " + p.segments());
        }
    }

    @Test
    void anInsertIsNotShownTwiceToAViewerWhoComesAgain() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Exchange main = o.serve(o.next("POST /S"));
            Exchange insert = o.serve(o.next("POST /S"), 2);
            list(o, media(asked), 1);
            insert.piece(new Event("end", "whole").bytes());
            o.until("Ended");
            main.piece(new Event("end", "whole").bytes());
            while (o.count("Ended") < 2) {
                Thread.sleep(5);
            }
            CompletableFuture<HttpResponse<String>> again = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            assertFalse(kinds(list(o, media(again), 1)).contains("i"));
            assertNull(o.came.poll());
        }
    }

    @Test
    void aWithdrawnScheduleLeavesWhatIsUnderWay() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            Came insert = o.next("POST /S");
            o.gateway.schedule(Schedule.NONE);
            o.serve(insert, 2);
            assertTrue(kinds(list(o, media(asked), 2)).startsWith("ii"));
            CompletableFuture<HttpResponse<String>> other = o.ask("free", 2);
            o.serve(o.next("POST /S"));
            assertFalse(kinds(list(o, media(other), 1)).contains("i"));
        }
    }

    @Test
    void aViewerWhoWaitsIsAnsweredByTheExpectedTime() throws Exception {
        try (Outside o = with(1, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            long began = System.nanoTime();
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            o.next("POST /S"); // the insert's host never answers
            assertEquals(200, Outside.of(asked).statusCode());
            assertTrue((System.nanoTime() - began) / 1e6 < 3000, "long before the hard stop");
        }
    }

    /** The module moves a play while an insert is listed: the insert goes on, and then the programme from its new host. */
    @Test
    void aMoveDuringAnInsertLeavesItWhole() throws Exception {
        try (Outside o = with(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Came main = o.next("POST /S");
            o.serve(main);
            o.serve(o.next("POST /S"), 4);
            String uri = media(asked);
            list(o, uri, 2);
            o.moveNext.set(
                    new walnutfield.play.PlayId(Long.parseLong(main.session().replaceAll(".*-", ""))));
            Came moved = o.next("POST /S");
            assertEquals("7", title(moved));
            o.serve(moved);
            MediaPlaylist p = list(o, uri, 5);
            assertTrue(kinds(p).startsWith("iiii|p"), kinds(p));
            assertTrue(
                    p.segments().get(4).uri().endsWith(moved.session()),
                    p.segments().get(4).uri());
            assertTrue(o.calls().stream().anyMatch(c -> c.contains("CALLED_OFF")));
        }
    }

    /** The module moves the insert itself: its rest comes from the new host, with no mark between. */
    @Test
    void anInsertThatIsMovedGoesOnFromItsNewHost() throws Exception {
        try (Outside o = with(3, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            Came insert = o.next("POST /S");
            o.serve(insert, 6);
            String uri = media(asked);
            list(o, uri, 3);
            o.moveNext.set(
                    new walnutfield.play.PlayId(Long.parseLong(insert.session().replaceAll(".*-", ""))));
            Came again = o.next("POST /S");
            assertEquals("99", title(again));
            o.serve(again, 6);
            MediaPlaylist p = list(o, uri, 7);
            assertTrue(kinds(p).startsWith("iiiiii|p"), kinds(p));
        }
    }

    /** A retry that crosses the insert's end joins the viewing: the same playlist, no second insert. */
    @Test
    void aRetryThatCrossesTheInsertsEndJoinsTheViewing() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.BEFORE, 0, 0, false, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            o.serve(o.next("POST /S"));
            Exchange insert = o.serve(o.next("POST /S"), 2);
            String uri = media(asked);
            list(o, uri, 3);
            CompletableFuture<HttpResponse<String>> again = o.ask("free", 1);
            insert.piece(new Event("end", "whole").bytes());
            assertEquals(uri, media(again));
            o.until("InsertEnded");
            assertEquals(1, o.count("ViewingBegan"));
            assertTrue(kinds(list(o, uri)).startsWith("ii|p"));
        }
    }

    /** A viewer who leaves before its place is reached: the insert is dropped once, and nothing is asked for. */
    @Test
    void aViewerWhoLeavesBeforeItsPlaceAsksForNothing() throws Exception {
        try (Outside o = with(2, insert(Insert.Place.AT, 10_000, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask("free", 1);
            Exchange main = o.serve(o.next("POST /S"));
            media(asked);
            main.piece(new Event("end", "idle").bytes());
            o.until("ViewingOver");
            assertNull(o.came.poll());
            assertFalse(o.calls().stream().anyMatch(c -> c.startsWith("InsertDue")));
        }
    }

    /** The play's host is lost while its viewer waits for what comes first: the viewer is answered at once. */
    @ParameterizedTest
    @CsvSource({"paid, 502", "free, 200"})
    void aViewerWhoWaitsForAnInsertIsAnsweredWhenThePlayIsLost(String band, int status) throws Exception {
        try (Outside o = with(2, insert(Insert.Place.BEFORE, 0, 0, true, 2))) {
            CompletableFuture<HttpResponse<String>> asked = o.ask(band, 1);
            Exchange main = o.serve(o.next("POST /S"));
            Came insert = o.next("POST /S");
            main.abort();
            if (status == 200) { // it comes back, and the insert after it
                o.serve(o.next("POST /S"));
                o.serve(insert, 2);
            }
            assertEquals(status, Outside.of(asked).statusCode());
        }
    }
}
