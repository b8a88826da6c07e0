package walnutfield.stitch;

import java.util.List;
import java.util.Optional;

/** All scheduled inserts. Those at the same position of a programme play in the order of the list. */
public record Schedule(List<Insert> inserts) {
    public static final Schedule NONE = new Schedule(List.of());
    private static final double HALF_FRAME_MS = 20; // tolerance when an insert replaces a part; half a frame at 25 fps

    /** A fault in a schedule and the list index of the insert that has it. */
    public record Fault(int insertIndex, String reason) {}

    public Schedule {
        inserts = List.copyOf(inserts);
    }

    /** The first fault, if there is one. A schedule with a fault must be rejected as a whole. */
    public Optional<Fault> fault() {
        for (int i = 0; i < inserts.size(); i++) {
            Insert insert = inserts.get(i);
            String reason = faultOf(insert);
            for (int j = 0; j < i && reason == null; j++) {
                reason = conflict(insert, inserts.get(j));
            }
            if (reason != null) {
                return Optional.of(new Fault(i, "insert " + insert.id().value() + " " + reason));
            }
        }
        return Optional.empty();
    }

    /** What is wrong with the insert by itself; null for nothing. */
    private static String faultOf(Insert insert) {
        if (!(insert.durationMs() > 0)) {
            return "must have a duration above 0";
        }
        if (insert.untilMs() <= insert.fromMs()) {
            return "must have an end time after its start time";
        }
        if (insert.place() == Insert.Place.INSTEAD && !(insert.replacedMs() > 0)) {
            return "must replace more than 0 ms of the programme";
        }
        if (insert.place() == Insert.Place.INSTEAD && insert.durationMs() > insert.replacedMs() + HALF_FRAME_MS) {
            return "is longer than the part of the programme that it replaces";
        }
        if (insert.place() == Insert.Place.BEFORE && insert.atMs() != 0) {
            return "plays before the programme and must not have a position in it";
        }
        return null;
    }

    /** What is wrong with an insert beside another that stands earlier in the list; null for nothing. */
    private static String conflict(Insert insert, Insert other) {
        if (insert.id().equals(other.id())) {
            return "is given twice";
        }
        boolean neverTogether = insert.untilMs() <= other.fromMs()
                || other.untilMs() <= insert.fromMs()
                || disjoint(insert.trafficClasses(), other.trafficClasses())
                || disjoint(insert.tenants(), other.tenants());
        if (neverTogether) {
            return null;
        }
        boolean overlaps =
                insert.replacedMs() > 0 && overlaps(other, insert) || other.replacedMs() > 0 && overlaps(insert, other);
        return overlaps ? "overlaps insert " + other.id().value() : null;
    }

    /** Whether two audiences are both restricted and have nobody in common; an empty set stands for everybody. */
    private static boolean disjoint(java.util.Set<?> a, java.util.Set<?> b) {
        return !a.isEmpty() && !b.isEmpty() && a.stream().noneMatch(b::contains);
    }

    /** Whether an insert plays within, or replaces some of, the part of the programme that another one replaces. */
    private static boolean overlaps(Insert insert, Insert replacing) {
        return insert.place() != Insert.Place.BEFORE
                && insert.atMs() < replacing.atMs() + replacing.replacedMs()
                && insert.atMs() + insert.replacedMs() >= replacing.atMs()
                && (insert.replacedMs() > 0 || insert.atMs() > replacing.atMs());
    }
}
