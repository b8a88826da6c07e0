package walnutfield.play;

/**
 * How viewers are shed.
 *
 * @param mostHoldOffMs longest retry-after time that viewers observe; 0 if they observe none
 */
public record SheddingPolicy(double maxRetryAfterMs) {}
