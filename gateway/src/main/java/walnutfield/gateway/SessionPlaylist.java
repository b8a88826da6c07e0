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
 * The growing media playlist of one viewing (RFC 8216, section 6.2.1: an EVENT playlist may only be appended to). A
 * change of rung or host takes effect at the next segment that is not listed yet; an insert is listed when its point is
 * reached. Thread-safe.
 */
final class SessionPlaylist {
    private static final DateTimeFormatter DATE_FORMAT = DateTimeFormatter.ofPattern(
                    "uuuu-MM-dd'T'HH:mm:ss.SSS'Z'", Locale.ROOT)
            .withZone(ZoneOffset.UTC);
    private static final double FRAME_DURATION_S = 0.04;
    private static final String DATE_RANGE_CLASS = "walnutfield.insert";

    /** A source of segments: the latest playlist of a host session, which is replaced as it grows. */
    private static final class Source {
        private MediaPlaylist playlist;
        private final URI base;
        private final int rung;
        private final String hostSession;

        Source(MediaPlaylist playlist, URI base, int rung, String session) {
            this.playlist = playlist;
            this.base = base;
            this.rung = rung;
            this.hostSession = session;
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

        String hostSession() {
            return hostSession;
        }

        /** Returns whether both have the same encoding; one may have grown further than the other. */
        boolean isSameEncoding(Source that) {
            return rung == that.rung
                    && (playlist == that.playlist || sharePrefix(playlist.segments(), that.playlist.segments()));
        }
    }

    private static boolean sharePrefix(List<Segment> one, List<Segment> other) {
        int length = Math.min(one.size(), other.size());
        return one.subList(0, length).equals(other.subList(0, length));
    }

    /** Consecutively listed segments of one source; {@code leadingTags} precede the first. */
    private record Run(
            Source source, int firstIndex, int endIndex, boolean discontinuity, List<Tag> leadingTags, double startS) {}

    /** A point in the programme reserved for an insert, which is awaited, being listed, or finished. */
    private static final class InsertPoint {
        final int slot;
        final String insertId;
        final double atS;
        final double replacedS;
        Source source; // null while no host serves it
        int nextSegment;
        double listedS;
        boolean open = true; // listing the programme stops here until the insert is listed or dropped
        boolean started;
        String startDate;

        InsertPoint(int slot, String insertId, double atS, double replacedS) {
            this.slot = slot;
            this.insertId = insertId;
            this.atS = atS;
            this.replacedS = replacedS;
        }
    }

    private final String viewingId;
    private final double lookaheadS;
    private final List<Run> runs = new ArrayList<>(); // one for each change of rung or host and for each insert
    private final List<InsertPoint> insertPoints = new ArrayList<>(); // one for each insert of the viewing, in order
    private double startedAtMs = Double.NaN; // time of the first source; NaN before
    private Source programme;
    private boolean sourceAvailable; // a host serves the programme, so that more of it may be listed
    private int nextSegment; // index of the programme's next segment
    private double programmePositionS;
    private double totalListedS;
    private int targetDurationS; // must not change once published (RFC 8216, section 4.3.3.1)
    private final ArrayDeque<Integer> unreportedStarts = new ArrayDeque<>(); // slots; removed as they are reported
    private List<Tag> pendingTags = new ArrayList<>(); // tags to precede the next segment
    private double lastPolledAt;
    private int endStatus;
    private int endRetryAfterS;

    SessionPlaylist(String viewingId, double now, double lookaheadS) {
        this.viewingId = viewingId;
        this.lookaheadS = lookaheadS;
        lastPolledAt = now;
    }

    /** Reserves a point for an insert. Call it in the order of the points and only before the first source is set. */
    synchronized void addInsertPoint(
            int slot, String insertId, double atMs, double replacedMs, int insertTargetDurationS) {
        insertPoints.add(new InsertPoint(slot, insertId, atMs / 1000, replacedMs / 1000));
        targetDurationS = Math.max(targetDurationS, insertTargetDurationS);
    }

