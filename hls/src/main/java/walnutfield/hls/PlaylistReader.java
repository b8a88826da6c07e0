package walnutfield.hls;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads playlists (RFC 8216, section 4). What the RFC forbids is refused with the line; unknown tags are kept, and
 * comments are passed over. Time and memory go with the length of the text.
 */
public final class PlaylistReader {
    private static final Set<String> MEDIA_ONLY = Set.of(
            "EXT-X-TARGETDURATION",
            "EXT-X-MEDIA-SEQUENCE",
            "EXT-X-DISCONTINUITY-SEQUENCE",
            "EXT-X-PLAYLIST-TYPE",
            "EXT-X-ENDLIST",
            "EXT-X-I-FRAMES-ONLY",
            "EXTINF",
            "EXT-X-BYTERANGE",
            "EXT-X-DISCONTINUITY",
            "EXT-X-KEY",
            "EXT-X-MAP",
            "EXT-X-PROGRAM-DATE-TIME");
    private static final Set<String> MASTER_ONLY = Set.of(
            "EXT-X-STREAM-INF", "EXT-X-MEDIA", "EXT-X-I-FRAME-STREAM-INF", "EXT-X-SESSION-DATA", "EXT-X-SESSION-KEY");
    private static final Set<String> OF_SEGMENTS = Set.of(
            "EXT-X-KEY",
            "EXT-X-MAP",
            "EXT-X-PROGRAM-DATE-TIME",
            "EXT-X-DATERANGE",
            "EXT-X-GAP",
            "EXT-X-BITRATE",
            "EXT-X-PART",
            "EXT-X-CUE-OUT",
            "EXT-X-CUE-IN");

    private final String[] lines;
    private int at;
    private int version = 1;
    private final List<Tag> head = new ArrayList<>();
    private final Set<String> once = new HashSet<>();

    private PlaylistReader(String text) {
        lines = text.split("\r?\n", -1);
    }

    /** Whether the text has a variant or another tag of multivariant playlists. */
    public static boolean isMultivariant(String text) {
        return text.contains("#EXT-X-STREAM-INF") || text.contains("#EXT-X-I-FRAME-STREAM-INF");
    }

    public static MediaPlaylist media(String text) throws PlaylistException {
        return new PlaylistReader(text).media();
    }

    public static MultivariantPlaylist multivariant(String text) throws PlaylistException {
        return new PlaylistReader(text).multivariant();
    }

    private PlaylistException bad(String reason) {
        return new PlaylistException(Math.min(at, lines.length), reason);
    }

    /** The next line that is a tag or a URI, or null; {@code at} is then its number. */
    private String next() throws PlaylistException {
        while (at < lines.length) {
            String l = lines[at++];
            if (at == 1) {
                if (!l.equals("#EXTM3U")) {
                    throw bad("a playlist begins with #EXTM3U, not with '" + Attributes.shorten(l) + "'");
                }
                continue;
            }
            if (l.isBlank() || l.startsWith("#") && !l.startsWith("#EXT")) {
                continue;
            }
            if (l.chars().anyMatch(c -> c < 32 && c != '\t' || c == 127)) {
                throw bad("a control character");
            }
            return l;
        }
        return null;
    }

    private static Tag tag(String line) {
        int colon = line.indexOf(':');
        return colon < 0
                ? new Tag(line.substring(1), null)
                : new Tag(line.substring(1, colon), line.substring(colon + 1));
    }

    private void single(Tag t) throws PlaylistException {
        if (!once.add(t.name())) {
            throw bad(t.name() + " comes twice");
        }
    }

    private long whole(Tag t) throws PlaylistException {
        try {
            long v = Long.parseLong(t.value() == null ? "" : t.value().strip());
            if (v < 0) {
                throw bad(t.name() + " is below 0");
            }
            return v;
        } catch (NumberFormatException e) {
            throw bad(t.name() + " is no whole number");
        }
    }

