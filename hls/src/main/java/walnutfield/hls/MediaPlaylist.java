package walnutfield.hls;

import java.util.ArrayList;
import java.util.List;

/**
 * A media playlist (RFC 8216, section 4.3.3).
 *
 * @param version               EXT-X-VERSION; 1 where the tag is absent
 * @param targetDurationS       EXT-X-TARGETDURATION in seconds; no segment's rounded duration exceeds it
 * @param mediaSequence         media sequence number of the first segment
 * @param discontinuitySequence number of discontinuities that are no longer listed before the first segment
 * @param type                  EXT-X-PLAYLIST-TYPE
 * @param tags                  other tags of the header, in their order
 * @param segments              the media segments in their order
 * @param ended                 whether EXT-X-ENDLIST is present
 */
public record MediaPlaylist(
        int version,
        int targetDurationS,
        long mediaSequence,
        long discontinuitySequence,
        Type type,
        List<Tag> tags,
        List<Segment> segments,
        boolean ended) {
    /** The value of EXT-X-PLAYLIST-TYPE; NONE where the tag is absent. */
    public enum Type {
        NONE,
        EVENT,
        VOD
    }

    public MediaPlaylist {
        tags = List.copyOf(tags);
        segments = List.copyOf(segments);
    }

    /**
     * The EXT-X-KEY tags that apply to a segment: those of the nearest segment, from this one backwards, that has any;
     * empty where there is none.
     */
    public List<Tag> keysAt(int index) {
        for (int i = Math.min(index, segments.size() - 1); i >= 0; i--) {
            List<Tag> keys = segments.get(i).tags().stream()
                    .filter(t -> t.name().equals(Segment.KEY))
                    .toList();
            if (!keys.isEmpty()) {
                return keys;
            }
        }
        return List.of();
    }

    /** The EXT-X-MAP tag that applies to a segment; null where there is none. */
    public Tag mapAt(int index) {
        for (int i = Math.min(index, segments.size() - 1); i >= 0; i--) {
            var map = segments.get(i).tag(Segment.MAP);
            if (map.isPresent()) {
                return map.get();
            }
        }
        return null;
    }

    /** The total duration of all segments, in seconds. */
    public double durationS() {
        return segments.stream().mapToDouble(Segment::durationS).sum();
    }

    /**
     * The byte range of a segment, or null. A range without an offset, which follows that of the preceding segment,
     * gets its offset, so that the segment can be listed without the preceding ones.
     */
    public ByteRange rangeAt(int index) {
        ByteRange range = segments.get(index).range();
        if (range == null || range.offset() >= 0) {
            return range;
        }
        long startOffset = 0;
        List<ByteRange> preceding = new ArrayList<>();
        for (int i = index - 1; i >= 0; i--) {
            ByteRange previous = segments.get(i).range();
            if (previous == null
                    || !segments.get(i).uri().equals(segments.get(index).uri())) {
                break;
            }
            preceding.add(previous);
            if (previous.offset() >= 0) {
                startOffset = previous.offset();
                break;
            }
        }
        return new ByteRange(
                range.length(),
                startOffset + preceding.stream().mapToLong(ByteRange::length).sum());
    }
}
