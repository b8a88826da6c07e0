package walnutfield.decide;

/** A token bucket that refills at a constant rate and is full at first. */
final class TokenBucket {
    private final double tokensPerMs;
    private final double capacity;
    private double tokens;
    private double refilledAt;

    TokenBucket(double tokensPerMs, double capacity) {
        this.tokensPerMs = tokensPerMs;
        this.capacity = capacity;
        tokens = capacity;
        refilledAt = Double.NaN;
    }

    /** Takes a token if one is available. */
    boolean tryTake(double now) {
        tokens = Double.isNaN(refilledAt) ? tokens : Math.min(capacity, tokens + (now - refilledAt) * tokensPerMs);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
