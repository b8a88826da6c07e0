package walnutfield.standin;

/**
 * The actual properties of a simulated media host; the list service may state others.
 *
 * @param rack        index of its rack, whose uplink it shares
 * @param linkKbPerS  rate of its link, kB per second
 * @param slots       maximum number of streams
 * @param listedUnits capacity units that the list service states for it
 */
public record HostPlan(
        String name, String place, int cell, int rack, double linkKbPerS, int slots, double listedUnits) {}
