package walnutfield.stitch;

import java.util.Set;
import walnutfield.play.PrintedName;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;

/**
 * A clip that is stitched into plays.
 *
 * @param title           title under which hosts hold the clip
 * @param firstCell       first of the cells that hold it
 * @param holderCount     number of consecutive cells that hold it, from {@code firstCell} on
 * @param maxRung         highest rung that it is held at
 * @param durationMs      its length
 * @param targetDurationS length of its longest segment, in whole seconds
 * @param place           whether it plays before the programme, at a position in it, or instead of a part of it
 * @param atMs            its position in the programme
 * @param replacedMs      length of the part of the programme that it replaces
 * @param mandatory       deferred rather than dropped where no host can accept it at the moment
 * @param trafficClasses  names of the traffic classes whose plays get it; empty for all
 * @param tenants         tenants whose viewers get it; empty for all
 * @param fromMs          start of its period, in ms since 1970: it goes into plays that begin within the period
 * @param untilMs         end of its period (exclusive), in ms since 1970
 * @param maxPerHour      how many times a viewer gets it within an hour; 0 for any number
 */
public record Insert(
        InsertId id,
        TitleId title,
        int firstCell,
        @PrintedName("holders") int holderCount,
        @PrintedName("topRung") int maxRung,
        double durationMs,
        @PrintedName("targetS") int targetDurationS,
        Place place,
        double atMs,
        @PrintedName("insteadMs") double replacedMs,
        @PrintedName("must") boolean mandatory,
        @PrintedName("bands") Set<String> trafficClasses,
        @PrintedName("customers") Set<TenantId> tenants,
        double fromMs,
        double untilMs,
        @PrintedName("perHour") int maxPerHour) {
    /** Where an insert plays. */
    public enum Place {
        BEFORE,
        AT,
        INSTEAD
    }

    public Insert {
        trafficClasses = Set.copyOf(trafficClasses);
        tenants = Set.copyOf(tenants);
    }

    /** Whether plays of this traffic class and tenant that begin at this time are to get it. */
    public boolean appliesTo(TrafficClass trafficClass, TenantId tenant, double now) {
        return (trafficClasses.isEmpty() || trafficClasses.contains(trafficClass.name()))
                && (tenants.isEmpty() || tenant != null && tenants.contains(tenant))
                && now >= fromMs
                && now < untilMs;
    }

    /**
     * The traffic class in which the insert is placed: with the rates and the lowest rung of its play's class, but
     * unpaid and without a limit of seats.
     *
     * @param playClass   traffic class of the play that gets the insert
     * @param weightRatio weight of the insert over that of its play
     */
    public TrafficClass trafficClassFor(TrafficClass playClass, double weightRatio) {
        return new TrafficClass(
                INSERT_CLASS_PREFIX + playClass.name(),
                playClass.latencyTargetMs(),
                playClass.deadlineMs(),
                playClass.weight() * weightRatio,
                false,
                playClass.rateScale(),
                playClass.minRung(),
                Math.max(playClass.minRung(), Math.min(playClass.maxRung(), maxRung)),
                0);
    }

    /** Prefix that turns the name of a play's traffic class into that of its inserts' class. */
    public static final String INSERT_CLASS_PREFIX = "insert-";
}
