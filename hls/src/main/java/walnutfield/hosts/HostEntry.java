package walnutfield.hosts;

import java.net.InetSocketAddress;
import walnutfield.play.HostDescriptor;

/**
 * An entry of the host list: the description of a host and the address at which it is reached.
 *
 * @param address a loopback address in this system; may change when the host restarts
 */
public record HostEntry(HostDescriptor descriptor, InetSocketAddress address) {}
