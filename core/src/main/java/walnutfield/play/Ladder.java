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

    public double rate(Band band, int rung) {
        return kb.isEmpty() ? 0 : kb.get(Math.min(rung, kb.size() - 1)) * band.rates();
    }

    /** The highest rung that this viewer may have. */
    public int top(Wanted wish) {
        int most = Math.min(wish.bestRung(), Math.min(wish.band().top(), kb.size() - 1));
        return Math.max(wish.band().floor(), most);
    }

    /** What the step up to a rung earns for each kB of its rate. */
    public double creditAKb(Band band, int rung) {
        return band.credit()
                * (credit.get(rung) - credit.get(rung - 1))
                / Math.max(1e-9, rate(band, rung) - rate(band, rung - 1));
    }
}
