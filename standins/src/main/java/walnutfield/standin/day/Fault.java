package walnutfield.standin.day;

/**
 * A fault to inject.
 *
 * @param kind       what goes wrong
 * @param startMs    start, in ms after the beginning of the day
 * @param durationMs how long it lasts; 0 for a fault that is not reverted
 * @param firstIndex index of the first host or gateway affected
 * @param count      number of consecutive hosts or gateways affected
 * @param amount     size of the fault in the unit of its kind: a share, a factor or ms
 */
public record Fault(Kind kind, double startMs, double durationMs, int firstIndex, int count, double amount) {
    /** The kinds of fault, with the meaning of {@code amount}. Scripts refer to the constants by name. */
    public enum Kind {
        /** Hosts crash and restart cold. */
        DEAD,
        /** Hosts stop responding without closing connections; afterwards they have lost all sessions and are cold. */
        SILENT,
        /** Hosts pause, then answer everything that arrived meanwhile. */
        STANDING,
        /** Hosts immediately fail this share of set-ups. */
        FAILING,
        /** Hosts take this many ms longer for set-ups. */
        SLOW,
        /** Answers to set-ups are lost; those to probes arrive. */
        ANSWERS_LOST,
        /** Hosts' links deliver this share of their rate. */
        WEAK_LINK,
        /** Reports of all hosts about running plays arrive this many ms later than usual. */
        REPORTS_LATE,
        /** Hosts are listed as draining; when the fault ends they crash and restart cold {@code amount} ms later. */
        DRAIN,
        /** The list service is unreachable. */
        LIST_LOST,
        /** Updates of the list service are delayed by this many ms more. */
        LIST_LATE,
        /** Gateways are killed; they restart when the fault ends. */
        GATEWAY_KILLED,
        /** Gateways stall for the duration of the fault. */
        GATEWAY_STALLED,
        /** Gateways are drained; they restart when the fault ends. */
        GATEWAY_DRAINED,
        /** Viewers arrive at this many times the usual rate. */
        CROWD
    }
}
