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

/** Writes the HTTP responses that viewers receive. */
final class HttpResponses {
    static final String SESSION_ID = "Session-Id";
    private static final String PLAYLIST_TYPE = "application/vnd.apple.mpegurl";
    private static final byte[] EMPTY_BODY = new byte[0];

    private HttpResponses() {}

    /**
     * Returns a multivariant playlist with one variant. The gateway chooses the rung listed in it, so the variant is
     * announced with the bandwidth of the highest rung it may use.
     */
    static String multivariant(String viewingId, Ladder ladder, TrafficClass trafficClass, int maxRung) {
        long bandwidth = Math.round(ladder.rateKb(trafficClass, maxRung) * 8000);
        Attributes attributes = Attributes.NONE.with("BANDWIDTH", Long.toString(Math.max(1, bandwidth)));
        return PlaylistWriter.write(new MultivariantPlaylist(
                3,
                List.of(new Tag("EXT-X-INDEPENDENT-SEGMENTS", null)),
                List.of(new MultivariantPlaylist.Variant(attributes, "/session/" + viewingId + ".m3u8"))));
    }

    static void playlist(Exchange exchange, String sessionId, String text) {
        Headers headers = Headers.of("Content-Type", PLAYLIST_TYPE, "Cache-Control", "no-store");
        exchange.respond(
                200,
                sessionId == null ? headers : headers.with(SESSION_ID, sessionId),
                text.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers 503 with a Retry-After in whole seconds, rounded up (RFC 9110, sections 10.2.3 and 15.6.4). */
    static void unavailable(Exchange exchange, String sessionId, double retryAfterMs) {
        Headers headers = Headers.of("Cache-Control", "no-store");
        headers = retryAfterMs > 0
                ? headers.with("Retry-After", Long.toString((long) Math.ceil(retryAfterMs / 1000)))
                : headers;
        exchange.respond(503, sessionId == null ? headers : headers.with(SESSION_ID, sessionId), EMPTY_BODY);
    }

    static void status(Exchange exchange, int status, String sessionId) {
        Headers headers = Headers.of("Cache-Control", "no-store");
        exchange.respond(status, sessionId == null ? headers : headers.with(SESSION_ID, sessionId), EMPTY_BODY);
    }
}
