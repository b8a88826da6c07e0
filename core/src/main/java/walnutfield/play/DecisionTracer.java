package walnutfield.play;

/** Receives the reasons for decisions. It has no influence on them, and without a tracer no work is done for it. */
public interface DecisionTracer {
    /**
     * A holder of the title was considered for a play.
     *
     * @param skipReason   why the host was skipped; null if it was scored
     * @param score        the design's score; NaN if the host was skipped
     * @param linkUse      estimated use of the host's link; NaN if the host was skipped
     * @param uplinkUse    estimated use of the uplink of the host's rack; NaN if the host was skipped
     * @param reportWeight weight of the host's latest load report, from 1 for a current one down to 0 for none
     */
    void candidateScored(
            PlayId play,
            HostId host,
            String skipReason,
            double score,
            double linkUse,
            double uplinkUse,
            double reportWeight);

    /** A stage of the decision passed the play on, kept it or ended it. */
    void stagePassed(PlayId play, String stage, String verdict);
}
