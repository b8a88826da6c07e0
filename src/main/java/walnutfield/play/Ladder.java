package walnutfield.play;

import java.util.List;

/**
 * The rungs of quality.
 *
 * @param kb     rate of each rung, kB a second
 * @param credit what each rung earns, as a part of a band's credit
 * @param stall  part of the credit lost for each part of the rate that is missing
 */
public record Ladder(List<Double> kb, List<Double> credit, double stall) { }
