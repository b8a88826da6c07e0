package walnutfield.play;

import java.util.List;

/**
 * What a gateway process has learned of hosts and uplinks and that stays valid for the next process; never its own
 * load, plays, seats or reports.
 *
 * @param at      time of this state
 * @param life    average duration of a play, in ms
 * @param uplinks corrections of the uplinks of racks
 * @param hosts   hosts that were outliers or in slow start
 */
@PrintedName("Learnt")
public record LearnedState(
        double at, @PrintedName("life") double averagePlayMs, List<UplinkCorrection> uplinks, List<HostHealth> hosts) {
    public static final LearnedState NOTHING = new LearnedState(0, 0, List.of(), List.of());

    public LearnedState {
        uplinks = List.copyOf(uplinks);
        hosts = List.copyOf(hosts);
    }

    /**
     * Correction of an uplink whose use differs from the assumed one.
     *
     * @param rack   number of the rack
     * @param narrow factor of the reported use over the use assumed from the rack's links and configured uplink rate
     */
    @PrintedName("Uplink")
    public record UplinkCorrection(
            int rack, @PrintedName("narrow") double factor) {}

    /**
     * A host that was an outlier or in slow start.
     *
     * @param startedAt    start time of the host as listed; this state is void once the host has restarted
     * @param outlier      whether the host failed, was lost or was slow
     * @param unresponsive whether the host gave no answer
     * @param retryAt      time before which the host is not tried again
     * @param coldSince    time from which the host is in slow start; 0 for long ago
     */
    @PrintedName("Doubted")
    public record HostHealth(
            HostId host,
            @PrintedName("launched") double startedAt,
            @PrintedName("suspect") boolean outlier,
            @PrintedName("silent") boolean unresponsive,
            double retryAt,
            @PrintedName("coldSince") double slowStartSince) {}
}
