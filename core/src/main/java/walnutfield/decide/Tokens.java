package walnutfield.decide;

/** A bucket that fills with time and is full at first. */
final class Tokens {
    private final double aMs;
    private final double most;
    private double left;
    private double at;

    Tokens(double aMs, double most) {
        this.aMs = aMs;
        this.most = most;
        left = most;
        at = Double.NaN;
    }

    /** Takes one if there is one. */
    boolean take(double now) {
        left = Double.isNaN(at) ? left : Math.min(most, left + (now - at) * aMs);
        at = now;
        if (left < 1) {
            return false;
        }
        left--;
        return true;
    }
}
