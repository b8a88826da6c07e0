package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import walnutfield.net.Client;
import walnutfield.net.Limits;

/** Settings of a gateway, grouped by the component that uses them. */
public final class GatewaySettings {
    private GatewaySettings() {}

    /**
     * Settings of the HTTP front for viewers.
     *
     * @param port              on loopback; 0 for any
     * @param selectorThreads   threads that read and write
     * @param maxQueued         play requests and load reports that may wait for the desk
     * @param queueTimeoutMs    a play request that has waited this long for the desk is rejected without being admitted
     * @param maxJoinedRequests requests of one viewer that may wait for one play
     * @param retryAfterS       sent to viewers who find the queue full or the gateway draining
     * @param lookaheadS        seconds of a play that are listed ahead of its playback time
     * @param idleTimeoutMs     a session whose playlist is not requested for this long ends
     */
    public record Front(
            int port,
            int selectorThreads,
            Limits limits,
            int maxQueued,
            double queueTimeoutMs,
            int maxJoinedRequests,
            int retryAfterS,
            double lookaheadS,
            double idleTimeoutMs) {}

    /**
     * Settings of the SIP front for video calls.
     *
     * @param port                  on loopback, for UDP and TCP; 0 for any
     * @param t1Ms                  round-trip time T1 (RFC 3261, section 17.1.1.1); T2 is 8 and T4 10 times as long
     * @param maxHalfOpenPerAddress calls of one address that may wait for an answer or its ACK
     * @param maxConnections        concurrent TCP connections
     * @param sessionTimeoutMs      a caller from whom nothing is received for this long is gone (RFC 4028)
     * @param probesHosts           whether hosts are probed by OPTIONS
     */
    public record Sip(
            int port,
            double t1Ms,
            int maxHalfOpenPerAddress,
            int maxConnections,
            double sessionTimeoutMs,
            boolean probesHosts) {}

    /**
     * Settings of the connections to media hosts.
     *
     * @param probeTimeoutMs   a probe must be answered within this time
     * @param silenceTimeoutMs the host of a playing play must send something within this time
     */
    public record Hosts(Client.Settings client, int selectorThreads, double probeTimeoutMs, double silenceTimeoutMs) {}

    /**
     * Settings of the host list.
     *
     * @param persistedListFile file with the last list; null to persist none
     * @param retryDelayMs      delay before reconnecting to a lost list service
     * @param learnedStateFile  file with the state learned about the hosts; null to persist none
     */
    public record Lists(
            InetSocketAddress service, Path persistedListFile, double retryDelayMs, Path learnedStateFile) {}
}
