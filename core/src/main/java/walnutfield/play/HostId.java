package walnutfield.play;

/** Identifies a media host; the name is opaque. */
public record HostId(String value) {}
