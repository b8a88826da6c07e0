package walnutfield.play;

/** A media host. Nothing may be read into the name. */
public record HostId(String value) {}
