package walnutfield.play;

/**
 * What it costs to send plays about.
 *
 * @param price    share of service lost when each play is moved once
 * @param crossing share of service lost when each play plays from another place than its gateway's
 */
public record MoveCosts(double moveCost, double crossPlaceCost) {}
