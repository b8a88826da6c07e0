package walnutfield.hls;

import java.math.BigDecimal;

/** Writes playlists as RFC 8216 requires: without byte order mark; every line ends in LF. */
public final class PlaylistWriter {
    private PlaylistWriter() {}

    /** Writes a media playlist. */
    public static String write(MediaPlaylist playlist) {
        StringBuilder out = header(playlist.version());
        appendTag(out, "EXT-X-TARGETDURATION", Integer.toString(playlist.targetDurationS()));
        if (playlist.mediaSequence() != 0) {
            appendTag(out, "EXT-X-MEDIA-SEQUENCE", Long.toString(playlist.mediaSequence()));
        }
        if (playlist.discontinuitySequence() != 0) {
            appendTag(out, "EXT-X-DISCONTINUITY-SEQUENCE", Long.toString(playlist.discontinuitySequence()));
        }
        if (playlist.type() != MediaPlaylist.Type.NONE) {
            appendTag(out, "EXT-X-PLAYLIST-TYPE", playlist.type().name());
        }
        playlist.tags().forEach(t -> out.append(t).append('\n'));
        for (Segment segment : playlist.segments()) {
            if (segment.discontinuity()) {
                appendTag(out, "EXT-X-DISCONTINUITY", null);
            }
            segment.tags().forEach(t -> out.append(t).append('\n'));
            appendTag(out, "EXTINF", decimal(segment.durationS()) + "," + segment.title());
            if (segment.range() != null) {
                appendTag(out, "EXT-X-BYTERANGE", segment.range().toString());
            }
            out.append(segment.uri()).append('\n');
        }
        if (playlist.ended()) {
            appendTag(out, "EXT-X-ENDLIST", null);
        }
        return out.toString();
    }

    /** Writes a multivariant playlist. */
    public static String write(MultivariantPlaylist playlist) {
        StringBuilder out = header(playlist.version());
        playlist.tags().forEach(t -> out.append(t).append('\n'));
        for (MultivariantPlaylist.Variant variant : playlist.variants()) {
            appendTag(out, "EXT-X-STREAM-INF", variant.attributes().toString());
            out.append(variant.uri()).append('\n');
        }
        return out.toString();
    }

    private static StringBuilder header(int version) {
        StringBuilder out = new StringBuilder("#EXTM3U\n");
        if (version > 1) {
            appendTag(out, "EXT-X-VERSION", Integer.toString(version));
        }
        return out;
    }

    private static void appendTag(StringBuilder out, String name, String value) {
        out.append(new Tag(name, value)).append('\n');
    }

    /** Formats a decimal-floating-point value, which has no exponent (RFC 8216, section 4.2). */
    private static String decimal(double value) {
        return new BigDecimal(Double.toString(value)).stripTrailingZeros().toPlainString();
    }
}
