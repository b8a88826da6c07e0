package walnutfield.play;

/**
 * What moves cost.
 *
 * @param price     share of service lost when each play is moved once
 * @param crossing  share of service lost when each play crosses places
 */
public record MoveTerms(double price, double crossing) { }
