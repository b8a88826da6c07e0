package walnutfield.play;

/**
 * The slow start of hosts, and the overload that brings a host down.
 *
 * @param initialShare   part of its normal pace of set-ups that a host can take when it has just started
 * @param warmMs         duration of the slow start
 * @param overloadFactor multiple of its current pace that brings a host down
 * @param overloadMs     time for which the host withstands that overload
 */
public record SlowStartPolicy(double initialShare, double warmMs, double overloadFactor, double overloadMs) {
    /** Part of its normal pace that a host can take by now, from the time at which its slow start began. */
    public double warmth(double since, double now) {
        double progress = (now - since) / Math.max(1, warmMs);
        return progress >= 1 ? 1 : initialShare + (1 - initialShare) * Math.max(0, progress);
    }
}
