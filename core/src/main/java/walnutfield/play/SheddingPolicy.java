package walnutfield.play;

/**
 * What a viewer who is shed can be told.
 *
 * @param mostHoldOffMs longest advice that is followed; 0 where none is
 */
public record SheddingPolicy(double mostHoldOffMs) {}
