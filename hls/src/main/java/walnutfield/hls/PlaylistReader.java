package walnutfield.hls;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads playlists (RFC 8216, section 4). A violation of the RFC is reported with its line; unknown tags are kept, and
 * comments are ignored. Time and memory are linear in the length of the text.
 */
public final class PlaylistReader {
    /** Tags that a multivariant playlist must not contain. */
    private static final Set<String> MEDIA_PLAYLIST_TAGS = Set.of(
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

    /** Tags that a media playlist must not contain. */
    private static final Set<String> MULTIVARIANT_PLAYLIST_TAGS = Set.of(
            "EXT-X-STREAM-INF", "EXT-X-MEDIA", "EXT-X-I-FRAME-STREAM-INF", "EXT-X-SESSION-DATA", "EXT-X-SESSION-KEY");

    /**
     * Tags that are kept with the segment after them even ahead of the first segment, where all other tags are taken as
     * tags of the playlist.
     */
    private static final Set<String> SEGMENT_TAGS = Set.of(
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
    private int lineNumber; // lines read so far: the number of the current line, from 1
    private int version = 1;
    private final List<Tag> headerTags = new ArrayList<>();
    private final Set<String> seenTags = new HashSet<>();

    private PlaylistReader(String text) {
        lines = text.split("\r?\n", -1);
    }

    /**
     * Whether the text contains EXT-X-STREAM-INF or EXT-X-I-FRAME-STREAM-INF, which are allowed in multivariant
     * playlists only.
     */
    public static boolean isMultivariant(String text) {
        return text.contains("#EXT-X-STREAM-INF") || text.contains("#EXT-X-I-FRAME-STREAM-INF");
    }

    /** Reads a media playlist. */
    public static MediaPlaylist media(String text) throws PlaylistException {
        return new PlaylistReader(text).parseMedia();
    }

    /** Reads a multivariant playlist. */
    public static MultivariantPlaylist multivariant(String text) throws PlaylistException {
        return new PlaylistReader(text).parseMultivariant();
    }

    private PlaylistException malformed(String reason) {
        return new PlaylistException(Math.min(lineNumber, lines.length), reason);
    }

    /** Returns the next line that is a tag or a URI, or null; {@link #lineNumber} is then its number. */
    private String nextLine() throws PlaylistException {
        while (lineNumber < lines.length) {
            String line = lines[lineNumber++];
            if (lineNumber == 1) {
                if (!line.equals("#EXTM3U")) {
                    throw malformed("a playlist begins with #EXTM3U, not with '" + Attributes.shorten(line) + "'");
                }
                continue;
            }
            if (line.isBlank() || line.startsWith("#") && !line.startsWith("#EXT")) {
                continue;
            }
            if (line.chars().anyMatch(c -> c < 32 && c != '\t' || c == 127)) {
                throw malformed("the line contains a control character");
            }
            return line;
        }
        return null;
    }

    private static Tag parseTag(String line) {
        int colon = line.indexOf(':');
        return colon < 0
                ? new Tag(line.substring(1), null)
                : new Tag(line.substring(1, colon), line.substring(colon + 1));
    }

    private void requireUnique(Tag tag) throws PlaylistException {
        if (!seenTags.add(tag.name())) {
            throw malformed(tag.name() + " comes twice");
        }
    }

    private long parseNonNegative(Tag tag) throws PlaylistException {
        try {
            long value = Long.parseLong(tag.value() == null ? "" : tag.value().strip());
            if (value < 0) {
                throw malformed(tag.name() + " is negative");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed(tag.name() + " is not an integer");
        }
    }

    private void parseVersion(Tag tag) throws PlaylistException {
        requireUnique(tag);
        long value = parseNonNegative(tag);
        if (value < 1 || value > 99) {
            throw malformed("version " + value + " is not supported");
        }
        version = (int) value;
    }

    private MediaPlaylist parseMedia() throws PlaylistException {
        long targetDurationS = -1;
        long mediaSequence = 0;
        long discontinuitySequence = 0;
        MediaPlaylist.Type type = MediaPlaylist.Type.NONE;
        boolean ended = false;
        List<Segment> segments = new ArrayList<>();
        List<Tag> segmentTags = new ArrayList<>();
        double durationS = -1;
        String title = "";
        ByteRange range = null;
        boolean discontinuity = false;
        int extinfLine = 0;
        double longestDurationS = 0;
        int longestDurationLine = 0;
        for (String line = nextLine(); line != null; line = nextLine()) {
            if (!line.startsWith("#")) {
                if (durationS < 0) {
                    throw malformed("a segment without EXTINF");
                }
                segments.add(new Segment(line.strip(), durationS, title, range, discontinuity, segmentTags));
                if (durationS > longestDurationS) {
                    longestDurationS = durationS;
                    longestDurationLine = extinfLine;
                }
                durationS = -1;
                title = "";
                range = null;
                discontinuity = false;
                segmentTags = new ArrayList<>();
                continue;
            }
            Tag tag = parseTag(line);
            if (MULTIVARIANT_PLAYLIST_TAGS.contains(tag.name())) {
                throw malformed(tag.name() + " stands in multivariant playlists only");
            }
            switch (tag.name()) {
                case "EXT-X-VERSION" -> parseVersion(tag);
                case "EXT-X-TARGETDURATION" -> {
                    requireUnique(tag);
                    targetDurationS = parseNonNegative(tag);
                    if (targetDurationS > 86_400) {
                        throw malformed("the target duration is longer than one day");
                    }
                }
                case "EXT-X-MEDIA-SEQUENCE", "EXT-X-DISCONTINUITY-SEQUENCE" -> {
                    requireUnique(tag);
                    if (!segments.isEmpty()) {
                        throw malformed(tag.name() + " must come before the first segment");
                    }
                    if (tag.name().equals("EXT-X-MEDIA-SEQUENCE")) {
                        mediaSequence = parseNonNegative(tag);
                    } else {
                        discontinuitySequence = parseNonNegative(tag);
                    }
                }
                case "EXT-X-PLAYLIST-TYPE" -> {
                    requireUnique(tag);
                    if (!"EVENT".equals(tag.value()) && !"VOD".equals(tag.value())) {
                        throw malformed("EXT-X-PLAYLIST-TYPE must be EVENT or VOD");
                    }
                    type = MediaPlaylist.Type.valueOf(tag.value());
                }
                case "EXT-X-ENDLIST" -> {
                    requireUnique(tag);
                    ended = true;
                }
                case "EXTINF" -> {
                    if (durationS >= 0) {
                        throw malformed("two EXTINF tags before one segment");
                    }
                    String value = tag.value() == null ? "" : tag.value();
                    int comma = value.indexOf(',');
                    durationS = parseDuration(comma < 0 ? value : value.substring(0, comma));
                    title = comma < 0 ? "" : value.substring(comma + 1);
                    extinfLine = lineNumber;
                }
                case "EXT-X-BYTERANGE" -> range = parseByteRange(tag);
                case "EXT-X-DISCONTINUITY" -> discontinuity = true;
                default -> {
                    validate(tag);
                    boolean beforeFirstSegment =
                            segments.isEmpty() && durationS < 0 && !discontinuity && segmentTags.isEmpty();
                    (beforeFirstSegment && !SEGMENT_TAGS.contains(tag.name()) ? headerTags : segmentTags).add(tag);
                }
            }
        }
        lineNumber = lines.length;
        if (targetDurationS < 0) {
            throw malformed("EXT-X-TARGETDURATION is missing");
        }
        if (durationS >= 0 || range != null) {
            throw malformed("the last EXTINF or EXT-X-BYTERANGE has no segment");
        }
        if (Math.round(longestDurationS) > targetDurationS) {
            lineNumber = longestDurationLine;
            throw malformed(
                    "a segment of " + longestDurationS + " s is over the target duration of " + targetDurationS);
        }
        return new MediaPlaylist(
                version,
                (int) targetDurationS,
                mediaSequence,
                discontinuitySequence,
                type,
                headerTags,
                segments,
                ended);
    }

    /** Parses a duration of EXTINF: digits and a decimal point, as the RFC allows neither sign nor exponent here. */
    private double parseDuration(String text) throws PlaylistException {
        try {
            double value = Double.parseDouble(text.strip());
            if (!(value >= 0)
                    || value > 86_400
                    || text.strip().chars().anyMatch(c -> c != '.' && (c < '0' || c > '9'))) {
                throw malformed("EXTINF has no duration in seconds");
            }
            return value;
        } catch (NumberFormatException e) {
            throw malformed("EXTINF has no duration in seconds");
        }
    }

    private ByteRange parseByteRange(Tag tag) throws PlaylistException {
        String value = tag.value() == null ? "" : tag.value();
        int separator = value.indexOf('@');
        try {
            long length = Long.parseLong(separator < 0 ? value : value.substring(0, separator));
            long offset = separator < 0 ? -1 : Long.parseLong(value.substring(separator + 1));
            if (length < 0 || separator >= 0 && offset < 0) {
                throw malformed("EXT-X-BYTERANGE has a negative length or offset");
            }
            return new ByteRange(length, offset);
        } catch (NumberFormatException e) {
            throw malformed("EXT-X-BYTERANGE is not of the form length[@offset]");
        }
    }

    /** Checks what the RFC requires of a tag that is kept as written. */
    private void validate(Tag tag) throws PlaylistException {
        switch (tag.name()) {
            case "EXT-X-KEY" -> {
                Attributes attributes = Attributes.parse(tag.value() == null ? "" : tag.value(), lineNumber);
                String method = attributes.get("METHOD").orElse(null);
                if (method == null) {
                    throw malformed("EXT-X-KEY without METHOD");
                }
                if (!method.equals("NONE") && attributes.get("URI").isEmpty()) {
                    throw malformed("EXT-X-KEY without URI");
                }
            }
            case "EXT-X-MAP" -> {
                if (Attributes.parse(tag.value() == null ? "" : tag.value(), lineNumber)
                        .get("URI")
                        .isEmpty()) {
                    throw malformed("EXT-X-MAP without URI");
                }
            }
            case "EXT-X-DATERANGE" -> {
                if (Attributes.parse(tag.value() == null ? "" : tag.value(), lineNumber)
                        .get("ID")
                        .isEmpty()) {
                    throw malformed("EXT-X-DATERANGE without ID");
                }
            }
            case "EXT-X-PROGRAM-DATE-TIME" -> {
                try {
                    OffsetDateTime.parse(tag.value() == null ? "" : tag.value());
                } catch (DateTimeException e) {
                    throw malformed("EXT-X-PROGRAM-DATE-TIME is not an ISO 8601 date and time with a time zone");
                }
            }
            default -> {}
        }
    }

    private MultivariantPlaylist parseMultivariant() throws PlaylistException {
        List<MultivariantPlaylist.Variant> variants = new ArrayList<>();
        Attributes streamInf = null;
        for (String line = nextLine(); line != null; line = nextLine()) {
            if (!line.startsWith("#")) {
                if (streamInf == null) {
                    throw malformed("a URI without EXT-X-STREAM-INF");
                }
                variants.add(new MultivariantPlaylist.Variant(streamInf, line.strip()));
                streamInf = null;
                continue;
            }
            if (streamInf != null) {
                throw malformed("EXT-X-STREAM-INF must be followed by the URI of its variant");
            }
            Tag tag = parseTag(line);
            if (MEDIA_PLAYLIST_TAGS.contains(tag.name())) {
                throw malformed(tag.name() + " stands in media playlists only");
            }
            switch (tag.name()) {
                case "EXT-X-VERSION" -> parseVersion(tag);
                case "EXT-X-STREAM-INF" -> {
                    streamInf = Attributes.parse(tag.value() == null ? "" : tag.value(), lineNumber);
                    String bandwidth = streamInf.get("BANDWIDTH").orElse("");
                    if (!bandwidth.matches("[0-9]{1,18}")) {
                        throw malformed("EXT-X-STREAM-INF without BANDWIDTH in bits per second");
                    }
                }
                case "EXT-X-MEDIA" -> {
                    Attributes attributes = Attributes.parse(tag.value() == null ? "" : tag.value(), lineNumber);
                    if (attributes.get("TYPE").isEmpty()
                            || attributes.get("GROUP-ID").isEmpty()
                            || attributes.get("NAME").isEmpty()) {
                        throw malformed("EXT-X-MEDIA needs TYPE, GROUP-ID and NAME");
                    }
                    headerTags.add(tag);
                }
                default -> headerTags.add(tag);
            }
        }
        lineNumber = lines.length;
        if (streamInf != null) {
            throw malformed("the last EXT-X-STREAM-INF has no URI");
        }
        return new MultivariantPlaylist(version, headerTags, variants);
    }
}