    /**
     * Lists the programme from this playlist, from the next segment on. Returns false if its target duration exceeds
     * the published one, or if it is a sliding window (no EXT-X-ENDLIST and not of type EVENT), as another host could
     * not continue from segments that were dropped from it.
     */
    synchronized boolean setSource(double now, MediaPlaylist playlist, URI baseUri, int rung, String hostSession) {
        if (!playlist.ended() && playlist.type() != MediaPlaylist.Type.EVENT) {
            return false;
        } else if (programme == null) {
            targetDurationS = Math.max(targetDurationS, playlist.targetDurationS());
            startedAtMs = now;
        } else if (playlist.targetDurationS() > targetDurationS) {
            return false;
        }
        programme = new Source(playlist, baseUri, rung, hostSession);
        sourceAvailable = true;
        return true;
    }

    /**
     * Replaces the programme's playlist by its host's latest version. Returns false, without any change, if that does
     * not continue the previous version (RFC 8216, section 6.2.1).
     */
    synchronized boolean extendProgramme(MediaPlaylist playlist) {
        MediaPlaylist previous = programme.playlist;
        if (playlist.segments().size() < previous.segments().size()
                || !sharePrefix(previous.segments(), playlist.segments())
                || playlist.targetDurationS() > targetDurationS
                || playlist.mediaSequence() != previous.mediaSequence()) {
            return false;
        }
        programme.playlist = playlist;
        return true;
    }

    /** Marks the programme's playlist as ended, once its host has reported that the viewer received all of it. */
    synchronized void finishProgramme() {
        MediaPlaylist playlist = programme.playlist;
        programme.playlist = new MediaPlaylist(
                playlist.version(),
                playlist.targetDurationS(),
                playlist.mediaSequence(),
                playlist.discontinuitySequence(),
                playlist.type(),
                playlist.tags(),
                playlist.segments(),
                true);
    }

    /** Returns whether the host may still list more of the programme. */
    synchronized boolean isGrowing() {
        return programme != null && !programme.playlist.ended();
    }

    /** Returns the length of the programme as far as its host lists it. */
    synchronized double lengthMs() {
        return programme == null ? 0 : programme.playlist.durationS() * 1000;
    }

    /** Returns the host's target duration, which is also the reload interval (RFC 8216, section 6.3.4). */
    synchronized double targetDurationMs() {
        return programme == null ? 0 : programme.playlist.targetDurationS() * 1000.0;
    }

    /** Sets the source of an insert, or of its rest from another host; returns false if it cannot be stitched in. */
    synchronized boolean setInsertSource(int slot, MediaPlaylist playlist, URI baseUri, int rung, String hostSession) {
        boolean mapsMatch = playlist.segments().isEmpty()
                || playlist.mapAt(0) == null == (programme.playlist().mapAt(0) == null);
        InsertPoint point = findOpenPoint(slot);
        if (point == null
                || playlist.segments().isEmpty()
                || playlist.targetDurationS() > targetDurationS
                || !mapsMatch
                || point.replacedS > 0 && playlist.durationS() > point.replacedS + FRAME_DURATION_S / 2) {
            return false;
        }
        point.source = new Source(playlist, baseUri, rung, hostSession);
        return true;
    }

    /** Stops listing an insert until it has a new source, as its host is lost. */
    synchronized void clearInsertSource(int slot) {
        InsertPoint point = findOpenPoint(slot);
        if (point != null) {
            point.source = null;
        }
    }

    /** Continues the programme without the insert, or without the rest of it. */
    synchronized void closeInsert(int slot) {
        InsertPoint point = findOpenPoint(slot);
        if (point != null && point.open) {
            point.source = null;
            closePoint(point, point.started);
        }
    }

    private InsertPoint findOpenPoint(int slot) {
        return insertPoints.stream()
                .filter(point -> point.slot == slot && point.open)
                .findFirst()
                .orElse(null);
    }

    private void closePoint(InsertPoint point, boolean shown) {
        point.open = false;
        if (point.started) {
            pendingTags.add(dateRange(point, "DURATION", point.listedS));
        }
        if (shown && point.replacedS > 0) { // skip the part of the programme that it replaces
            while (nextSegment < programme.playlist().segments().size()
                    && programmePositionS < point.atS + point.replacedS - FRAME_DURATION_S / 2) {
                programmePositionS +=
                        programme.playlist().segments().get(nextSegment++).durationS();
            }
        }
    }

    /** Returns the milliseconds of an insert that are not listed yet; infinite if it has no source. */
    synchronized double unlistedInsertMs(int slot) {
        InsertPoint point = findOpenPoint(slot);
        return point == null
                ? 0
                : point.source == null
                        ? Double.POSITIVE_INFINITY
                        : (point.source.playlist().durationS() - point.listedS) * 1000;
    }

