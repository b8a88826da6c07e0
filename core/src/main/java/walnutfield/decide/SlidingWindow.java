package walnutfield.decide;

import java.util.ArrayDeque;

/** Counts the events of the latest time window; older events are forgotten. */
final class SlidingWindow {
    private final ArrayDeque<Double> times = new ArrayDeque<>();
    private final double windowMs;

    SlidingWindow(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(double now) {
        times.add(now);
        count(now);
    }

    int count(double now) {
        while (!times.isEmpty() && times.peek() < now - windowMs) {
            times.poll();
        }
        return times.size();
    }
}
