package walnutfield.play;

/**
 * Configured rates of links and uplinks.
 *
 * @param totalLinkKb    links of all hosts together at the start, in kB/s; 0 if unknown
 * @param linkKbPerUnit  link for each capacity unit, in kB/s
 * @param rackUplinkKb   mean uplink of a rack, in kB/s; 0 if unknown
 * @param rackCount      number of racks
 * @param cellCount      number of cells
 * @param capacityListed whether the capacity units of the host list give the size of a host
 */
public record LinkSettings(
        double totalLinkKb,
        double linkKbPerUnit,
        double rackUplinkKb,
        int rackCount,
        int cellCount,
        boolean capacityListed) {
    /** Capacity of a host in relation to others. */
    public double capacityUnits(HostDescriptor descriptor) {
        double units = capacityListed ? descriptor.capacityUnits() : descriptor.maxStreams();
        return units > 0 ? units : 1;
    }
}
