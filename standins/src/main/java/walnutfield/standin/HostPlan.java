package walnutfield.standin;

/**
 * A media host as it truly is.
 *
 * @param linkKb what its link gives, kB a second
 * @param listed its listed size
 */
public record HostPlan(String name, String place, int cell, int rack, double linkKb, int slots, double listed) {}
