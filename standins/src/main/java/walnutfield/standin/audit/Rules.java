package walnutfield.standin.audit;

import java.util.Map;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;

/**
 * The figures of the six rules.
 *
 * @param graceMs drains: nothing new later than this after being told
 * @param slackMs what crossing two sockets may take: sights of two ends are that far apart at most
 */
public record Rules(
        Map<String, TrafficClass> bands, RetryPolicy legs, SlowStartPolicy cold, double graceMs, double slackMs) {
    /**
     * The set-ups that a cold host stands in one window, the last of which comes then: the multiple of its pace, and some
     * slack for chance, as gateways that share nothing may each send their part at the same moment.
     */
    public static double coldMost(SlowStartPolicy cold, int slots, double start, double at) {
        double budget = cold.overloadFactor() * slots / cold.warmMs() * cold.warmth(start, at) * cold.overloadMs();
        return budget + 1 + 2 * Math.sqrt(budget);
    }
}
