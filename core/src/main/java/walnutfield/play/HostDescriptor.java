package walnutfield.play;

/**
 * An entry of the host list.
 *
 * @param place         where the host runs
 * @param maxStreams    streams that the host can run at once; 0 if unknown
 * @param cell          number of the cell, whose hosts hold the same titles
 * @param capacityUnits capacity of the host in relation to others, as listed
 * @param startedAt     time of the host's latest start; 0 if long ago
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
    /** Lifecycle state of a host: READY takes plays, DRAINING takes no new ones, GONE has left. */
    public enum LifecycleState {
        READY,
        DRAINING,
        GONE
    }

    /** Returns the entry of the same host with the state GONE. */
    public HostDescriptor gone() {
        return new HostDescriptor(host, place, maxStreams, cell, LifecycleState.GONE, capacityUnits, startedAt);
    }
}
