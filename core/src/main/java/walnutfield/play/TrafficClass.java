package walnutfield.play;

/**
 * A class of plays and its policy.
 *
 * @param latencyTargetMs time within which a play should start
 * @param deadlineMs      time after which the viewer no longer waits
 * @param weight          value of one second of play at the highest rung
 * @param paid            whether a play must not be set up a second time once a leg may have run
 * @param rateScale       factor of the class's rates over those of the ladder
 * @param minRung         lowest rung allowed
 * @param maxRung         highest rung allowed
 * @param seats           plays of one title that one gateway may have at once; 0 for no limit
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
