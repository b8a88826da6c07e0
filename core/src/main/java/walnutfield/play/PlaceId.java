package walnutfield.play;

/** Where hosts and gateways stand. */
public record PlaceId(String value) {}
