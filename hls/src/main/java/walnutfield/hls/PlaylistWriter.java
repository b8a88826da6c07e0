package walnutfield.hls;

import java.math.BigDecimal;

/** Writes playlists: UTF-8 without byte order mark, LF at the end of each line. */
public final class PlaylistWriter {
    private PlaylistWriter() {}

    public static String write(MediaPlaylist p) {
        StringBuilder out = head(p.version());
        line(out, "EXT-X-TARGETDURATION", Integer.toString(p.targetDurationS()));
        if (p.mediaSequence() != 0) {
            line(out, "EXT-X-MEDIA-SEQUENCE", Long.toString(p.mediaSequence()));
        }
        if (p.discontinuitySequence() != 0) {
            line(out, "EXT-X-DISCONTINUITY-SEQUENCE", Long.toString(p.discontinuitySequence()));
        }
        if (p.type() != MediaPlaylist.Type.NONE) {
            line(out, "EXT-X-PLAYLIST-TYPE", p.type().name());
        }
        p.tags().forEach(t -> out.append(t).append('\n'));
        for (Segment s : p.segments()) {
            if (s.discontinuity()) {
                line(out, "EXT-X-DISCONTINUITY", null);
            }
            s.tags().forEach(t -> out.append(t).append('\n'));
            line(out, "EXTINF", decimal(s.durationS()) + "," + s.title());
            if (s.range() != null) {
                line(out, "EXT-X-BYTERANGE", s.range().toString());
            }
            out.append(s.uri()).append('\n');
        }
        if (p.ended()) {
            line(out, "EXT-X-ENDLIST", null);
        }
        return out.toString();
    }

    public static String write(MultivariantPlaylist p) {
        StringBuilder out = head(p.version());
        p.tags().forEach(t -> out.append(t).append('\n'));
        for (MultivariantPlaylist.Variant v : p.variants()) {
            line(out, "EXT-X-STREAM-INF", v.attributes().toString());
            out.append(v.uri()).append('\n');
        }
        return out.toString();
    }

    private static StringBuilder head(int version) {
        StringBuilder out = new StringBuilder("#EXTM3U\n");
        if (version > 1) {
            line(out, "EXT-X-VERSION", Integer.toString(version));
        }
        return out;
    }

    private static void line(StringBuilder out, String name, String value) {
        out.append(new Tag(name, value)).append('\n');
    }

    /** Decimal-floating-point without an exponent (section 4.2). */
    private static String decimal(double v) {
        return new BigDecimal(Double.toString(v)).stripTrailingZeros().toPlainString();
    }
}
