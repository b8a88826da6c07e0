package walnutfield.play;

import java.util.List;

/**
 * A request to play a title.
 *
 * @param tenant             tenant whose quota applies; null if there are no quotas
 * @param firstCell          first of the consecutive cells that hold the title
 * @param holderCount        number of these cells
 * @param highestRung        highest rung that the viewer can use
 * @param moved              whether the play was moved off its previous host
 * @param expectedDurationMs expected duration; 0 if unknown
 * @param remainingWaitMs    how much longer the viewer waits
 * @param gatewayInitiated   whether the gateway itself makes the request, for a play admitted before; such a request
 *     adds nothing to the retry budget
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
    /** A request made by a viewer. */
    public PlayRequest(
            PlayId play,
            ViewerId viewer,
            TitleId title,
            TenantId tenant,
            TrafficClass trafficClass,
            int firstCell,
            int holderCount,
            int highestRung,
            boolean moved,
            double expectedDurationMs,
            double remainingWaitMs) {
        this(
                play,
                viewer,
                title,
                tenant,
                trafficClass,
                firstCell,
                holderCount,
                highestRung,
                moved,
                expectedDurationMs,
                remainingWaitMs,
                false);
    }

    /** Key by which seats are counted: title and traffic class. */
    public List<Object> seatKey() {
        return List.of(title, trafficClass.name());
    }
}
