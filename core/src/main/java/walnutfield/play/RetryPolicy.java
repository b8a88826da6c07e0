package walnutfield.play;

/**
 * Limits on legs and retries.
 *
 * @param maxLegs     maximum number of legs of one play
 * @param baseRetries retries allowed in any window, however few plays there are
 * @param retryRatio  further retries allowed for each play admitted in the window; negative for no retry budget
 * @param windowMs    length of the window
 */
public record RetryPolicy(int maxLegs, double baseRetries, double retryRatio, double windowMs) {}
