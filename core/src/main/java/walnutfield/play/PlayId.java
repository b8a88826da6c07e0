package walnutfield.play;

/** Identifies one request of a viewer to play; each further request of the viewer has a new id. */
public record PlayId(long value) {}
