package walnutfield.standin.day;

/**
 * Something that goes wrong.
 *
 * @param atMs   after the day's beginning
 * @param forMs  it lasts so long
 * @param first  number of the first host or gateway that it befalls
 * @param count  how many in a row
 * @param amount what the kind measures: a share, a part, a factor or ms
 */
public record Fault(Kind kind, double atMs, double forMs, int first, int count, double amount) {
    /** What goes wrong, with what {@code amount} means. */
    public enum Kind {
        /** Hosts are lost at once and come back cold. */
        DEAD,
        /** Hosts say nothing, then have lost all and are cold. */
        SILENT,
        /** Hosts answer nothing, then all that came meanwhile. */
        STANDING,
        /** Hosts fail this share of set-ups at once. */
        FAILING,
        /** Hosts take so many ms longer for set-ups. */
        SLOW,
        /** Answers to set-ups do not arrive; those to probes do. */
        ANSWERS_LOST,
        /** Hosts' links give this part. */
        WEAK_LINK,
        /** What hosts tell of playing plays comes so many ms later still. */
        REPORTS_LATE,
        /** Hosts are listed as draining; after {@code for} they die and come back cold after {@code amount} ms. */
        DRAIN,
        /** The list service is out of reach. */
        LIST_LOST,
        /** The list runs so many ms further behind. */
        LIST_LATE,
        /** Gateways are killed and start again after {@code for}. */
        GATEWAY_KILLED,
        /** Gateways stand still for {@code for}. */
        GATEWAY_STALLED,
        /** Gateways are drained, then start again. */
        GATEWAY_DRAINED,
        /** Viewers come so many times as often. */
        CROWD
    }
}
