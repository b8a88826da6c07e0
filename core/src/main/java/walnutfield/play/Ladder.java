package walnutfield.play;

import java.util.List;

/**
 * The rungs of quality.
 *
 * @param kb     rate of each rung, kB a second
 * @param credit what each rung earns, as a part of a band's credit
 * @param stall  part of the credit lost for each part of the rate that is missing
 */
public record Ladder(List<Double> kb, List<Double> credit, double stall) {
    /** The geometric mean of the lowest and highest rung's rate. */
    public double middleKb() {
        return kb.isEmpty() ? 1 : Math.sqrt(kb.get(0) * kb.get(kb.size() - 1));
    }

    public double rate(TrafficClass band, int rung) {
        return kb.isEmpty() ? 0 : kb.get(Math.min(rung, kb.size() - 1)) * band.rateScale();
    }

    /** The highest rung that this viewer may have. */
    public int top(PlayRequest wish) {
        int most = Math.min(wish.highestRung(), Math.min(wish.trafficClass().maxRung(), kb.size() - 1));
        return Math.max(wish.trafficClass().minRung(), most);
    }

    /** What the step up to a rung earns for each kB of its rate. */
    public double creditAKb(TrafficClass band, int rung) {
        return band.weight()
                * (credit.get(rung) - credit.get(rung - 1))
                / Math.max(1e-9, rate(band, rung) - rate(band, rung - 1));
    }
}
