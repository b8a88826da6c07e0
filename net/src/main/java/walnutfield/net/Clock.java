package walnutfield.net;

/** The machine's time in ms with fractions: wall time at the start, and never backwards from there. */
public final class Clock {
    private static final long NANOS = System.nanoTime();
    private static final double WALL = System.currentTimeMillis();

    private Clock() {}

    public static double now() {
        return WALL + (System.nanoTime() - NANOS) / 1e6;
    }
}
