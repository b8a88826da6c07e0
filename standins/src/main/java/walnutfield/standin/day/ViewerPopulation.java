package walnutfield.standin.day;

import java.util.List;
import java.util.Map;
import walnutfield.standin.ImpairedNetwork;

/**
 * The viewers and callers of a day: how many arrive and how they behave.
 *
 * @param arrivalsPerS        new viewers per second, over all gateways
 * @param trafficClassWeights relative arrival rate of each traffic class, by name
 * @param popularitySkew      the n-th title is requested with weight 1 / n to this power
 * @param returnRatio         share that comes again after a failed play or a shed request
 * @param duplicateRatio      share that sends its request a second time while the first is open
 * @param impatientRatio      share that closes its request before its deadline
 * @param lowRungRatio        share that cannot use the upper half of the rungs
 * @param callers             those that arrive as video calls over SIP
 * @param titles              all titles, the most popular first
 */
public record ViewerPopulation(
        double arrivalsPerS,
        Map<String, Double> trafficClassWeights,
        double popularitySkew,
        double returnRatio,
        double duplicateRatio,
        double impatientRatio,
        double lowRungRatio,
        CallerPopulation callers,
        List<TitlePlacement> titles) {
    /**
     * The arrivals that are video calls.
     *
     * @param arrivalRatio    share of all arrivals
     * @param meanCallMs      mean length of a call
     * @param missingAckRatio share that never sends an ACK for its answer
     * @param earlyRetryRatio share that tries again before the Retry-After time has passed
     * @param t1Ms            SIP timer T1 (estimated round trip) of callers and hosts
     * @param impairments     network impairments for datagrams of callers and hosts
     */
    public record CallerPopulation(
            double arrivalRatio,
            double meanCallMs,
            double missingAckRatio,
            double earlyRetryRatio,
            double t1Ms,
            ImpairedNetwork.Impairments impairments) {
        public static final CallerPopulation NONE =
                new CallerPopulation(0, 0, 0, 0, 500, new ImpairedNetwork.Impairments(0, 0, 0));
    }

    /**
     * A title and the cells that hold it.
     *
     * @param firstCell first cell with a copy
     * @param holders   number of copies
     */
    public record TitlePlacement(long id, int firstCell, int holders) {}
}
