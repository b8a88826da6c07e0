package walnutfield.stitch;

import java.util.List;
import java.util.Optional;

/** All inserts, in the order in which they stand before one another at one place. */
public record Schedule(List<Insert> inserts) {
    public static final Schedule NONE = new Schedule(List.of());
    private static final double HALF_FRAME_MS = 20; // of 25 frames a second

    /** A fault of a schedule and the insert that has it, by its place in the list. */
    public record Fault(int insert, String reason) {}

    public Schedule {
        inserts = List.copyOf(inserts);
    }

    /** The first fault, if there is one: a schedule is taken as a whole or not at all. */
    public Optional<Fault> fault() {
        for (int i = 0; i < inserts.size(); i++) {
            Insert a = inserts.get(i);
            String why = alone(a);
            for (int j = 0; j < i && why == null; j++) {
                why = beside(a, inserts.get(j));
            }
            if (why != null) {
                return Optional.of(new Fault(i, "insert " + a.id().value() + " " + why));
            }
        }
        return Optional.empty();
    }

    private static String alone(Insert a) {
        if (!(a.durationMs() > 0)) {
            return "has no length";
        }
        if (a.untilMs() <= a.fromMs()) {
            return "ends before it begins";
        }
        if (a.place() == Insert.Place.INSTEAD && !(a.replacedMs() > 0)) {
            return "stands for nothing";
        }
        if (a.place() == Insert.Place.INSTEAD && a.durationMs() > a.replacedMs() + HALF_FRAME_MS) {
            return "is longer than the stretch that it stands for";
        }
        if (a.place() == Insert.Place.BEFORE && a.atMs() != 0) {
            return "stands before the programme and at a place in it";
        }
        return null;
    }

    private static String beside(Insert a, Insert b) {
        if (a.id().equals(b.id())) {
            return "is given twice";
        }
        boolean apart = a.untilMs() <= b.fromMs()
                || b.untilMs() <= a.fromMs()
                || none(a.trafficClasses(), b.trafficClasses())
                || none(a.tenants(), b.tenants());
        if (apart) {
            return null;
        }
        boolean within = a.replacedMs() > 0 && inside(b, a) || b.replacedMs() > 0 && inside(a, b);
        return within ? "overlaps insert " + b.id().value() : null;
    }

    /** Two audiences that are both named and have nobody in common. */
    private static boolean none(java.util.Set<?> a, java.util.Set<?> b) {
        return !a.isEmpty() && !b.isEmpty() && a.stream().noneMatch(b::contains);
    }

    private static boolean inside(Insert what, Insert stretch) {
        return what.place() != Insert.Place.BEFORE
                && what.atMs() < stretch.atMs() + stretch.replacedMs()
                && what.atMs() + what.replacedMs() >= stretch.atMs()
                && (what.replacedMs() > 0 || what.atMs() > stretch.atMs());
    }
}
