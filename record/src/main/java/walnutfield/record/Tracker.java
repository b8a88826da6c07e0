package walnutfield.record;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.record.wire.Snapshot;

/** Where a desk stands, as far as its calls and results tell: the list, and the plays that play. */
final class Tracker {
    private static final class Known {
        final PlayRequest wish;
        HostId host;
        int rung;
        boolean plays;

        Known(PlayRequest wish) {
            this.wish = wish;
            rung = wish.trafficClass().minRung();
        }
    }

    private final Map<String, HostDescriptor> hosts = new TreeMap<>(); // emptied as hosts leave the list
    private final Map<PlayId, Known> plays = new LinkedHashMap<>(); // emptied as plays end

    void called(Call c) {
        if (c instanceof Call.PersistedHostListLoaded l) {
            hosts.clear();
            l.lines().forEach(this::take);
        } else if (c instanceof Call.HostListReplaced l) {
            hosts.clear();
            l.lines().forEach(this::take);
        } else if (c instanceof Call.HostListUpdated l) {
            l.lines().forEach(this::take);
        } else if (c instanceof Call.PlayRequested w) {
            plays.put(w.request().play(), new Known(w.request()));
        } else if (c instanceof Call.PlayInProgress u) {
            Known k = new Known(u.request());
            k.host = u.host();
            k.plays = true;
            plays.put(u.request().play(), k);
        } else if (c instanceof Call.RungReported r && plays.containsKey(r.play())) {
            plays.get(r.play()).rung = r.rung();
        } else if (c instanceof Call.LegStarted s && plays.containsKey(s.play())) {
            plays.get(s.play()).plays = true;
        } else if (c instanceof Call.LegEnded e
                && (e.over() || plays.containsKey(e.play()) && plays.get(e.play()).plays)) {
            plays.remove(e.play());
        } else if (c instanceof Call.ViewerLeft g) {
            plays.remove(g.play());
        }
    }

    void resulted(Result r) {
        if (r instanceof Result.SetUpLeg s && plays.containsKey(s.play())) {
            plays.get(s.play()).host = s.host();
        } else if (r instanceof Result.SetRung s && plays.containsKey(s.play())) {
            plays.get(s.play()).rung = s.rung();
        } else if (r instanceof Result.ShedPlay s) {
            plays.remove(s.play());
        } else if (r instanceof Result.FailPlay e) {
            plays.remove(e.play());
        }
    }

    private void take(HostDescriptor l) {
        if (l.state() == HostDescriptor.LifecycleState.GONE) {
            hosts.remove(l.host().value());
        } else {
            hosts.put(l.host().value(), l);
        }
    }

    Snapshot snapshot(double time) {
        return Codec.snapshot(
                time,
                java.util.List.copyOf(hosts.values()),
                plays.values().stream()
                        .filter(k -> k.plays && k.host != null)
                        .map(k -> Codec.underWay(k.wish, k.host, k.rung))
                        .toList());
    }

    int open() {
        return plays.size();
    }
}
