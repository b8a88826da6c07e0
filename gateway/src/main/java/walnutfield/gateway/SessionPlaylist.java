package walnutfield.gateway;

import java.net.URI;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import walnutfield.hls.Attributes;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistWriter;
import walnutfield.hls.Scte35;
import walnutfield.hls.Segment;
import walnutfield.hls.Tag;

/**
 * The media playlist of one viewing, as it grows (RFC 8216, section 6.2.1: an EVENT playlist is appended to only). A
 * change of rung or host takes effect at the next segment that is not yet listed, and so does an insert at its place.
 * Threads may share it.
 */
final class SessionPlaylist {
    private static final DateTimeFormatter DATE = DateTimeFormatter.ofPattern(
                    "uuuu-MM-dd'T'HH:mm:ss.SSS'Z'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final double FRAME_S = 0.04;
    private static final String CLASS = "walnutfield.insert";

    /** What segments are listed from: a host's playlist under a session there, as long as it is by now. */
    private static final class Source {
        private MediaPlaylist playlist;
        private final URI base;
        private final int rung;
        private final String session;

        Source(MediaPlaylist playlist, URI base, int rung, String session) {
            this.playlist = playlist;
            this.base = base;
            this.rung = rung;
            this.session = session;
        }

        MediaPlaylist playlist() {
            return playlist;
        }

        URI base() {
            return base;
        }

        int rung() {
            return rung;
        }

        String session() {
            return session;
        }

        /** The same encoding, though one may have grown further than the other. */
        boolean isLike(Source other) {
            return rung == other.rung
                    && (playlist == other.playlist || begins(playlist.segments(), other.playlist.segments()));
        }
    }

    private static boolean begins(List<Segment> one, List<Segment> other) {
        int n = Math.min(one.size(), other.size());
        return one.subList(0, n).equals(other.subList(0, n));
    }

    /** Segments of one source listed in a row; {@code marks} stand before the first. */
    private record Run(Source source, int from, int to, boolean breaks, List<Tag> marks, double startS) {}

    /** A place in the programme that waits for an insert, plays it, or is past. */
    private static final class Place {
        final int number;
        final String name;
        final double atS;
        final double insteadS;
        Source source; // null while nobody serves it
        int next;
        double listedS;
        boolean open = true; // the programme stops here until it is filled or closed
        boolean begun;
        String startDate;

        Place(int number, String name, double atS, double insteadS) {
            this.number = number;
            this.name = name;
            this.atS = atS;
            this.insteadS = insteadS;
        }
    }

    private final String session;
    private final double aheadS;
    private final List<Run> runs = new ArrayList<>(); // one for each change of rung or host, and for each insert
    private final List<Place> places = new ArrayList<>(); // one for each insert of the viewing
    private double startMs = Double.NaN; // when it first had a source
    private Source programme;
    private boolean live; // its host serves: more of the programme may be listed
    private int next; // segment of the programme
    private double programmeS;
    private double listedS;
    private int targetS; // must not change once it was told (RFC 8216, section 4.3.3.1)
    private final ArrayDeque<Integer> begunUntold = new ArrayDeque<>(); // emptied as they are told
    private List<Tag> pending = new ArrayList<>(); // marks for the next segment
    private double polledAt;
    private int endStatus;
    private int endRetryS;

    SessionPlaylist(String session, double now, double aheadS) {
        this.session = session;
        this.aheadS = aheadS;
        polledAt = now;
    }

    /** Reserves a place for an insert; before the first source only, in the order of their places. */
    synchronized void place(int number, String name, double atMs, double insteadMs, int insertTargetS) {
        places.add(new Place(number, name, atMs / 1000, insteadMs / 1000));
        targetS = Math.max(targetS, insertTargetS);
    }

    /**
     * From the next segment on, this is what is listed; false where its segments are longer than was told, or where it is
     * a window that slides (no EXT-X-ENDLIST and not of type EVENT): what it has dropped another host could not go on from.
     */
    synchronized boolean from(double now, MediaPlaylist playlist, URI at, int atRung, String under) {
        if (!playlist.ended() && playlist.type() != MediaPlaylist.Type.EVENT) {
            return false;
        } else if (programme == null) {
            targetS = Math.max(targetS, playlist.targetDurationS());
            startMs = now;
        } else if (playlist.targetDurationS() > targetS) {
            return false;
        }
        programme = new Source(playlist, at, atRung, under);
        live = true;
        return true;
    }

    /**
     * The programme's host lists it so by now. False where that does not go on from what it listed before (RFC 8216,
     * section 6.2.1): then nothing is taken over.
     */
    synchronized boolean grown(MediaPlaylist playlist) {
        MediaPlaylist before = programme.playlist;
        if (playlist.segments().size() < before.segments().size()
                || !begins(before.segments(), playlist.segments())
                || playlist.targetDurationS() > targetS
                || playlist.mediaSequence() != before.mediaSequence()) {
            return false;
        }
        programme.playlist = playlist;
        return true;
    }

    /** Its host says that the viewer has had all of it, and so nothing more will come. */
    synchronized void finish() {
        MediaPlaylist p = programme.playlist;
        programme.playlist = new MediaPlaylist(
                p.version(),
                p.targetDurationS(),
                p.mediaSequence(),
                p.discontinuitySequence(),
                p.type(),
                p.tags(),
                p.segments(),
                true);
    }

    /** Whether its host may yet list more of the programme. */
    synchronized boolean isGrowing() {
        return programme != null && !programme.playlist.ended();
    }

    /** The programme's length as far as its host lists it. */
    synchronized double lengthMs() {
        return programme == null ? 0 : programme.playlist.durationS() * 1000;
    }

    /** Its host's target duration: how often that may be asked again (RFC 8216, section 6.3.4). */
    synchronized double targetMs() {
        return programme == null ? 0 : programme.playlist.targetDurationS() * 1000.0;
    }

    /** An insert is served, or the rest of it from another host; false where it cannot be stitched in. */
    synchronized boolean fill(int number, MediaPlaylist playlist, URI at, int atRung, String under) {
        boolean maps = playlist.segments().isEmpty()
                || playlist.mapAt(0) == null == (programme.playlist().mapAt(0) == null);
        Place p = find(number);
        if (p == null
                || playlist.segments().isEmpty()
                || playlist.targetDurationS() > targetS
                || !maps
                || p.insteadS > 0 && playlist.durationS() > p.insteadS + FRAME_S / 2) {
            return false;
        }
        p.source = new Source(playlist, at, atRung, under);
        return true;
    }

    /** Nothing more of that insert is listed for now: its host is lost. */
    synchronized void unfill(int number) {
        Place p = find(number);
        if (p != null) {
            p.source = null;
        }
    }

    /** The programme goes on without it, or without its rest. */
    synchronized void close(int number) {
        Place p = find(number);
        if (p != null && p.open) {
            p.source = null;
            shut(p, p.begun);
        }
    }

    private Place find(int number) {
        return places.stream()
                .filter(p -> p.number == number && p.open)
                .findFirst()
                .orElse(null);
    }

    private void shut(Place p, boolean shown) {
        p.open = false;
        if (p.begun) {
            pending.add(range(p, "DURATION", p.listedS));
        }
        if (shown && p.insteadS > 0) { // what it stood for is passed over
            while (next < programme.playlist().segments().size() && programmeS < p.atS + p.insteadS - FRAME_S / 2) {
                programmeS += programme.playlist().segments().get(next++).durationS();
            }
        }
    }

    /** Milliseconds of an insert that are not listed yet; all where nothing is. */
    synchronized double unlistedOf(int number) {
        Place p = find(number);
        return p == null
                ? 0
                : p.source == null
                        ? Double.POSITIVE_INFINITY
                        : (p.source.playlist().durationS() - p.listedS) * 1000;
    }

    /** The number of an insert whose first segment was listed and that was not told yet; -1 for none. */
    synchronized int newlyBegun() {
        Integer n = begunUntold.poll();
        return n == null ? -1 : n;
    }

    /** Nothing more of the programme is listed until there is a new source. */
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
        return programme != null
                && !isGrowing()
                && next >= programme.playlist().segments().size()
                && places.stream().noneMatch(p -> p.open);
    }

