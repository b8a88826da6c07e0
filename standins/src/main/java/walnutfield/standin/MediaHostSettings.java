package walnutfield.standin;

import java.util.List;
import java.util.Map;
import walnutfield.play.Ladder;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;

/**
 * How the simulated media hosts behave.
 *
 * @param ladder           the rungs and their rates
 * @param trafficClasses   traffic classes by name
 * @param slowStart        how hosts warm up and what overloads them meanwhile
 * @param rackUplinkKbPerS rate of each rack's uplink, kB per second; empty for unlimited uplinks
 * @param maxLinkUse       link utilization over which set-ups are rejected; 0 for no such limit
 * @param meanSetUpMs      mean duration of a set-up
 * @param maxRateDeviation largest relative deviation of a title's actual rates from the ladder's
 * @param loadRefreshMs    interval at which load metrics are refreshed
 * @param loadNoise        largest relative error of load metrics
 * @param reportDelayMs    delay of reports about running plays
 * @param linkReportMs     interval of link utilization reports about running plays; 0 for none
 * @param segmentS         length of a segment, in seconds
 * @param segmentCount     segments of a title
 * @param growingTitles    titles with ids up to this one grow, a segment at a time, from their first request on
 * @param sessionIdleMs    a session ends after its viewer has fetched nothing for this time
 * @param specialTitles    titles with another length, by id
 */
public record MediaHostSettings(
        Ladder ladder,
        Map<String, TrafficClass> trafficClasses,
        SlowStartPolicy slowStart,
        List<Double> rackUplinkKbPerS,
        double maxLinkUse,
        double meanSetUpMs,
        double maxRateDeviation,
        double loadRefreshMs,
        double loadNoise,
        double reportDelayMs,
        double linkReportMs,
        double segmentS,
        int segmentCount,
        int growingTitles,
        double sessionIdleMs,
        Map<Long, SpecialTitle> specialTitles) {
    /**
     * A title that differs from the usual ones.
     *
     * @param durationS its length, in seconds; its last segment is shorter where that is no multiple of a segment
     * @param segmentS  length of a segment, in seconds
     * @param topRung   highest rung that hosts have it at
     * @param damaged   whether its playlists are malformed
     */
    public record SpecialTitle(double durationS, double segmentS, int topRung, boolean damaged) {}
}