    /** Returns the slot of an insert whose first segment was listed and that was not returned before; -1 if none. */
    synchronized int nextStartedInsert() {
        Integer slot = unreportedStarts.poll();
        return slot == null ? -1 : slot;
    }

    /** Stops listing the programme until it has a new source. */
    synchronized void suspendProgramme() {
        sourceAvailable = false;
    }

    /** Ends the playlist: unless it is complete, requests get this status and retry-after from now on. */
    synchronized void terminate(int status, int retryAfterS) {
        sourceAvailable = false;
        if (!isComplete()) {
            endStatus = status;
            endRetryAfterS = retryAfterS;
        }
    }

    synchronized int endStatus() {
        return endStatus;
    }

    synchronized int endRetryAfterS() {
        return endRetryAfterS;
    }

    synchronized double lastPolledAt() {
        return lastPolledAt;
    }

    /** Returns whether the programme and all inserts are listed to their ends. */
    synchronized boolean isComplete() {
        return programme != null
                && !isGrowing()
                && nextSegment >= programme.playlist().segments().size()
                && insertPoints.stream().noneMatch(point -> point.open);
    }

    /**
     * Returns the milliseconds of the programme that are not listed yet.
     *
     * @param catalogueLengthMs the programme's length by the catalogue, used while it grows; 0 if unknown
     */
    synchronized double unlistedMs(double catalogueLengthMs) {
        double listedByHostMs = programme == null ? 0 : lengthMs() - programmePositionS * 1000;
        return isGrowing()
                ? Math.max(targetDurationMs(), Math.max(listedByHostMs, catalogueLengthMs - programmePositionS * 1000))
                : listedByHostMs;
    }

    /** Returns the earliest time at which listing reaches an insert's point; NaN before the first source. */
    synchronized double insertReachedAt(int slot) {
        InsertPoint point = findOpenPoint(slot);
        return point == null
                ? Double.NaN
                : startedAtMs + (totalListedS + Math.max(0, point.atS - programmePositionS) - lookaheadS) * 1000;
    }

    /** Renders the playlist as of the given time. */
    synchronized String render(double now) {
        lastPolledAt = now;
        if (programme != null) {
            listUntil(now);
        }
        List<Segment> segments = new ArrayList<>();
        int version = 3;
        boolean keyed = false;
        for (Run run : runs) {
            version = Math.max(version, run.source().playlist().version());
            for (int i = run.firstIndex(); i < run.endIndex(); i++) {
                segments.add(rewriteSegment(run, i, keyed));
            }
            keyed = !run.source().playlist().keysAt(run.endIndex() - 1).isEmpty();
        }
        return PlaylistWriter.write(new MediaPlaylist(
                version,
                Math.max(1, targetDurationS),
                0,
                0,
                MediaPlaylist.Type.EVENT,
                List.of(),
                segments,
                isComplete()));
    }

    private void listUntil(double now) {
        double untilS = (now - startedAtMs) / 1000 + lookaheadS;
        while (totalListedS < untilS || totalListedS == 0) {
            InsertPoint point = insertPoints.stream()
                    .filter(candidate -> candidate.open && candidate.atS <= programmePositionS + FRAME_DURATION_S / 2)
                    .findFirst()
                    .orElse(null);
            if (point != null) {
                if (point.source == null) {
                    return; // wait for the insert's source
                }
                if (!startInsert(point)) {
                    continue;
                }
                double durationS = listSegment(point.source, point.nextSegment++);
                point.listedS += durationS;
                if (point.nextSegment >= point.source.playlist().segments().size()) {
                    closePoint(point, true);
                }
            } else if (sourceAvailable
                    && nextSegment < programme.playlist().segments().size()) {
                programmePositionS += listSegment(programme, nextSegment++);
            } else {
                return;
            }
        }
    }

    /** Adds the tags that precede an insert's first segment; returns false if no segment of it is left to list. */
    private boolean startInsert(InsertPoint point) {
        if (point.nextSegment >= point.source.playlist().segments().size()) {
            closePoint(point, point.started);
            return false;
        }
        if (!point.started) {
            point.started = true;
            point.startDate = formatDate(totalListedS);
            unreportedStarts.add(point.slot);
            pendingTags.add(
                    dateRange(point, "PLANNED-DURATION", point.source.playlist().durationS()));
        }
        return true;
    }

