package walnutfield.play;

/** Identifies a place in which hosts and gateways run. */
public record PlaceId(String value) {}
