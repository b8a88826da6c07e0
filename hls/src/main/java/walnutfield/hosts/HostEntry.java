package walnutfield.hosts;

import java.net.InetSocketAddress;
import walnutfield.play.HostLine;

/**
 * A host and where it is reached.
 *
 * @param address a loopback address here; it may change when the host starts anew
 */
public record HostEntry(HostLine line, InetSocketAddress address) {}
