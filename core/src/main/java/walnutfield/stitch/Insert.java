package walnutfield.stitch;

import java.util.Set;
import walnutfield.play.PrintedName;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;

/**
 * A piece that is stitched into plays.
 *
 * @param title      as hosts hold it
 * @param firstCell  where the cells that hold it begin
 * @param holders    how many there are in a row
 * @param topRung    highest rung that it is held at
 * @param durationMs its length
 * @param targetS    its longest segment, in whole seconds
 * @param atMs       where in the programme
 * @param insteadMs  how much of the programme it stands for
 * @param must       deferred rather than dropped where no host can take it just now
 * @param bands      of plays that get it; none for all
 * @param customers  of viewers that get it; none for all
 * @param fromMs     since 1970; and {@code untilMs}: plays that begin then
 * @param perHour    a viewer gets it so often in an hour; 0 for any number
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
    /** Where it stands. */
    public enum Place {
        BEFORE,
        AT,
        INSTEAD
    }

    public Insert {
        trafficClasses = Set.copyOf(trafficClasses);
        tenants = Set.copyOf(tenants);
    }

    /** Whether plays of that band and customer that begin at that time are to get it. */
    public boolean isFor(TrafficClass band, TenantId customer, double now) {
        return (trafficClasses.isEmpty() || trafficClasses.contains(band.name()))
                && (tenants.isEmpty() || customer != null && tenants.contains(customer))
                && now >= fromMs
                && now < untilMs;
    }

    /** The band under which it is placed: the play's own rates and floor, with no seat and nothing to pay for. */
    public TrafficClass bandWithin(TrafficClass play, double creditPart) {
        return new TrafficClass(
                INSERT_BAND + play.name(),
                play.latencyTargetMs(),
                play.deadlineMs(),
                play.weight() * creditPart,
                false,
                play.rateScale(),
                play.minRung(),
                Math.max(play.minRung(), Math.min(play.maxRung(), maxRung)),
                0);
    }

    /** Before the name of a play's band in that of its inserts. */
    public static final String INSERT_BAND = "insert-";
}
