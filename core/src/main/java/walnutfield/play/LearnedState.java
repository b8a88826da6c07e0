package walnutfield.play;

import java.util.List;

/**
 * What a gateway has learnt of hosts and uplinks that still means the same to its next life: facts of others, never
 * of its own load, plays, seats or reports.
 *
 * @param at      when this was so
 * @param life    usual length of a play, in ms
 * @param uplinks what was found of racks
 * @param hosts   hosts that were in doubt or cold
 */
@PrintedName("Learnt")
public record LearnedState(double at, double life, List<UplinkCorrection> uplinks, List<HostHealth> hosts) {
    public static final LearnedState NOTHING = new LearnedState(0, 0, List.of(), List.of());

    public LearnedState {
        uplinks = List.copyOf(uplinks);
        hosts = List.copyOf(hosts);
    }

    /**
     * An uplink that differs from what is told of it.
     *
     * @param rack   its number
     * @param narrow its use over what its links and told size let guess
     */
    @PrintedName("Uplink")
    public record UplinkCorrection(int rack, double narrow) {}

    /**
     * A host that was in doubt or cold.
     *
     * @param launched  its start as listed: what is known of another life of it is void
     * @param suspect   failed, was lost or slow
     * @param silent    gave no answer
     * @param retryAt   not to be tried before
     * @param coldSince reckoned as started then; 0 for long ago
     */
    @PrintedName("Doubted")
    public record HostHealth(
            HostId host,
            @PrintedName("launched") double startedAt,
            @PrintedName("suspect") boolean outlier,
            @PrintedName("silent") boolean unresponsive,
            double retryAt,
            double coldSince) {}
}
