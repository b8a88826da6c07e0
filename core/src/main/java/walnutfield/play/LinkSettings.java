package walnutfield.play;

/**
 * What is told of links.
 *
 * @param allKb      all hosts' links together at the start; 0 if not told
 * @param unitKb     link for each unit of size
 * @param rackKb     mean uplink of a rack; 0 if not told
 * @param racks      number of racks
 * @param cells      number of cells
 * @param sizeListed whether the list's units tell a host's size
 */
public record LinkSettings(
        double totalLinkKb,
        double linkKbPerUnit,
        double rackUplinkKb,
        int rackCount,
        int cellCount,
        boolean capacityListed) {
    /** Size of a host among its fellows. */
    public double capacityUnits(HostDescriptor l) {
        double u = capacityListed ? l.capacityUnits() : l.maxStreams();
        return u > 0 ? u : 1;
    }
}
