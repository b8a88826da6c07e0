package walnutfield.play;

/**
 * Quota of a tenant.
 *
 * @param playsPerS    plays per second, over all gateways, that are within the quota
 * @param excessWeight weight of a play over the quota, as a part of the traffic class's weight
 */
public record TenantQuota(TenantId tenant, double playsPerS, double excessWeight) {}
