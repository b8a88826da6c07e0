package walnutfield.decide;

/** State of a link or uplink: own load now and lately, and the latest figure of all use there. */
final class Gauge {
    private final double[] at = new double[128]; // changes of own load; the oldest is overwritten
    private final double[] was = new double[128];
    private int next;
    double own;
    double told = Double.NaN;
    double toldOf = Double.NEGATIVE_INFINITY;
    double ownThen; // own load there, and everywhere, at that time
    double allThen;
    double cutAt = Double.NEGATIVE_INFINITY;

    void add(double kb, double now) {
        at[next % at.length] = now;
        was[next % at.length] = own;
        next++;
        own = Math.max(0, own + kb);
    }

    double ownAt(double time) {
        double kb = own;
        for (int i = next - 1; i >= 0 && i >= next - at.length && at[i % at.length] > time; i--) {
            kb = was[i % at.length];
        }
        return kb;
    }

    /** Newer beats older by the time that a figure speaks of. */
    void tell(double use, double of, Gauge all) {
        if (of >= toldOf) {
            told = use;
            toldOf = of;
            ownThen = ownAt(of);
            allThen = all.ownAt(of);
        }
    }

    /** From 1 for a figure of now down to 0, by e in the time given; 0 for none. */
    double weight(double fadeMs, double now) {
        return Double.isNaN(told) ? 0 : Math.exp(-Math.max(0, now - toldOf) / fadeMs);
    }
}
