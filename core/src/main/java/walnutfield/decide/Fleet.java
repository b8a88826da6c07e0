package walnutfield.decide;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;

/** The hosts that are listed or have own plays, by name, by cell and by rack. */
final class Fleet {
    private final Map<String, Host> hosts = new TreeMap<>(); // removed as hosts leave the list
    final Map<String, Host> hostsWithPlays = new TreeMap<>(); // hosts with own plays; removed as these end
    final Set<Host> reportedHosts = new LinkedHashSet<>(); // hosts with a load report; removed as it ages
    private final Map<Integer, Rack> racks = new TreeMap<>(); // by number
    private final Map<Integer, List<Host>> hostsByCell = new HashMap<>(); // removed as hosts leave the list
    private final int cellCount;
    private final int rackTotal;

    Fleet(int cellCount, int rackCount) {
        this.cellCount = cellCount;
        rackTotal = Math.max(1, rackCount);
    }

    Host get(HostId id) {
        return hosts.get(id.value());
    }

    Collection<Host> all() {
        return hosts.values();
    }

    Host add(HostDescriptor entry) {
        Host host = new Host(entry, rack(entry.cell()));
        host.rack.hosts.add(host);
        hostsByCell.computeIfAbsent(entry.cell(), key -> new ArrayList<>()).add(host);
        hosts.put(entry.host().value(), host);
        return host;
    }

    Rack rack(int cell) {
        return racks.computeIfAbsent(Math.floorMod(cell, rackTotal), key -> new Rack());
    }

    Map<Integer, Rack> racks() {
        return racks;
    }

    /** Removes a host that has left the list and has no own plays. */
    void removeIfGone(Host host) {
        if (host.entry.state() == HostDescriptor.LifecycleState.GONE && host.plays.isEmpty()) {
            hosts.remove(host.id.value());
            hostsByCell.getOrDefault(host.entry.cell(), List.of()).remove(host);
            reportedHosts.remove(host);
            host.rack.hosts.remove(host);
        }
    }

    /** The hosts of consecutive cells, from the first one on; all hosts where no cells are given. */
    Collection<Host> holders(int firstCell, int cells) {
        if (cellCount <= 0 || cells <= 0) {
            return hosts.values();
        }
        List<Host> holders = new ArrayList<>();
        for (int i = 0; i < Math.min(cells, cellCount); i++) {
            holders.addAll(hostsByCell.getOrDefault(Math.floorMod(firstCell + i, cellCount), List.of()));
        }
        return holders;
    }

    /** The median over hosts of a quantile of their answer times; infinite if fewer hosts than needed have answered. */
    double medianQuantile(double q, int minHosts) {
        double[] quantiles = hosts.values().stream()
                .mapToDouble(host -> host.quantile(q))
                .filter(v -> v > 0)
                .sorted()
                .toArray();
        return quantiles.length < minHosts ? Double.POSITIVE_INFINITY : quantiles[quantiles.length / 2];
    }

    void addPlay(Play play) {
        play.host.plays.add(play);
        hostsWithPlays.put(play.host.id.value(), play.host);
    }

    void removePlay(Play play) {
        play.host.plays.remove(play);
        if (play.host.plays.isEmpty()) {
            hostsWithPlays.remove(play.host.id.value());
        }
        removeIfGone(play.host);
    }
}