    private double listSegment(Source source, int index) {
        Run last = runs.isEmpty() ? null : runs.get(runs.size() - 1);
        if (last != null && last.source() == source && last.endIndex() == index && pendingTags.isEmpty()) {
            runs.set(
                    runs.size() - 1,
                    new Run(
                            source,
                            last.firstIndex(),
                            index + 1,
                            last.discontinuity(),
                            last.leadingTags(),
                            last.startS()));
        } else {
            boolean continuous = last != null
                    && last.endIndex() == index
                    && last.source().isSameEncoding(source); // such as from another host
            runs.add(new Run(source, index, index + 1, last != null && !continuous, pendingTags, totalListedS));
            pendingTags = new ArrayList<>();
        }
        double durationS = source.playlist().segments().get(index).durationS();
        totalListedS += durationS;
        return durationS;
    }

    private String formatDate(double atS) {
        return DATE_FORMAT.format(Instant.ofEpochMilli(Math.round(startedAtMs + atS * 1000)));
    }

    /**
     * Creates an insert's EXT-X-DATERANGE (RFC 8216, section 4.3.2.7): one with the planned duration at its start and
     * one with the actual duration at its end, both with the same ID and otherwise the same attributes.
     */
    private Tag dateRange(InsertPoint point, String durationAttribute, double durationS) {
        Attributes attributes = Attributes.NONE
                .withQuoted("ID", point.insertId + "-" + point.slot)
                .withQuoted("CLASS", DATE_RANGE_CLASS)
                .withQuoted("START-DATE", point.startDate == null ? formatDate(totalListedS) : point.startDate)
                .with(durationAttribute, String.format(Locale.ROOT, "%.3f", durationS));
        attributes = durationAttribute.equals("DURATION")
                ? attributes.with("SCTE35-IN", Scte35.in(point.slot))
                : attributes.with("SCTE35-OUT", Scte35.out(point.slot, durationS));
        return new Tag("EXT-X-DATERANGE", attributes.toString());
    }

    private Segment rewriteSegment(Run run, int index, boolean keyedBefore) {
        MediaPlaylist source = run.source().playlist();
        Segment segment = source.segments().get(index);
        List<Tag> tags = new ArrayList<>();
        boolean firstOfRun = index == run.firstIndex();
        if (firstOfRun) {
            tags.addAll(source.keysAt(index));
            if (tags.isEmpty() && keyedBefore) { // a key applies until the next EXT-X-KEY
                tags.add(new Tag(Segment.KEY, "METHOD=NONE"));
            }
            Tag map = source.mapAt(index);
            if (map != null) {
                tags.add(map);
            }
            if (!insertPoints.isEmpty()) {
                tags.add(new Tag(Segment.PROGRAM_DATE_TIME, formatDate(run.startS())));
            }
            tags.addAll(run.leadingTags());
        }
        for (Tag tag : segment.tags()) {
            boolean replacedByOurs = !insertPoints.isEmpty()
                    && (tag.name().equals(Segment.PROGRAM_DATE_TIME)
                            || tag.name().equals("EXT-X-DATERANGE"));
            boolean alreadyAdded =
                    firstOfRun && (tag.name().equals(Segment.KEY) || tag.name().equals(Segment.MAP));
            if (!replacedByOurs && !alreadyAdded) {
                tags.add(tag);
            }
        }
        tags.replaceAll(tag -> withAbsoluteUri(tag, run.source().base()));
        String uri = run.source().base().resolve(segment.uri()).toString();
        return new Segment(
                uri + (uri.indexOf('?') < 0 ? '?' : '&') + "session="
                        + run.source().hostSession(),
                segment.durationS(),
                segment.title(),
                firstOfRun ? source.rangeAt(index) : segment.range(),
                segment.discontinuity() && index > 0 || firstOfRun && run.discontinuity(),
                tags);
    }

    private static Tag withAbsoluteUri(Tag tag, URI base) {
        if (!tag.name().equals(Segment.KEY) && !tag.name().equals(Segment.MAP)) {
            return tag;
        }
        Attributes attributes = tag.attributes();
        return attributes
                .get("URI")
                .map(uri -> new Tag(
                        tag.name(),
                        attributes
                                .withQuoted("URI", base.resolve(uri).toString())
                                .toString()))
                .orElse(tag);
    }
}
