package walnutfield.hls;

import java.time.OffsetDateTime;
import java.util.List;
import java.util.Optional;

/**
 * A media segment with the tags that apply to it.
 *
 * @param durationS     duration from EXTINF, in seconds
 * @param title         text after the comma of EXTINF; may be empty
 * @param range         EXT-X-BYTERANGE; null where the segment is the entire resource
 * @param discontinuity whether EXT-X-DISCONTINUITY precedes it: timestamps or encoding change
 * @param tags          all other tags before it in their order, known or not: EXT-X-KEY, EXT-X-MAP, ...
 */
public record Segment(
        String uri, double durationS, String title, ByteRange range, boolean discontinuity, List<Tag> tags) {
    public static final String KEY = "EXT-X-KEY";
    public static final String MAP = "EXT-X-MAP";
    public static final String PROGRAM_DATE_TIME = "EXT-X-PROGRAM-DATE-TIME";

    public Segment {
        tags = List.copyOf(tags);
    }

    /** The first tag of that name, if there is one. */
    public Optional<Tag> tag(String name) {
        return tags.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** EXT-X-PROGRAM-DATE-TIME, if it is present. */
    public Optional<OffsetDateTime> programDateTime() {
        return tag(PROGRAM_DATE_TIME).map(t -> OffsetDateTime.parse(t.value()));
    }

    /** This segment at another URI. */
    public Segment withUri(String newUri) {
        return new Segment(newUri, durationS, title, range, discontinuity, tags);
    }

    /** This segment with another discontinuity flag and other tags. */
    public Segment withTags(boolean newDiscontinuity, List<Tag> newTags) {
        return new Segment(uri, durationS, title, range, newDiscontinuity, newTags);
    }
}