    /**
     * Milliseconds of the programme that are not listed yet.
     *
     * @param wholeMs its length as the catalogue has it, for one that still grows; 0 where that is not known
     */
    synchronized double unlistedMs(double wholeMs) {
        double left = programme == null ? 0 : lengthMs() - programmeS * 1000;
        return isGrowing() ? Math.max(targetMs(), Math.max(left, wholeMs - programmeS * 1000)) : left;
    }

    /** When, by the clock of its start, listing comes to that place at the earliest; NaN before there is a source. */
    synchronized double reaches(int number) {
        Place p = find(number);
        return p == null ? Double.NaN : startMs + (listedS + Math.max(0, p.atS - programmeS) - aheadS) * 1000;
    }

    /** The playlist as of now. */
    synchronized String text(double now) {
        polledAt = now;
        if (programme != null) {
            advance(now);
        }
        List<Segment> out = new ArrayList<>();
        int version = 3;
        boolean keyed = false;
        for (Run r : runs) {
            version = Math.max(version, r.source().playlist().version());
            for (int i = r.from(); i < r.to(); i++) {
                out.add(rewritten(r, i, keyed));
            }
            keyed = !r.source().playlist().keysAt(r.to() - 1).isEmpty();
        }
        return PlaylistWriter.write(new MediaPlaylist(
                version, Math.max(1, targetS), 0, 0, MediaPlaylist.Type.EVENT, List.of(), out, isWhole()));
    }

