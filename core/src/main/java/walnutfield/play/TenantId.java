package walnutfield.play;

/** Identifies a tenant, where tenants have quotas. */
@PrintedName("CustomerId")
public record TenantId(String value) {}
