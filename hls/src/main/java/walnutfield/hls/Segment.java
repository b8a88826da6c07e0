package walnutfield.hls;

import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;

/**
 * A media segment and the tags that stand before it.
 *
 * @param durationS     EXTINF, in seconds
 * @param title         what EXTINF says after the comma; may be empty
 * @param range         null where the whole resource is meant
 * @param discontinuity the time line or the encoding breaks before it
 * @param tags          all other tags before it in their order, known or not: EXT-X-KEY, EXT-X-MAP, ...
 */
public record Segment(
        String uri, double durationS, String title, ByteRange range, boolean discontinuity, List<Tag> tags) {
    public static final String KEY = "EXT-X-KEY";
    public static final String MAP = "EXT-X-MAP";
    public static final String DATE = "EXT-X-PROGRAM-DATE-TIME";

    public Segment {
        tags = List.copyOf(tags);
    }

    public Optional<Tag> tag(String name) {
        return tags.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** EXT-X-PROGRAM-DATE-TIME, where it is given. */
    public Optional<OffsetDateTime> date() {
        return tag(DATE).map(t -> OffsetDateTime.parse(t.value()));
    }

    public Segment at(String otherUri) {
        return new Segment(otherUri, durationS, title, range, discontinuity, tags);
    }

    public Segment with(boolean breaks, List<Tag> otherTags) {
        return new Segment(uri, durationS, title, range, breaks, otherTags);
    }
}
