package walnutfield.decide;

import java.util.Arrays;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;

/** State of a media host as this gateway knows it; kept while listed or while own plays are there. */
final class Host {
    final HostId id;
    final Rack rack;
    final Gauge link = new Gauge();
    HostLine line;
    int mine;      // own plays there, set-ups included
    int legsOut;   // of these, still to be answered
    double streamsTold = Double.NaN;
    int streamsThen;
    double share = 1;
    double shareOf = Double.NEGATIVE_INFINITY;
    double raisedAt = Double.NEGATIVE_INFINITY;
    private final double[] took = new double[16]; // latest answer times
    private int answers;
    boolean suspect;
    boolean silent;
    double turnedAwayAt = Double.NEGATIVE_INFINITY;
    double retryAt;
    double outFor;
    int goodInRow;
    double coldSince = Double.NEGATIVE_INFINITY;
    double unprovenSince = Double.NEGATIVE_INFINITY;
    double lastSent = Double.NEGATIVE_INFINITY;
    boolean probeOut;
    double probedAt = Double.NEGATIVE_INFINITY;

    Host(HostLine line, Rack rack) {
        id = line.host();
        this.line = line;
        this.rack = rack;
    }

    boolean ready() {
        return line.standing() == HostLine.Standing.READY;
    }

    void answered(double ms) {
        took[answers++ % took.length] = ms;
    }

    void forgetAnswers() {
        answers = 0;
    }

    /** A quantile of the latest answer times; 0 while fewer than three are known. */
    double quantile(double q) {
        int n = Math.min(answers, took.length);
        if (n < 3) {
            return 0;
        }
        double[] sorted = Arrays.copyOf(took, n);
        Arrays.sort(sorted);
        return sorted[(int) Math.min(n - 1, Math.floor(q * n))];
    }
}