    private void version(Tag t) throws PlaylistException {
        single(t);
        long v = whole(t);
        if (v < 1 || v > 99) {
            throw bad("version " + v + " is not known");
        }
        version = (int) v;
    }

    private MediaPlaylist media() throws PlaylistException {
        long target = -1;
        long sequence = 0;
        long breaks = 0;
        MediaPlaylist.Type type = MediaPlaylist.Type.NONE;
        boolean ended = false;
        List<Segment> segments = new ArrayList<>();
        List<Tag> own = new ArrayList<>();
        double duration = -1;
        String title = "";
        ByteRange range = null;
        boolean broken = false;
        int inf = 0;
        double longest = 0;
        int longestLine = 0;
        for (String l = next(); l != null; l = next()) {
            if (!l.startsWith("#")) {
                if (duration < 0) {
                    throw bad("a segment without EXTINF");
                }
                segments.add(new Segment(l.strip(), duration, title, range, broken, own));
                if (duration > longest) {
                    longest = duration;
                    longestLine = inf;
                }
                duration = -1;
                title = "";
                range = null;
                broken = false;
                own = new ArrayList<>();
                continue;
            }
            Tag t = tag(l);
            if (MASTER_ONLY.contains(t.name())) {
                throw bad(t.name() + " stands in multivariant playlists only");
            }
            switch (t.name()) {
                case "EXT-X-VERSION" -> version(t);
                case "EXT-X-TARGETDURATION" -> {
                    single(t);
                    target = whole(t);
                    if (target > 86_400) {
                        throw bad("a target duration of over a day");
                    }
                }
                case "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE" -> {
                    single(t);
                    if (!segments.isEmpty()) {
                        throw bad(t.name() + " stands after a segment");
                    }
                    if (t.name().equals("EXT-X-MEDIA-SEQUENCE")) {
                        sequence = whole(t);
                    } else {
                        breaks = whole(t);
                    }
                }
                case "EXT-X-PLAYLIST-TYPE" -> {
                    single(t);
                    if (!"EVENT".equals(t.value()) && !"VOD".equals(t.value())) {
                        throw bad("a playlist's type is EVENT or VOD");
                    }
                    type = MediaPlaylist.Type.valueOf(t.value());
                }
                case "EXT-X-ENDLIST" -> {
                    single(t);
                    ended = true;
                }
                case "EXTINF" -> {
                    if (duration >= 0) {
                        throw bad("EXTINF twice before one segment");
                    }
                    String v = t.value() == null ? "" : t.value();
                    int comma = v.indexOf(',');
                    duration = seconds(comma < 0 ? v : v.substring(0, comma));
                    title = comma < 0 ? "" : v.substring(comma + 1);
                    inf = at;
                }
                case "EXT-X-BYTERANGE" -> range = range(t);
                case "EXT-X-DISCONTINUITY" -> broken = true;
                default -> {
                    check(t);
                    boolean first = segments.isEmpty() && duration < 0 && !broken && own.isEmpty();
                    (first && !OF_SEGMENTS.contains(t.name()) ? head : own).add(t);
                }
            }
        }
        at = lines.length;
        if (target < 0) {
            throw bad("EXT-X-TARGETDURATION is missing");
        }
        if (duration >= 0 || range != null) {
            throw bad("the last EXTINF or EXT-X-BYTERANGE has no segment");
        }
        if (Math.round(longest) > target) {
            at = longestLine;
            throw bad("a segment of " + longest + " s is over the target duration of " + target);
        }
        return new MediaPlaylist(version, (int) target, sequence, breaks, type, head, segments, ended);
    }

    private double seconds(String text) throws PlaylistException {
        try {
            double v = Double.parseDouble(text.strip());
            if (!(v >= 0) || v > 86_400 || text.strip().chars().anyMatch(c -> c != '.' && (c < '0' || c > '9'))) {
                throw bad("EXTINF has no duration in seconds");
            }
            return v;
        } catch (NumberFormatException e) {
            throw bad("EXTINF has no duration in seconds");
        }
    }

