package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import walnutfield.net.Client;
import walnutfield.net.Limits;

/** The few settings that each part of a gateway takes. */
public final class Terms {
    private Terms() { }

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
    public record Front(int port, int selectors, Limits limits, int queue, double untakenMs, int joined, int retryAfterS,
                        double aheadS, double idleMs) { }

    /**
     * The way to the hosts.
     *
     * @param probeMs  a probe must be answered within this
     * @param silentMs a playing play's host must say something within this
     */
    public record Hosts(Client.Terms client, int selectors, double probeMs, double silentMs) { }

    /**
     * The list of hosts.
     *
     * @param kept    file of the last list; null to keep none
     * @param retryMs a lost list service is asked again after this
     */
    public record Lists(InetSocketAddress service, Path kept, double retryMs) { }
}
