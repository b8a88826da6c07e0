package walnutfield.hosts;

import java.net.InetSocketAddress;
import walnutfield.play.HostDescriptor;

/**
 * A host and where it is reached.
 *
 * @param address a loopback address here; it may change when the host starts anew
 */
public record HostEntry(HostDescriptor line, InetSocketAddress address) {}
