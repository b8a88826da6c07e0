package walnutfield.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import walnutfield.hls.Attributes;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistWriter;
import walnutfield.hls.Segment;
import walnutfield.hls.Tag;

/**
 * The media playlist of one session, as it grows (RFC 8216, section 6.2.1: an EVENT playlist is appended to only). A
 * change of rung or host takes effect at the next segment that is not yet listed. Threads may share it.
 */
final class SessionPlaylist {
    /** Segments of one source listed in a row. */
    private record Run(MediaPlaylist source, URI base, int rung, int from, int to, boolean breaks) { }

    private final String session;
    private final double aheadS;
    private final List<Run> runs = new ArrayList<>(); // one for each change of rung or host
    private double startMs = Double.NaN; // when it first had a source
    private MediaPlaylist source;
    private URI base;
    private int rung;
    private boolean live;   // its host serves: more may be listed
    private int listed;
    private double listedS;
    private double polledAt;
    private int endStatus;
    private int endRetryS;

    SessionPlaylist(String session, double now, double aheadS) {
        this.session = session;
        this.aheadS = aheadS;
        polledAt = now;
    }

    /** From the next segment on, this is what is listed. */
    synchronized void from(double now, MediaPlaylist next, URI at, int atRung) {
        startMs = Double.isNaN(startMs) ? now : startMs;
        source = next;
        base = at;
        rung = atRung;
        live = true;
    }

    /** Nothing more is listed until there is a new source. */
    synchronized void hold() {
        live = false;
    }

    /** It goes on no more: whoever asks is told this status, and when to come again. */
    synchronized void end(int status, int retryS) {
        live = false;
        if (!isWhole()) {
            endStatus = status;
            endRetryS = retryS;
        }
    }

    synchronized int endStatus() {
        return endStatus;
    }

    synchronized int endRetryS() {
        return endRetryS;
    }

    synchronized double polledAt() {
        return polledAt;
    }

    /** Whether everything is listed. */
    synchronized boolean isWhole() {
        return source != null && listed >= source.segments().size();
    }

    synchronized double unlistedMs() {
        return source == null ? 0 : (source.durationS() - listedS) * 1000;
    }

    /** The playlist as of now. */
    synchronized String text(double now) {
        polledAt = now;
        advance(now);
        List<Segment> out = new ArrayList<>(listed);
        int version = 3;
        int target = 1;
        for (Run r : runs) {
            version = Math.max(version, r.source().version());
            target = Math.max(target, r.source().targetDurationS());
            for (int i = r.from(); i < r.to(); i++) {
                out.add(rewritten(r, i));
            }
        }
        return PlaylistWriter.write(new MediaPlaylist(version, target, 0, 0, MediaPlaylist.Type.EVENT, List.of(), out,
            isWhole()));
    }

    private void advance(double now) {
        if (!live || source == null) {
            return;
        }
        double until = (now - startMs) / 1000 + aheadS;
        int from = listed;
        while (listed < source.segments().size() && (listedS < until || listed == 0)) {
            listedS += source.segments().get(listed).durationS();
            listed++;
        }
        if (listed == from) {
            return;
        }
        Run last = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        if (last != null && last.source() == source && last.base().equals(base) && last.to() == from) {
            runs.set(runs.size() - 1, new Run(source, base, rung, last.from(), listed, last.breaks()));
        } else {
            runs.add(new Run(source, base, rung, from, listed, last != null && last.rung() != rung));
        }
    }

    private Segment rewritten(Run r, int i) {
        Segment s = r.source().segments().get(i);
        List<Tag> tags = new ArrayList<>();
        if (i == r.from()) { // what was in force in the other source is so no more
            tags.addAll(r.source().keysAt(i));
            Tag map = r.source().mapAt(i);
            if (map != null) {
                tags.add(map);
            }
            s.tags().stream().filter(t -> !t.name().equals(Segment.KEY) && !t.name().equals(Segment.MAP))
                .forEach(tags::add);
        } else {
            tags.addAll(s.tags());
        }
        tags.replaceAll(t -> absolute(t, r.base()));
        return new Segment(own(r.base().resolve(s.uri()).toString()), s.durationS(), s.title(),
            i == r.from() ? r.source().rangeAt(i) : s.range(),
            s.discontinuity() && i > 0 || i == r.from() && r.breaks(), tags);
    }

    private String own(String uri) {
        return uri + (uri.indexOf('?') < 0 ? '?' : '&') + "session=" + session;
    }

    private static Tag absolute(Tag t, URI base) {
        if (!t.name().equals(Segment.KEY) && !t.name().equals(Segment.MAP)) {
            return t;
        }
        Attributes a = t.attributes();
        return a.get("URI").map(u -> new Tag(t.name(), a.quoted("URI", base.resolve(u).toString()).toString()))
            .orElse(t);
    }
}
