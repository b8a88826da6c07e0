package walnutfield.play;

/**
 * This gateway among its fellows.
 *
 * @param seed     of its chance
 * @param me       its number, from 0
 * @param gateways how many there are
 */
public record Post(long seed, int me, int gateways, PlaceId place) {}
