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
public record LinkTerms(double allKb, double unitKb, double rackKb, int racks, int cells, boolean sizeListed) {
    /** Size of a host among its fellows. */
    public double units(HostLine l) {
        double u = sizeListed ? l.units() : l.slots();
        return u > 0 ? u : 1;
    }
}
