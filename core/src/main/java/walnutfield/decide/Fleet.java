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

/** State: the hosts that are listed or have own plays, by name, by cell and by rack. */
final class Fleet {
    private final Map<String, Host> hosts = new TreeMap<>(); // emptied as hosts leave the list
    final Map<String, Host> busy = new TreeMap<>(); // with own plays; emptied as they end
    final Set<Host> heard = new LinkedHashSet<>(); // with a figure; emptied as figures fade
    private final Map<Integer, Rack> racks = new TreeMap<>(); // one for each rack
    private final Map<Integer, List<Host>> byCell = new HashMap<>(); // emptied as hosts leave the list
    private final int cells;
    private final int racksInAll;

    Fleet(int cells, int racks) {
        this.cells = cells;
        racksInAll = Math.max(1, racks);
    }

    Host get(HostId id) {
        return hosts.get(id.value());
    }

    Collection<Host> all() {
        return hosts.values();
    }

    Host add(HostDescriptor l) {
        Host h = new Host(l, rack(l.cell()));
        h.rack.hosts.add(h);
        byCell.computeIfAbsent(l.cell(), k -> new ArrayList<>()).add(h);
        hosts.put(l.host().value(), h);
        return h;
    }

    Rack rack(int cell) {
        return racks.computeIfAbsent(Math.floorMod(cell, racksInAll), k -> new Rack());
    }

    Map<Integer, Rack> racks() {
        return racks;
    }

    /** A host is forgotten when it is off the list and empty. */
    void drop(Host h) {
        if (h.line.state() == HostDescriptor.LifecycleState.GONE && h.plays.isEmpty()) {
            hosts.remove(h.id.value());
            byCell.getOrDefault(h.line.cell(), List.of()).remove(h);
            heard.remove(h);
            h.rack.hosts.remove(h);
        }
    }

    /** Those in so many cells in a row; all where none are told. */
    Collection<Host> holders(int first, int count) {
        if (cells <= 0 || count <= 0) {
            return hosts.values();
        }
        List<Host> found = new ArrayList<>();
        for (int i = 0; i < Math.min(count, cells); i++) {
            found.addAll(byCell.getOrDefault(Math.floorMod(first + i, cells), List.of()));
        }
        return found;
    }

    /** The median of the hosts' quantiles of answer times; without end where fewer are known. */
    double median(double q, int least) {
        double[] known = hosts.values().stream()
                .mapToDouble(h -> h.quantile(q))
                .filter(v -> v > 0)
                .sorted()
                .toArray();
        return known.length < least ? Double.POSITIVE_INFINITY : known[known.length / 2];
    }

    void put(Play p) {
        p.host.plays.add(p);
        busy.put(p.host.id.value(), p.host);
    }

    void off(Play p) {
        p.host.plays.remove(p);
        if (p.host.plays.isEmpty()) {
            busy.remove(p.host.id.value());
        }
        drop(p.host);
    }
}
