package walnutfield.play;

/**
 * A host's report of its load; NaN for what it does not tell.
 *
 * @param link    what is asked of its link over what that gives
 * @param uplink  the same of its rack's uplink
 * @param streams that it runs or sets up
 */
@PrintedName("Load")
public record LoadReport(
        @PrintedName("link") double linkUse,
        @PrintedName("uplink") double uplinkUse,
        @PrintedName("streams") double activeStreams) {
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN);
}
