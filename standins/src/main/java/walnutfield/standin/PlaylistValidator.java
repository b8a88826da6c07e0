package walnutfield.standin;

import java.time.Duration;
import java.time.OffsetDateTime;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import walnutfield.hls.Attributes;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.Segment;
import walnutfield.hls.Tag;

/**
 * Validates each reload of one viewer's playlist against RFC 8216 and against the previous reload, independently of how
 * the playlist is produced: segments are only appended, the target duration is constant, encoding changes are marked by
 * discontinuities, dates follow from the durations, and date ranges are as long as the segments they cover.
 */
public final class PlaylistValidator {
    private static final double HALF_FRAME_S = 0.02; // tolerance of dates and durations, in seconds
    private MediaPlaylist previous;

    /** Describes the first fault of the reloaded playlist; null if it is valid. */
    public String validate(MediaPlaylist playlist) {
        String fault = checkContinuation(playlist);
        fault = fault != null ? fault : checkDiscontinuities(playlist);
        fault = fault != null ? fault : checkDates(playlist);
        fault = fault != null ? fault : checkDateRanges(playlist);
        previous = playlist;
        return fault;
    }

    /** Checks the playlist's type and that it is a continuation of the previous reload. */
    private String checkContinuation(MediaPlaylist playlist) {
        if (playlist.type() != MediaPlaylist.Type.EVENT) {
            return "it is no EVENT playlist";
        }
        if (previous == null) {
            return null;
        }
        if (playlist.targetDurationS() != previous.targetDurationS()) {
            return "its target duration went from " + previous.targetDurationS() + " to " + playlist.targetDurationS();
        }
        if (playlist.mediaSequence() != previous.mediaSequence()
                || playlist.discontinuitySequence() != previous.discontinuitySequence()) {
            return "its sequence numbers changed";
        }
        if (playlist.segments().size() < previous.segments().size()
                || !playlist.segments().subList(0, previous.segments().size()).equals(previous.segments())) {
            return "what was listed has changed";
        }
        return previous.ended()
                        && playlist.segments().size() > previous.segments().size()
                ? "it grew after its end"
                : null;
    }

    /** The title and rung of a segment: the first parts of the path at a simulated host, after "media". */
    private static String encodingOf(Segment segment) {
        String[] parts = segment.uri().split("/");
        return parts.length < 6 ? segment.uri() : parts[4] + "/" + parts[5];
    }

    /** Checks that there is a discontinuity wherever the encoding changes, and none at the beginning. */
    private static String checkDiscontinuities(MediaPlaylist playlist) {
        for (int i = 1; i < playlist.segments().size(); i++) {
            Segment segment = playlist.segments().get(i);
            if (!segment.discontinuity()
                    && !encodingOf(segment)
                            .equals(encodingOf(playlist.segments().get(i - 1)))) {
                return "no discontinuity before " + segment.uri();
            }
        }
        return playlist.segments().isEmpty() || !playlist.segments().get(0).discontinuity()
                ? null
                : "it begins with a discontinuity";
    }

    /** Checks that each program date follows from the one before and the durations between. */
    private static String checkDates(MediaPlaylist playlist) {
        OffsetDateTime expected = null;
        for (Segment segment : playlist.segments()) {
            OffsetDateTime stated = segment.programDateTime().orElse(null);
            if (stated != null
                    && expected != null
                    && Math.abs(Duration.between(expected, stated).toMillis()) > HALF_FRAME_S * 1000) {
                return "the date of " + segment.uri() + " is " + stated + ", " + expected
                        + " follows from the durations";
            }
            OffsetDateTime start = stated != null ? stated : expected;
            expected = start == null ? null : start.plusNanos(Math.round(segment.durationS() * 1e9));
        }
        return null;
    }

    /** Checks that each date range begins once and lasts as long as the segments it covers. */
    private static String checkDateRanges(MediaPlaylist playlist) {
        Map<String, Double> startById = new HashMap<>();
        Map<String, String> startDateById = new HashMap<>();
        Set<String> endedIds = new HashSet<>();
        double position = 0;
        List<Segment> segments = playlist.segments();
        for (Segment segment : segments) {
            for (Tag tag : segment.tags()) {
                if (!tag.name().equals("EXT-X-DATERANGE")) {
                    continue;
                }
                Attributes attributes = tag.attributes();
                String id = attributes.get("ID").orElse("");
                String startDate = attributes.get("START-DATE").orElse("");
                String previousStart = startDateById.putIfAbsent(id, startDate);
                if (previousStart != null && !previousStart.equals(startDate)) {
                    return "range " + id + " has two start dates";
                }
                if (attributes.get("DURATION").isPresent()) {
                    double statedDuration =
                            Double.parseDouble(attributes.get("DURATION").get());
                    if (!startById.containsKey(id)
                            || !endedIds.add(id)
                            || Math.abs(position - startById.get(id) - statedDuration) > HALF_FRAME_S) {
                        return "range " + id + " says " + statedDuration + " s and covers "
                                + (startById.containsKey(id) ? position - startById.get(id) : "nothing");
                    }
                } else if (startById.put(id, position) != null) {
                    return "range " + id + " begins twice";
                }
            }
            position += segment.durationS();
        }
        return null;
    }
}
