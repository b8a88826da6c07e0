package walnutfield.record;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.PlayId;
import walnutfield.play.Wanted;
import walnutfield.record.wire.Snapshot;

/** Where a desk stands, as far as its calls and results tell: the list, and the plays that play. */
final class Tracker {
    private static final class Known {
        final Wanted wish;
        HostId host;
        int rung;
        boolean plays;

        Known(Wanted wish) {
            this.wish = wish;
            rung = wish.band().floor();
        }
    }

    private final Map<String, HostLine> hosts = new TreeMap<>(); // emptied as hosts leave the list
    private final Map<PlayId, Known> plays = new LinkedHashMap<>(); // emptied as plays end

    void called(Call c) {
        if (c instanceof Call.ListRemembered l) {
            hosts.clear();
            l.lines().forEach(this::take);
        } else if (c instanceof Call.ListWhole l) {
            hosts.clear();
            l.lines().forEach(this::take);
        } else if (c instanceof Call.ListChanged l) {
            l.lines().forEach(this::take);
        } else if (c instanceof Call.WishTaken w) {
            plays.put(w.wish().play(), new Known(w.wish()));
        } else if (c instanceof Call.UnderWay u) {
            Known k = new Known(u.wish());
            k.host = u.host();
            k.plays = true;
            plays.put(u.wish().play(), k);
        } else if (c instanceof Call.RungTold r && plays.containsKey(r.play())) {
            plays.get(r.play()).rung = r.rung();
        } else if (c instanceof Call.Started s && plays.containsKey(s.play())) {
            plays.get(s.play()).plays = true;
        } else if (c instanceof Call.Ended e
                && (e.over() || plays.containsKey(e.play()) && plays.get(e.play()).plays)) {
            plays.remove(e.play());
        } else if (c instanceof Call.GaveUp g) {
            plays.remove(g.play());
        }
    }

    void resulted(Result r) {
        if (r instanceof Result.SetUp s && plays.containsKey(s.play())) {
            plays.get(s.play()).host = s.host();
        } else if (r instanceof Result.SetRung s && plays.containsKey(s.play())) {
            plays.get(s.play()).rung = s.rung();
        } else if (r instanceof Result.Shed s) {
            plays.remove(s.play());
        } else if (r instanceof Result.Errored e) {
            plays.remove(e.play());
        }
    }

    private void take(HostLine l) {
        if (l.standing() == HostLine.Standing.GONE) {
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
