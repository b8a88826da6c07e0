package walnutfield.decide;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;

/** State of a media host as this gateway knows it; kept while the host is listed or has own plays. */
final class Host {
    final HostId id;
    final Rack rack;
    final LoadEstimate link = new LoadEstimate();
    HostDescriptor entry; // its entry in the host list
    final Set<Play> plays = new LinkedHashSet<>(); // own plays, set-ups included; removed as they end
    int pendingLegs; // set-ups among these plays that are not answered yet
    double reportedStreams = Double.NaN;
    int ownPlaysAtReport;
    double deliveredShare = 1; // part of their rate that plays received, as last reported
    double deliveredShareAt = Double.NEGATIVE_INFINITY;
    double lastShortageAt = Double.NEGATIVE_INFINITY; // when the delivered share was last short
    double upgradedAt = Double.NEGATIVE_INFINITY;
    private final double[] answerTimesMs = new double[16]; // the latest; the oldest is overwritten
    private int answers;
    private double cachedQuantile;
    private int cachedAtAnswers = -1; // number of answers that the cached quantile covers
    boolean outlier;
    boolean unresponsive;
    double rejectedAt = Double.NEGATIVE_INFINITY; // when the host last rejected a leg
    double retryAt; // an outlier is ejected until then
    int successesInRow;
    double slowStartSince = Double.NEGATIVE_INFINITY;
    double unprovenSince = Double.NEGATIVE_INFINITY; // known only from the host list of an earlier process since then
    double lastLegSentAt = Double.NEGATIVE_INFINITY;
    boolean probePending;
    double probedAt = Double.NEGATIVE_INFINITY;

    Host(HostDescriptor entry, Rack rack) {
        id = entry.host();
        this.entry = entry;
        this.rack = rack;
    }

    boolean ready() {
        return entry.state() == HostDescriptor.LifecycleState.READY;
    }

    void recordAnswerTime(double ms) {
        answerTimesMs[answers++ % answerTimesMs.length] = ms;
    }

    void clearAnswerTimes() {
        answers = 0;
        cachedAtAnswers = -1;
    }

    /** A quantile of the latest answer times, 0 without any; cached until the next answer, for one {@code q} only. */
    double quantile(double q) {
        int count = Math.min(answers, answerTimesMs.length);
        if (count == 0) {
            return 0;
        }
        if (cachedAtAnswers != answers) {
            double[] sorted = Arrays.copyOf(answerTimesMs, count);
            Arrays.sort(sorted);
            cachedQuantile = sorted[(int) Math.min(count - 1, Math.floor(q * count))];
            cachedAtAnswers = answers;
        }
        return cachedQuantile;
    }
}
