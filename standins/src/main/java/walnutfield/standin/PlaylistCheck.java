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
 * Holds each reload of one viewer's playlist against RFC 8216 and against the one before, knowing nothing of how it
 * came about: appended to only, one target duration, marks where the encoding breaks, dates that follow the durations,
 * ranges as long as what they cover.
 */
public final class PlaylistCheck {
    private static final double HALF_FRAME_S = 0.02;
    private MediaPlaylist last;

    /** What is wrong with the playlist as it is now; null for nothing. */
    public String take(MediaPlaylist now) {
        String wrong = against(now);
        wrong = wrong != null ? wrong : marks(now);
        wrong = wrong != null ? wrong : dates(now);
        wrong = wrong != null ? wrong : ranges(now);
        last = now;
        return wrong;
    }

    private String against(MediaPlaylist now) {
        if (now.type() != MediaPlaylist.Type.EVENT) {
            return "it is no EVENT playlist";
        }
        if (last == null) {
            return null;
        }
        if (now.targetDurationS() != last.targetDurationS()) {
            return "its target duration went from " + last.targetDurationS() + " to " + now.targetDurationS();
        }
        if (now.mediaSequence() != last.mediaSequence()
                || now.discontinuitySequence() != last.discontinuitySequence()) {
            return "its sequence numbers changed";
        }
        if (now.segments().size() < last.segments().size()
                || !now.segments().subList(0, last.segments().size()).equals(last.segments())) {
            return "what was listed has changed";
        }
        return last.ended() && now.segments().size() > last.segments().size() ? "it grew after its end" : null;
    }

    /** Title and rung are the first parts of a stand-in's path. */
    private static String encoding(Segment s) {
        String[] parts = s.uri().split("/");
        return parts.length < 6 ? s.uri() : parts[4] + "/" + parts[5];
    }

    private static String marks(MediaPlaylist now) {
        for (int i = 1; i < now.segments().size(); i++) {
            Segment s = now.segments().get(i);
            if (!s.discontinuity()
                    && !encoding(s).equals(encoding(now.segments().get(i - 1)))) {
                return "no discontinuity before " + s.uri();
            }
        }
        return now.segments().isEmpty() || !now.segments().get(0).discontinuity()
                ? null
                : "it begins with a discontinuity";
    }

    private static String dates(MediaPlaylist now) {
        OffsetDateTime expected = null;
        for (Segment s : now.segments()) {
            OffsetDateTime told = s.date().orElse(null);
            if (told != null
                    && expected != null
                    && Math.abs(Duration.between(expected, told).toMillis()) > HALF_FRAME_S * 1000) {
                return "the date of " + s.uri() + " is " + told + ", " + expected + " follows from the durations";
            }
            OffsetDateTime at = told != null ? told : expected;
            expected = at == null ? null : at.plusNanos(Math.round(s.durationS() * 1e9));
        }
        return null;
    }

    private static String ranges(MediaPlaylist now) {
        Map<String, Double> begun = new HashMap<>();
        Map<String, String> dates = new HashMap<>();
        Set<String> over = new HashSet<>();
        double at = 0;
        List<Segment> all = now.segments();
        for (Segment s : all) {
            for (Tag t : s.tags()) {
                if (!t.name().equals("EXT-X-DATERANGE")) {
                    continue;
                }
                Attributes a = t.attributes();
                String id = a.get("ID").orElse("");
                String start = a.get("START-DATE").orElse("");
                String before = dates.putIfAbsent(id, start);
                if (before != null && !before.equals(start)) {
                    return "range " + id + " has two start dates";
                }
                if (a.get("DURATION").isPresent()) {
                    double said = Double.parseDouble(a.get("DURATION").get());
                    if (!begun.containsKey(id) || !over.add(id) || Math.abs(at - begun.get(id) - said) > HALF_FRAME_S) {
                        return "range " + id + " says " + said + " s and covers "
                                + (begun.containsKey(id) ? at - begun.get(id) : "nothing");
                    }
                } else if (begun.put(id, at) != null) {
                    return "range " + id + " begins twice";
                }
            }
            at += s.durationS();
        }
        return null;
    }
}
