package walnutfield.play;

/**
 * This gateway among its fellows.
 *
 * @param seed     of its chance
 * @param me       its number, from 0
 * @param gateways how many there are
 */
public record GatewayIdentity(long seed, int index, int gatewayCount, PlaceId place) {}
