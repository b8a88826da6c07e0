package walnutfield.decide;

import java.util.ArrayDeque;

/** Counts what happened within a span of time; what lies before it is forgotten. */
final class Span {
    private final ArrayDeque<Double> times = new ArrayDeque<>();
    private final double ms;

    Span(double ms) {
        this.ms = ms;
    }

    void add(double now) {
        times.add(now);
        count(now);
    }

    int count(double now) {
        while (!times.isEmpty() && times.peek() < now - ms) {
            times.poll();
        }
        return times.size();
    }
}
