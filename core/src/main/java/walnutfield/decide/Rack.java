package walnutfield.decide;

import java.util.ArrayList;
import java.util.List;

/** State of a rack: its uplink and its hosts. */
final class Rack {
    final Gauge uplink = new Gauge();
    final List<Host> hosts = new ArrayList<>();
    double uplinkKb; // the told mean, by the links of its cells

    private double narrow = 1; // use of the uplink over what its links and told size let guess
    private double learntAt;

    double narrow(double fadeMs, double now) {
        return 1 + (narrow - 1) * Math.exp(-Math.max(0, now - learntAt) / fadeMs);
    }

    void learn(double value, double now) {
        narrow = value;
        learntAt = now;
    }

    void fill(double kb) {
        uplinkKb = uplinkKb > 0 ? uplinkKb : kb;
    }

    List<Play> plays() {
        List<Play> there = new ArrayList<>();
        hosts.forEach(h -> there.addAll(h.plays));
        return there;
    }
}
