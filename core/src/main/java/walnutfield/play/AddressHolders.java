package walnutfield.play;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which of the listed hosts holds each address. A host is identified by its id and its start, not by its address:
 * a new host may listen at the address of one that has gone, and be listed before the list tells that the other has
 * gone. At most one host holds an address: the one that started last, and of those that started at the same time the one
 * that was listed there last.
 *
 * @param <A> type of the addresses
 */
public final class AddressHolders<A> {
    private record Listing<A>(A address, double startedAt) {}

    private final Map<HostId, Listing<A>> listings = new HashMap<>(); // removed as hosts leave the list
    private final Map<A, HostId> holders = new HashMap<>(); // removed as hosts leave the list

    /**
     * Records that a host is listed, whether ready or draining. A host that is listed again as before makes no new claim
     * to its address.
     *
     * @param startedAt time of its latest start; 0 if long ago
     */
    public void listed(HostId host, A address, double startedAt) {
        Listing<A> listing = new Listing<>(address, startedAt);
        Listing<A> previous = listings.put(host, listing);
        if (listing.equals(previous)) {
            return;
        }
        if (previous != null) {
            holders.remove(previous.address(), host);
        }
        HostId holder = holders.get(address);
        if (holder == null || listings.get(holder).startedAt() <= startedAt) {
            holders.put(address, host);
        }
    }

    /** Records that a host has left the list. */
    public void removed(HostId host) {
        Listing<A> listing = listings.remove(host);
        if (listing != null) {
            holders.remove(listing.address(), host);
        }
    }

    /** Returns the host that holds the address; null if there is none. */
    public HostId holder(A address) {
        return holders.get(address);
    }

    /** Returns whether the host is listed, and another one has taken its address. */
    public boolean isSuperseded(HostId host) {
        Listing<A> listing = listings.get(host);
        return listing != null && !host.equals(holders.get(listing.address()));
    }
}
