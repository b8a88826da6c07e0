package walnutfield.play;

/**
 * How hosts warm up and what knocks them over.
 *
 * @param from     share of its pace that a host starts with
 * @param warmMs   time until it is warm
 * @param multiple of its pace that it cannot stand
 * @param fallMs   for this long
 */
public record SlowStartPolicy(double initialShare, double warmMs, double overloadFactor, double overloadMs) {
    /** The share that a host started then has warmed by now. */
    public double warmth(double since, double now) {
        double t = (now - since) / Math.max(1, warmMs);
        return t >= 1 ? 1 : initialShare + (1 - initialShare) * Math.max(0, t);
    }
}
