package walnutfield.play;

/**
 * A line of the list of hosts.
 *
 * @param slots    streams that it runs at most; 0 if not told
 * @param units    listed size
 * @param launched time of its latest start; 0 for long ago
 */
@PrintedName("HostLine")
public record HostDescriptor(
        HostId host,
        PlaceId place,
        @PrintedName("slots") int maxStreams,
        int cell,
        @PrintedName("standing") LifecycleState state,
        @PrintedName("units") double capacityUnits,
        @PrintedName("launched") double startedAt) {
    /** What the list says of a host. */
    public enum LifecycleState {
        READY,
        DRAINING,
        GONE
    }
}
