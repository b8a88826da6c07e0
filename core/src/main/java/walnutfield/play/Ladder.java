package walnutfield.play;

import java.util.List;

/**
 * The quality ladder: the rungs at which a play can be served, lowest first.
 *
 * @param kb     rate of each rung, in kB/s
 * @param credit weight of each rung, as a part of the traffic class's weight
 * @param stall  part of the weight that is lost for each part of the rate that is not delivered
 */
public record Ladder(List<Double> ratesKb, List<Double> weights, double stallPenalty) {
    /** The geometric mean of the rates of the lowest and the highest rung, in kB/s. */
    public double meanRateKb() {
        return ratesKb.isEmpty() ? 1 : Math.sqrt(ratesKb.get(0) * ratesKb.get(ratesKb.size() - 1));
    }

    /** Rate of a rung for plays of a traffic class, in kB/s. */
    public double rateKb(TrafficClass trafficClass, int rung) {
        return ratesKb.isEmpty() ? 0 : ratesKb.get(Math.min(rung, ratesKb.size() - 1)) * trafficClass.rateScale();
    }

    /** The highest rung allowed for a play. */
    public int highestRung(PlayRequest request) {
        int maxRung =
                Math.min(request.highestRung(), Math.min(request.trafficClass().maxRung(), ratesKb.size() - 1));
        return Math.max(request.trafficClass().minRung(), maxRung);
    }

    /** Weight that the upgrade to a rung from the one below adds for each kB/s of added rate. */
    public double addedWeightPerKb(TrafficClass trafficClass, int rung) {
        return trafficClass.weight()
                * (weights.get(rung) - weights.get(rung - 1))
                / Math.max(1e-9, rateKb(trafficClass, rung) - rateKb(trafficClass, rung - 1));
    }
}
