package walnutfield.play;

/**
 * What a viewer who is shed can be told.
 *
 * @param mostHoldOffMs longest advice that is followed; 0 where none is
 * @param marginMs how late a final answer still counts
 */
public record ShedTerms(double mostHoldOffMs, double marginMs) { }
