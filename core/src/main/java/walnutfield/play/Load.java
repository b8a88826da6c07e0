package walnutfield.play;

/**
 * A host's report of its load; NaN for what it does not tell.
 *
 * @param link    what is asked of its link over what that gives
 * @param uplink  the same of its rack's uplink
 * @param streams that it runs or sets up
 */
public record Load(double link, double uplink, double streams) {
    public static final Load NONE = new Load(Double.NaN, Double.NaN, Double.NaN);
}
