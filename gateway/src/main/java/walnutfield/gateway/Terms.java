package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import walnutfield.net.Client;
import walnutfield.net.Limits;

/** The few settings that each part of a gateway takes. */
public final class Terms {
    private Terms() {}

    /**
     * The viewers' front.
     *
     * @param port        on loopback; 0 for any
     * @param selectors   threads that read and write
     * @param queue       wishes and figures that may wait for the desk
     * @param untakenMs   a wish that waited so long for the desk is shed untaken
     * @param joined      requests of one viewer that may wait for one play
     * @param retryAfterS told to whom finds the queue full or the gateway draining
     * @param aheadS      seconds of a play that are listed ahead of its time
     * @param idleMs      a session that nobody asks for so long is over
     */
    public record Front(
            int port,
            int selectors,
            Limits limits,
            int queue,
            double untakenMs,
            int joined,
            int retryAfterS,
            double aheadS,
            double idleMs) {}

    /**
     * The front for video calls.
     *
     * @param port      on loopback, for datagrams and streams; 0 for any
     * @param t1Ms      round trip (RFC 3261, section 17.1.1.1); T2 is 8 and T4 10 times as long
     * @param halfOpen  calls of one address that may wait for an answer or its ACK
     * @param streams   connections at a time
     * @param sessionMs a caller who is not heard of for so long is gone (RFC 4028)
     * @param probes    hosts are probed by OPTIONS
     */
    public record Sip(int port, double t1Ms, int halfOpen, int streams, double sessionMs, boolean probes) {}

    /**
     * The way to the hosts.
     *
     * @param probeMs  a probe must be answered within this
     * @param silentMs a playing play's host must say something within this
     */
    public record Hosts(Client.Terms client, int selectors, double probeMs, double silentMs) {}

    /**
     * The list of hosts.
     *
     * @param kept    file of the last list; null to keep none
     * @param retryMs a lost list service is asked again after this
     * @param learnt  file of what was learnt of the hosts; null to keep none
     */
    public record Lists(InetSocketAddress service, Path kept, double retryMs, Path learnt) {}
}
