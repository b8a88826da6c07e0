package walnutfield.play;

/**
 * A host's report of its load; values that it does not report are NaN.
 *
 * @param linkUse       demand on the host's link over its capacity
 * @param uplinkUse     demand on the uplink of the host's rack over its capacity
 * @param activeStreams streams that are running or being set up
 */
@PrintedName("Load")
public record LoadReport(
        @PrintedName("link") double linkUse,
        @PrintedName("uplink") double uplinkUse,
        @PrintedName("streams") double activeStreams) {
    public static final LoadReport NONE = new LoadReport(Double.NaN, Double.NaN, Double.NaN);
}
