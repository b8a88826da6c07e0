package walnutfield.play;

/** What is watched. */
public record TitleId(long value) {}
