package walnutfield.play;

/** Identifies a viewer; the same for all requests of the viewer. */
public record ViewerId(long value) {}
