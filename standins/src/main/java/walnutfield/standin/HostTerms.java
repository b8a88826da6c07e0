package walnutfield.standin;

import java.util.List;
import java.util.Map;
import walnutfield.play.Ladder;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;

/**
 * How media hosts behave.
 *
 * @param rackKb    uplink of each rack, kB a second
 * @param guard     use over which set-ups are turned away; 0 for none
 * @param workMs    a set-up takes so long
 * @param offLadder true rates are off the ladder's by this part at most
 * @param refreshMs load figures are made anew so often
 * @param noise     and are off by this part at most
 * @param lateMs    what is told of playing plays is so late
 * @param tellMs    link figures of playing plays come so often; 0 for never
 * @param segmentS  length of a segment
 * @param segments  of a title
 * @param growing   titles from the first on that grow, a segment at a time, from when they are first asked for
 * @param pieces    titles of another length, by id
 * @param idleMs    a session whose viewer fetches nothing for so long is over
 */
public record HostTerms(
        Ladder ladder,
        Map<String, TrafficClass> bands,
        SlowStartPolicy cold,
        List<Double> rackKb,
        double guard,
        double workMs,
        double offLadder,
        double refreshMs,
        double noise,
        double lateMs,
        double tellMs,
        double segmentS,
        int segments,
        int growing,
        double idleMs,
        Map<Long, Piece> pieces) {
    /**
     * A title that is not like the others.
     *
     * @param durationS its length; its last segment is the shorter
     * @param topRung   highest rung that it is held at
     * @param damaged   its playlists are no playlists
     */
    public record Piece(double durationS, double segmentS, int topRung, boolean damaged) {}
}
