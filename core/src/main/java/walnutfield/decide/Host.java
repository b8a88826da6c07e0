package walnutfield.decide;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;

/** State of a media host as this gateway knows it; kept while listed or while own plays are there. */
final class Host {
    final HostId id;
    final Rack rack;
    final Gauge link = new Gauge();
    HostDescriptor line;
    final Set<Play> plays = new LinkedHashSet<>(); // own plays there, set-ups included; emptied as they end
    int legsOut; // of these, still to be answered
    double streamsTold = Double.NaN;
    int streamsThen;
    double share = 1;
    double shareOf = Double.NEGATIVE_INFINITY;
    double shortOf = Double.NEGATIVE_INFINITY; // when it last delivered short
    double raisedAt = Double.NEGATIVE_INFINITY;
    private final double[] took = new double[16]; // latest answer times
    private int answers;
    private double high; // their quantile as last asked for
    private int highOf = -1;
    boolean suspect;
    boolean silent;
    double turnedAwayAt = Double.NEGATIVE_INFINITY;
    double retryAt;
    int goodInRow;
    double coldSince = Double.NEGATIVE_INFINITY;
    double unprovenSince = Double.NEGATIVE_INFINITY;
    double lastSent = Double.NEGATIVE_INFINITY;
    boolean probeOut;
    double probedAt = Double.NEGATIVE_INFINITY;

    Host(HostDescriptor line, Rack rack) {
        id = line.host();
        this.line = line;
        this.rack = rack;
    }

    boolean ready() {
        return line.state() == HostDescriptor.LifecycleState.READY;
    }

    void answered(double ms) {
        took[answers++ % took.length] = ms;
    }

    void forgetAnswers() {
        answers = 0;
        highOf = -1;
    }

    /** A quantile of the latest answer times; 0 while none is known. It is kept until the next answer. */
    double quantile(double q) {
        int n = Math.min(answers, took.length);
        if (n == 0) {
            return 0;
        }
        if (highOf != answers) {
            double[] sorted = Arrays.copyOf(took, n);
            Arrays.sort(sorted);
            high = sorted[(int) Math.min(n - 1, Math.floor(q * n))];
            highOf = answers;
        }
        return high;
    }
}
