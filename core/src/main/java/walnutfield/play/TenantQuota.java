package walnutfield.play;

/**
 * A customer's share of the service.
 *
 * @param playsPerS plays a second over all gateways that are within the share
 * @param beyond    what a play beyond it is worth, as a part of its band's credit
 */
public record TenantQuota(TenantId tenant, double playsPerS, double excessWeight) {}
