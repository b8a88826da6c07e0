package walnutfield.net;

/** Time in fractional milliseconds: the wall-clock time when this class was loaded, advanced by a monotonic clock. */
public final class Clock {
    private static final long START_NANOS = System.nanoTime();
    private static final double START_WALL_MS = System.currentTimeMillis();

    private Clock() {}

    /** Milliseconds since 1970; never goes backwards. */
    public static double now() {
        return START_WALL_MS + (System.nanoTime() - START_NANOS) / 1e6;
    }
}
