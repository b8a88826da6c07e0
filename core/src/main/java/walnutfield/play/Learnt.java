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
public record Learnt(double at, double life, List<Uplink> uplinks, List<Doubted> hosts) {
    public static final Learnt NOTHING = new Learnt(0, 0, List.of(), List.of());

    public Learnt {
        uplinks = List.copyOf(uplinks);
        hosts = List.copyOf(hosts);
    }

    /**
     * An uplink that differs from what is told of it.
     *
     * @param rack   its number
     * @param narrow its use over what its links and told size let guess
     */
    public record Uplink(int rack, double narrow) {}

    /**
     * A host that was in doubt or cold.
     *
     * @param launched  its start as listed: what is known of another life of it is void
     * @param suspect   failed, was lost or slow
     * @param silent    gave no answer
     * @param retryAt   not to be tried before
     * @param coldSince reckoned as started then; 0 for long ago
     */
    public record Doubted(
            HostId host, double launched, boolean suspect, boolean silent, double retryAt, double coldSince) {}
}
