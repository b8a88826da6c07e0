package walnutfield.play;

/** Who is served, where service is shared out. */
public record CustomerId(String value) {}
