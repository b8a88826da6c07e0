package walnutfield.play;

/** One try of a viewer to play; a viewer who comes again has a new one. */
public record PlayId(long value) {}