    private void advance(double now) {
        double until = (now - startMs) / 1000 + aheadS;
        while (listedS < until || listedS == 0) {
            Place p = places.stream()
                    .filter(x -> x.open && x.atS <= programmeS + FRAME_S / 2)
                    .findFirst()
                    .orElse(null);
            if (p != null) {
                if (p.source == null) {
                    return; // it waits
                }
                if (!begin(p)) {
                    continue;
                }
                double d = list(p.source, p.next++);
                p.listedS += d;
                if (p.next >= p.source.playlist().segments().size()) {
                    shut(p, true);
                }
            } else if (live && next < programme.playlist().segments().size()) {
                programmeS += list(programme, next++);
            } else {
                return;
            }
        }
    }

    /** Marks an insert's first segment; false where nothing of it is left. */
    private boolean begin(Place p) {
        if (p.next >= p.source.playlist().segments().size()) {
            shut(p, p.begun);
            return false;
        }
        if (!p.begun) {
            p.begun = true;
            p.startDate = date(listedS);
            begunUntold.add(p.number);
            pending.add(range(p, "PLANNED-DURATION", p.source.playlist().durationS()));
        }
        return true;
    }

    private double list(Source from, int index) {
        Run last = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        if (last != null && last.source() == from && last.to() == index && pending.isEmpty()) {
            runs.set(
                    runs.size() - 1, new Run(from, last.from(), index + 1, last.breaks(), last.marks(), last.startS()));
        } else {
            boolean same = last != null
                    && last.to() == index
                    && last.source().isLike(from); // the same encoding from another host
            runs.add(new Run(from, index, index + 1, last != null && !same, pending, listedS));
            pending = new ArrayList<>();
        }
        double d = from.playlist().segments().get(index).durationS();
        listedS += d;
        return d;
    }

    private String date(double atS) {
        return DATE.format(Instant.ofEpochMilli(Math.round(startMs + atS * 1000)));
    }

    /** EXT-X-DATERANGE (section 4.3.2.7): the same ID with the same attributes, and once more with its true length. */
    private Tag range(Place p, String name, double s) {
        Attributes a = Attributes.NONE
                .quoted("ID", p.name + "-" + p.number)
                .quoted("CLASS", CLASS)
                .quoted("START-DATE", p.startDate == null ? date(listedS) : p.startDate)
                .with(name, String.format(Locale.ROOT, "%.3f", s));
        a = name.equals("DURATION")
                ? a.with("SCTE35-IN", Scte35.in(p.number))
                : a.with("SCTE35-OUT", Scte35.out(p.number, s));
        return new Tag("EXT-X-DATERANGE", a.toString());
    }

    private Segment rewritten(Run r, int i, boolean keyedBefore) {
        MediaPlaylist source = r.source().playlist();
        Segment s = source.segments().get(i);
        List<Tag> tags = new ArrayList<>();
        boolean first = i == r.from();
        if (first) {
            tags.addAll(source.keysAt(i));
            if (tags.isEmpty() && keyedBefore) { // a key is in force until another is named
                tags.add(new Tag(Segment.KEY, "METHOD=NONE"));
            }
            Tag map = source.mapAt(i);
            if (map != null) {
                tags.add(map);
            }
            if (!places.isEmpty()) {
                tags.add(new Tag(Segment.DATE, date(r.startS())));
            }
            tags.addAll(r.marks());
        }
        for (Tag t : s.tags()) {
            boolean ours = !places.isEmpty()
                    && (t.name().equals(Segment.DATE) || t.name().equals("EXT-X-DATERANGE"));
            boolean told = first && (t.name().equals(Segment.KEY) || t.name().equals(Segment.MAP));
            if (!ours && !told) {
                tags.add(t);
            }
        }
        tags.replaceAll(t -> absolute(t, r.source().base()));
        String uri = r.source().base().resolve(s.uri()).toString();
        return new Segment(
                uri + (uri.indexOf('?') < 0 ? '?' : '&') + "session="
                        + r.source().session(),
                s.durationS(),
                s.title(),
                first ? source.rangeAt(i) : s.range(),
                s.discontinuity() && i > 0 || first && r.breaks(),
                tags);
    }

    private static Tag absolute(Tag t, URI base) {
        if (!t.name().equals(Segment.KEY) && !t.name().equals(Segment.MAP)) {
            return t;
        }
        Attributes a = t.attributes();
        return a.get("URI")
                .map(u -> new Tag(
                        t.name(), a.quoted("URI", base.resolve(u).toString()).toString()))
                .orElse(t);
    }
}
