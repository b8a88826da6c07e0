package walnutfield.play;

/**
 * Costs of moving plays and of serving them from another place.
 *
 * @param moveCost       part of the service that is lost if each play is moved once
 * @param crossPlaceCost part of the service that is lost if each play is served from a place other than its gateway's
 */
public record MoveCosts(double moveCost, double crossPlaceCost) {}
