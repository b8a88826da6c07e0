package walnutfield.play;

/** Who is served, where service is shared out. */
@PrintedName("CustomerId")
public record TenantId(String value) {}
