package walnutfield.standin.day;

import java.util.List;
import java.util.Map;
import walnutfield.standin.Weather;

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
 * @param calls    part that comes as video calls over SIP
 */
public record Crowd(
        double perS,
        Map<String, Double> mix,
        double skew,
        double returns,
        double twice,
        double impatient,
        double weakest,
        Calls calls,
        List<TitlePlan> titles) {
    /**
     * Those who call.
     *
     * @param part    of all who come
     * @param meanMs  a call lasts so long
     * @param mute    part that never acknowledges its answer
     * @param hammers part that comes again before it was told to
     * @param t1Ms    round trip that callers and hosts reckon with
     * @param sky     what befalls datagrams of callers and hosts
     */
    public record Calls(double part, double meanMs, double mute, double hammers, double t1Ms, Weather.Sky sky) {
        public static final Calls NONE = new Calls(0, 0, 0, 0, 500, new Weather.Sky(0, 0, 0));
    }

    /** A title and the cells that hold it. */
    public record TitlePlan(long id, int firstCell, int holders) {}
}
