package walnutfield.standin.audit;

import java.util.Map;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;

/**
 * The limits that the six rules are checked with.
 *
 * @param trafficClasses     traffic classes by name
 * @param retryPolicy        the retry budget of a gateway
 * @param slowStart          how hosts warm up and what overloads them meanwhile
 * @param drainGraceMs       time after a gateway learns that a host drains within which it may still send set-ups to it
 * @param observationSlackMs longest time between the observations of one event at both ends of a connection
 */
public record Rules(
        Map<String, TrafficClass> trafficClasses,
        RetryPolicy retryPolicy,
        SlowStartPolicy slowStart,
        double drainGraceMs,
        double observationSlackMs) {
    /**
     * How many set-ups a host in slow start takes in the overload window that ends at {@code at}: the overload factor
     * times its current pace, and an allowance for chance, as gateways that do not coordinate may each send their part
     * at the same moment.
     */
    public static double maxColdSetUps(SlowStartPolicy slowStart, int slots, double startedAt, double at) {
        double budget = slowStart.overloadFactor()
                * slots
                / slowStart.warmMs()
                * slowStart.warmth(startedAt, at)
                * slowStart.overloadMs();
        return budget + 1 + 2 * Math.sqrt(budget);
    }
}
