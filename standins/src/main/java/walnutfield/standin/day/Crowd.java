package walnutfield.standin.day;

import java.util.List;
import java.util.Map;

/**
 * Who comes and how they behave.
 *
 * @param perS     new viewers a second, over all gateways
 * @param mix      bands and their weights
 * @param skew     weight of the n-th title is 1 / n to this power
 * @param returns  part that comes again after a break or a shed reply
 * @param twice    part that sends its request a second time while the first is open
 * @param impatient part that closes its request before its hard stop
 * @param weakest  part that cannot use the upper half of the rungs
 */
public record Crowd(double perS, Map<String, Double> mix, double skew, double returns, double twice, double impatient,
                    double weakest, List<TitlePlan> titles) {
    /** A title and the cells that hold it. */
    public record TitlePlan(long id, int firstCell, int holders) { }
}
