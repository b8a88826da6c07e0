package walnutfield.resume;

import walnutfield.play.TrafficClass;

/**
 * Decides whether a play that lost its host while playing is recovered by the gateway, as a new request for the same
 * viewer. Without recovery the viewer is left with a playlist that never grows. Paid plays are never recovered, as they
 * must not be set up a second time without the viewer asking. The drawback: where the host was only slow to answer, the
 * play leaves a host that still serves it.
 */
public final class RecoveryPolicy {
    private static final int MAX_RECOVERIES = 3; // per play; each costs the fleet one set-up
    private static final double MIN_RECOVERY_GAP_MS = 500; // a play lost sooner than this has lost its next host too

    private RecoveryPolicy() {}

    /**
     * Whether the play is to be requested anew.
     *
     * @param priorRecoveries recoveries of this play so far
     * @param sinceStartMs    time since the play last started
     * @param unlistedMs      length of the rest that has not been listed for the viewer yet
     */
    public static boolean shouldRecover(
            TrafficClass trafficClass, int priorRecoveries, double sinceStartMs, double unlistedMs) {
        return !trafficClass.paid()
                && priorRecoveries < MAX_RECOVERIES
                && unlistedMs > 0
                && (priorRecoveries == 0 || sinceStartMs >= MIN_RECOVERY_GAP_MS);
    }
}
