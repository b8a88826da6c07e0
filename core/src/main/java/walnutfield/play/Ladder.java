package walnutfield.play;

import java.util.List;

/**
 * The quality ladder: the rungs at which a play can be served, lowest first.
 *
 * @param kb     rate of each rung, in kB/s
 * @param credit weight of each rung, as a part of the traffic class's weight
 * @param stall  part of the weight that is lost for each part of the rate that is not delivered
 */
public record Ladder(List<Double> kb, List<Double> credit, double stall) {
    /** The geometric mean of the rates of the lowest and the highest rung, in kB/s. */
    public double meanRateKb() {
        return kb.isEmpty() ? 1 : Math.sqrt(kb.get(0) * kb.get(kb.size() - 1));
    }

    /** Rate of a rung for plays of a traffic class, in kB/s. */
    public double rate(TrafficClass trafficClass, int rung) {
        return kb.isEmpty() ? 0 : kb.get(Math.min(rung, kb.size() - 1)) * trafficClass.rateScale();
    }

    /** The highest rung allowed for a play. */
    public int highestRung(PlayRequest request) {
        int maxRung =
                Math.min(request.highestRung(), Math.min(request.trafficClass().maxRung(), kb.size() - 1));
        return Math.max(request.trafficClass().minRung(), maxRung);
    }

    /** Weight that the upgrade to a rung from the one below adds for each kB/s of added rate. */
    public double addedWeightPerKb(TrafficClass trafficClass, int rung) {
        return trafficClass.weight()
                * (credit.get(rung) - credit.get(rung - 1))
                / Math.max(1e-9, rate(trafficClass, rung) - rate(trafficClass, rung - 1));
    }
}
