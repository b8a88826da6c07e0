package walnutfield.decide;

/** State of a link or uplink: the own load over time, and the latest report of the total use. */
final class LoadEstimate {
    private final double[] changeTimes = new double[128]; // changes of the own load; the oldest is overwritten
    private final double[] ownKbBefore = new double[128]; // own load before each of these changes
    private int changes;
    double ownKb; // own load now, in kB/s
    double reportedUse = Double.NaN; // use that the latest report gives; NaN without a report
    double reportedAt = Double.NEGATIVE_INFINITY; // time that the report describes
    double ownKbThen; // own load here at that time
    double totalKbThen; // own load on all hosts at that time
    double downgradedAt = Double.NEGATIVE_INFINITY;

    void add(double kb, double now) {
        changeTimes[changes % changeTimes.length] = now;
        ownKbBefore[changes % changeTimes.length] = ownKb;
        changes++;
        ownKb = Math.max(0, ownKb + kb);
    }

    double ownKbAt(double time) {
        double kb = ownKb;
        for (int i = changes - 1;
                i >= 0 && i >= changes - changeTimes.length && changeTimes[i % changeTimes.length] > time;
                i--) {
            kb = ownKbBefore[i % changeTimes.length];
        }
        return kb;
    }

    /** Takes a report unless a known one describes a later time, in whichever order they arrive. */
    void report(double use, double measuredAt, LoadEstimate total) {
        if (measuredAt >= reportedAt) {
            reportedUse = use;
            reportedAt = measuredAt;
            ownKbThen = ownKbAt(measuredAt);
            totalKbThen = total.ownKbAt(measuredAt);
        }
    }

    /** Weight of the report: 1 if it describes now, falling by a factor of e in each decay time; 0 without one. */
    double weight(double decayMs, double now) {
        return Double.isNaN(reportedUse) ? 0 : Math.exp(-Math.max(0, now - reportedAt) / decayMs);
    }
}
