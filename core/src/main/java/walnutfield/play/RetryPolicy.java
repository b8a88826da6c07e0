package walnutfield.play;

/**
 * The ration of legs.
 *
 * @param most   legs of one play
 * @param spare  further legs allowed in any span, however few plays there are
 * @param share  and those allowed for each play taken; below 0 where there is no ration
 * @param spanMs the span
 */
public record RetryPolicy(int maxLegs, double baseRetries, double retryRatio, double windowMs) {}
