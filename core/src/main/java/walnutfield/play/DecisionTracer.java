package walnutfield.play;

/** Is told why the module chose as it did; it changes nothing, and where there is none it costs nothing. */
public interface DecisionTracer {
    /**
     * A holder was weighed for a play.
     *
     * @param not    why it was passed over; null where it was scored
     * @param score  the design's score, less what doubt takes off; NaN where it was passed over
     * @param link   reckoned use of its link
     * @param uplink reckoned use of its rack's uplink
     * @param known  weight of its latest figure, from 1 for one of now down to 0 for none
     */
    void candidateScored(PlayId play, HostId host, String not, double score, double link, double uplink, double known);

    /** A stage of the chain passed the play on, kept it or ended it. */
    void stagePassed(PlayId play, String stage, String verdict);
}