    private ByteRange range(Tag t) throws PlaylistException {
        String v = t.value() == null ? "" : t.value();
        int sign = v.indexOf('@');
        try {
            long length = Long.parseLong(sign < 0 ? v : v.substring(0, sign));
            long offset = sign < 0 ? -1 : Long.parseLong(v.substring(sign + 1));
            if (length < 0 || sign >= 0 && offset < 0) {
                throw bad("a byte range below 0");
            }
            return new ByteRange(length, offset);
        } catch (NumberFormatException e) {
            throw bad("EXT-X-BYTERANGE is no length with an offset");
        }
    }

    /** What the RFC demands of the tags that are kept as they are. */
    private void check(Tag t) throws PlaylistException {
        switch (t.name()) {
            case "EXT-X-KEY" -> {
                Attributes a = Attributes.parse(t.value() == null ? "" : t.value(), at);
                String method = a.get("METHOD").orElse(null);
                if (method == null) {
                    throw bad("EXT-X-KEY without METHOD");
                }
                if (!method.equals("NONE") && a.get("URI").isEmpty()) {
                    throw bad("EXT-X-KEY without URI");
                }
            }
            case "EXT-X-MAP" -> {
                if (Attributes.parse(t.value() == null ? "" : t.value(), at)
                        .get("URI")
                        .isEmpty()) {
                    throw bad("EXT-X-MAP without URI");
                }
            }
            case "EXT-X-DATERANGE" -> {
                if (Attributes.parse(t.value() == null ? "" : t.value(), at)
                        .get("ID")
                        .isEmpty()) {
                    throw bad("EXT-X-DATERANGE without ID");
                }
            }
            case "EXT-X-PROGRAM-DATE-TIME" -> {
                try {
                    OffsetDateTime.parse(t.value() == null ? "" : t.value());
                } catch (DateTimeException e) {
                    throw bad("EXT-X-PROGRAM-DATE-TIME is no date and time with a zone");
                }
            }
            default -> {}
        }
    }

    private MultivariantPlaylist multivariant() throws PlaylistException {
        List<MultivariantPlaylist.Variant> variants = new ArrayList<>();
        Attributes of = null;
        for (String l = next(); l != null; l = next()) {
            if (!l.startsWith("#")) {
                if (of == null) {
                    throw bad("a URI without EXT-X-STREAM-INF");
                }
                variants.add(new MultivariantPlaylist.Variant(of, l.strip()));
                of = null;
                continue;
            }
            if (of != null) {
                throw bad("EXT-X-STREAM-INF is followed by its URI");
            }
            Tag t = tag(l);
            if (MEDIA_ONLY.contains(t.name())) {
                throw bad(t.name() + " stands in media playlists only");
            }
            switch (t.name()) {
                case "EXT-X-VERSION" -> version(t);
                case "EXT-X-STREAM-INF" -> {
                    of = Attributes.parse(t.value() == null ? "" : t.value(), at);
                    String rate = of.get("BANDWIDTH").orElse("");
                    if (!rate.matches("[0-9]{1,18}")) {
                        throw bad("EXT-X-STREAM-INF without BANDWIDTH in bits a second");
                    }
                }
                case "EXT-X-MEDIA" -> {
                    Attributes a = Attributes.parse(t.value() == null ? "" : t.value(), at);
                    if (a.get("TYPE").isEmpty()
                            || a.get("GROUP-ID").isEmpty()
                            || a.get("NAME").isEmpty()) {
                        throw bad("EXT-X-MEDIA needs TYPE, GROUP-ID and NAME");
                    }
                    head.add(t);
                }
                default -> head.add(t);
            }
        }
        at = lines.length;
        if (of != null) {
            throw bad("the last EXT-X-STREAM-INF has no URI");
        }
        return new MultivariantPlaylist(version, head, variants);
    }
}
