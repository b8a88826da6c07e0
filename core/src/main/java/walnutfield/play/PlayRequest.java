package walnutfield.play;

import java.util.List;

/**
 * A viewer's wish to play.
 *
 * @param customer  null where service is not shared out
 * @param firstCell where the cells that hold the title begin
 * @param holders   how many there are in a row
 * @param bestRung  highest rung that this viewer can use
 * @param moved     back after a move
 * @param lengthMs  expected length; 0 if not told
 * @param leftMs    the viewer waits so much longer
 * @param own       made by the gateway itself, for a play that it took before: it adds nothing to the ration of legs
 */
@PrintedName("Wanted")
public record PlayRequest(
        PlayId play,
        ViewerId viewer,
        TitleId title,
        @PrintedName("customer") TenantId tenant,
        @PrintedName("band") TrafficClass trafficClass,
        int firstCell,
        @PrintedName("holders") int holderCount,
        @PrintedName("bestRung") int highestRung,
        boolean moved,
        @PrintedName("lengthMs") double expectedDurationMs,
        @PrintedName("leftMs") double remainingWaitMs,
        @PrintedName("own") boolean gatewayInitiated) {
    /** One of a viewer. */
    public PlayRequest(
            PlayId play,
            ViewerId viewer,
            TitleId title,
            TenantId customer,
            TrafficClass band,
            int firstCell,
            int holders,
            int bestRung,
            boolean moved,
            double lengthMs,
            double leftMs) {
        this(play, viewer, title, customer, band, firstCell, holders, bestRung, moved, lengthMs, leftMs, false);
    }

    /** What seats are counted for: title and band. */
    public List<Object> seatKey() {
        return List.of(title, trafficClass.name());
    }
}
