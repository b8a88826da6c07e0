package walnutfield.play;

/**
 * A line of the list of hosts.
 *
 * @param slots    streams that it runs at most; 0 if not told
 * @param units    listed size
 * @param launched time of its latest start; 0 for long ago
 */
public record HostLine(
        HostId host, PlaceId place, int slots, int cell, Standing standing, double units, double launched) {
    /** What the list says of a host. */
    public enum Standing {
        READY,
        DRAINING,
        GONE
    }
}
