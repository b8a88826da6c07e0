package walnutfield.play;

/** Stays with a viewer over all tries. */
public record ViewerId(long value) {}
