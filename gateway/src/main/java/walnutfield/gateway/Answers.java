package walnutfield.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import walnutfield.hls.Attributes;
import walnutfield.hls.MultivariantPlaylist;
import walnutfield.hls.PlaylistWriter;
import walnutfield.hls.Tag;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.play.Ladder;
import walnutfield.play.TrafficClass;

/** What viewers are answered, as HTTP. */
final class Answers {
    static final String PLAY = "Session-Id";
    private static final String HLS = "application/vnd.apple.mpegurl";
    private static final byte[] NOTHING = new byte[0];

    private Answers() {}

    /** One variant: which rung is listed in it is the gateway's to choose, so it is named by the highest. */
    static String multivariant(String id, Ladder ladder, TrafficClass band, int top) {
        long bits = Math.round(ladder.rate(band, top) * 8000);
        Attributes a = Attributes.NONE.with("BANDWIDTH", Long.toString(Math.max(1, bits)));
        return PlaylistWriter.write(new MultivariantPlaylist(
                3,
                List.of(new Tag("EXT-X-INDEPENDENT-SEGMENTS", null)),
                List.of(new MultivariantPlaylist.Variant(a, "/session/" + id + ".m3u8"))));
    }

    static void playlist(Exchange x, String play, String text) {
        Headers h = Headers.of("Content-Type", HLS, "Cache-Control", "no-store");
        x.answer(200, play == null ? h : h.with(PLAY, play), text.getBytes(StandardCharsets.UTF_8));
    }

    /** Come back later: RFC 9110, sections 10.2.3 and 15.6.4; whole seconds, rounded up. */
    static void notNow(Exchange x, String play, double holdOffMs) {
        Headers h = Headers.of("Cache-Control", "no-store");
        h = holdOffMs > 0 ? h.with("Retry-After", Long.toString((long) Math.ceil(holdOffMs / 1000))) : h;
        x.answer(503, play == null ? h : h.with(PLAY, play), NOTHING);
    }

    static void status(Exchange x, int status, String play) {
        Headers h = Headers.of("Cache-Control", "no-store");
        x.answer(status, play == null ? h : h.with(PLAY, play), NOTHING);
    }
}
