package walnutfield.play;

/**
 * A band of plays and its terms.
 *
 * @param expectedMs wanted playing within
 * @param hardStopMs the viewer waits so long
 * @param credit     worth of a second at the best rung
 * @param paid       must not be set up a second time
 * @param rates      its rates over those of the ladder
 * @param floor      lowest rung allowed
 * @param top        highest rung
 * @param seats      plays of one title that one gateway may hold; 0 for any number
 */
@PrintedName("Band")
public record TrafficClass(
        String name,
        @PrintedName("expectedMs") double latencyTargetMs,
        @PrintedName("hardStopMs") double deadlineMs,
        @PrintedName("credit") double weight,
        boolean paid,
        @PrintedName("rates") double rateScale,
        @PrintedName("floor") int minRung,
        @PrintedName("top") int maxRung,
        int seats) {}
