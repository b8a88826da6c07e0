package walnutfield.play;

/**
 * This gateway among its peers.
 *
 * @param seed         seed of its random numbers
 * @param index        number of the gateway, from 0
 * @param gatewayCount number of gateways
 * @param place        where the gateway runs
 */
public record GatewayIdentity(long seed, int index, int gatewayCount, PlaceId place) {}
