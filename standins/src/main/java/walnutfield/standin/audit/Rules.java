package walnutfield.standin.audit;

import java.util.Map;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.LegTerms;

/**
 * The figures of the six rules.
 *
 * @param graceMs drains: nothing new later than this after being told
 * @param slackMs what crossing two sockets may take: sights of two ends are that far apart at most
 */
public record Rules(Map<String, Band> bands, LegTerms legs, ColdTerms cold, double graceMs, double slackMs) {
    /**
     * The set-ups that a cold host stands in one window, the last of which comes then: the multiple of its pace, and some
     * slack for chance, as gateways that share nothing may each send their part at the same moment.
     */
    public static double coldMost(ColdTerms cold, int slots, double start, double at) {
        double budget = cold.multiple() * slots / cold.warmMs() * cold.warmth(start, at) * cold.fallMs();
        return budget + 1 + 2 * Math.sqrt(budget);
    }
}
