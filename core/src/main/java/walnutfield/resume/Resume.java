package walnutfield.resume;

import walnutfield.play.TrafficClass;

/**
 * Decides whether a play that broke off while it played comes back by itself, as a new wish of the same viewer.
 * Guards against a viewer left with a list that never grows, and against paid plays set up a second time without
 * the viewer asking. It harms where the host was only slow to speak: the play then leaves a host that still
 * serves it.
 */
public final class Resume {
    private static final int MOST = 3; // comebacks of one play: each costs the fleet a set-up
    private static final double GAP_MS = 500; // no two of a play come closer: the next host is lost too

    private Resume() {}

    /**
     * @param before     comebacks of this play so far
     * @param sinceMs    since it last began to play
     * @param unlistedMs what of it the viewer has not been listed yet
     */
    public static boolean comesBack(TrafficClass band, int before, double sinceMs, double unlistedMs) {
        return !band.paid() && before < MOST && unlistedMs > 0 && (before == 0 || sinceMs >= GAP_MS);
    }
}
