package walnutfield.decide;

import java.util.ArrayList;
import java.util.List;

/** State of a rack: its uplink and its hosts. */
final class Rack {
    final LoadEstimate uplink = new LoadEstimate();
    final List<Host> hosts = new ArrayList<>();
    double uplinkKb; // uplink rate in kB/s: the configured mean, in proportion to the links of the rack's hosts

    private double correctionFactor =
            1; // reported use of the uplink over the use assumed from links and configured rate
    private double correctedAt;

    /** The factor as it is now: it returns to 1, its distance falling by a factor of e in each decay time. */
    double correction(double decayMs, double now) {
        return 1 + (correctionFactor - 1) * Math.exp(-Math.max(0, now - correctedAt) / decayMs);
    }

    void setCorrection(double factor, double now) {
        correctionFactor = factor;
        correctedAt = now;
    }

    /** Sets the uplink rate if it is not known yet. */
    void initUplinkKb(double kb) {
        uplinkKb = uplinkKb > 0 ? uplinkKb : kb;
    }

    List<Play> plays() {
        List<Play> plays = new ArrayList<>();
        hosts.forEach(host -> plays.addAll(host.plays));
        return plays;
    }
}
