package walnutfield.play;

/**
 * What moves cost.
 *
 * @param price     share of service lost when each play is moved once
 */
public record MoveTerms(double price) { }
