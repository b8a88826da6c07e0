package walnutfield.play;

/** Identifies a title. */
public record TitleId(long value) {}
