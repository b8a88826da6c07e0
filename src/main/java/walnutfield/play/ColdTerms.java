package walnutfield.play;

/**
 * How hosts warm up and what knocks them over.
 *
 * @param from     share of its pace that a host starts with
 * @param warmMs   time until it is warm
 * @param multiple of its pace that it cannot stand
 * @param fallMs   for this long
 */
public record ColdTerms(double from, double warmMs, double multiple, double fallMs) { }
