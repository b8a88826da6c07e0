package walnutfield.stitch;

import java.util.Set;
import walnutfield.play.Band;
import walnutfield.play.CustomerId;
import walnutfield.play.TitleId;

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
        int holders,
        int topRung,
        double durationMs,
        int targetS,
        Place place,
        double atMs,
        double insteadMs,
        boolean must,
        Set<String> bands,
        Set<CustomerId> customers,
        double fromMs,
        double untilMs,
        int perHour) {
    /** Where it stands. */
    public enum Place {
        BEFORE,
        AT,
        INSTEAD
    }

    public Insert {
        bands = Set.copyOf(bands);
        customers = Set.copyOf(customers);
    }

    /** Whether plays of that band and customer that begin at that time are to get it. */
    public boolean isFor(Band band, CustomerId customer, double now) {
        return (bands.isEmpty() || bands.contains(band.name()))
                && (customers.isEmpty() || customer != null && customers.contains(customer))
                && now >= fromMs
                && now < untilMs;
    }

    /** The band under which it is placed: the play's own rates and floor, with no seat and nothing to pay for. */
    public Band bandWithin(Band play, double creditPart) {
        return new Band(
                INSERT_BAND + play.name(),
                play.expectedMs(),
                play.hardStopMs(),
                play.credit() * creditPart,
                false,
                play.rates(),
                play.floor(),
                Math.max(play.floor(), Math.min(play.top(), topRung)),
                0);
    }

    /** Before the name of a play's band in that of its inserts. */
    public static final String INSERT_BAND = "insert-";
}
