package walnutfield.hls;

import java.util.ArrayList;
import java.util.List;

/**
 * A media playlist (RFC 8216, section 4.3.3).
 *
 * @param version               EXT-X-VERSION; 1 where it is not written
 * @param targetDurationS       whole seconds; no segment's rounded duration is longer
 * @param mediaSequence         number of the first segment
 * @param discontinuitySequence breaks before the first segment that are listed no more
 * @param tags                  other tags at its head, in their order
 * @param ended                 EXT-X-ENDLIST
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
    /** EXT-X-PLAYLIST-TYPE. */
    public enum Type {
        NONE,
        EVENT,
        VOD
    }

    public MediaPlaylist {
        tags = List.copyOf(tags);
        segments = List.copyOf(segments);
    }

    /** The EXT-X-KEY tags in force at a segment: those of the latest group, none before the first. */
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

    /** The EXT-X-MAP tag in force at a segment; null for none. */
    public Tag mapAt(int index) {
        for (int i = Math.min(index, segments.size() - 1); i >= 0; i--) {
            var map = segments.get(i).tag(Segment.MAP);
            if (map.isPresent()) {
                return map.get();
            }
        }
        return null;
    }

    public double durationS() {
        return segments.stream().mapToDouble(Segment::durationS).sum();
    }

    /** A range that follows the one before is given its offset, so that the segment may stand alone. */
    public ByteRange rangeAt(int index) {
        ByteRange r = segments.get(index).range();
        if (r == null || r.offset() >= 0) {
            return r;
        }
        long from = 0;
        List<ByteRange> before = new ArrayList<>();
        for (int i = index - 1; i >= 0; i--) {
            ByteRange b = segments.get(i).range();
            if (b == null || !segments.get(i).uri().equals(segments.get(index).uri())) {
                break;
            }
            before.add(b);
            if (b.offset() >= 0) {
                from = b.offset();
                break;
            }
        }
        return new ByteRange(
                r.length(), from + before.stream().mapToLong(ByteRange::length).sum());
    }
}
