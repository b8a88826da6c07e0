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

/**
 * Derives a desk's state from its calls and results, as far as these show it: the host list and the plays in
 * progress. The state is written as a snapshot after a gap in the record.
 */
final class DeskStateTracker {
    /** A play that was requested and has not ended. */
    private static final class TrackedPlay {
        final PlayRequest request;
        HostId host;
        int rung;
        boolean started;

        TrackedPlay(PlayRequest request) {
            this.request = request;
            rung = request.trafficClass().minRung();
        }
    }

    private final Map<String, HostDescriptor> hosts = new TreeMap<>(); // entries are removed as hosts leave the list
    private final Map<PlayId, TrackedPlay> plays = new LinkedHashMap<>(); // entries are removed as plays end

    void called(Call call) {
        if (call instanceof Call.PersistedHostListLoaded loaded) {
            hosts.clear();
            loaded.hosts().forEach(this::updateHost);
        } else if (call instanceof Call.HostListReplaced replaced) {
            hosts.clear();
            replaced.hosts().forEach(this::updateHost);
        } else if (call instanceof Call.HostListUpdated updated) {
            updated.hosts().forEach(this::updateHost);
        } else if (call instanceof Call.PlayRequested requested) {
            plays.put(requested.request().play(), new TrackedPlay(requested.request()));
        } else if (call instanceof Call.PlayInProgress inProgress) {
            TrackedPlay play = new TrackedPlay(inProgress.request());
            play.host = inProgress.host();
            play.started = true;
            plays.put(inProgress.request().play(), play);
        } else if (call instanceof Call.RungReported reported && plays.containsKey(reported.play())) {
            plays.get(reported.play()).rung = reported.rung();
        } else if (call instanceof Call.LegStarted started && plays.containsKey(started.play())) {
            plays.get(started.play()).started = true;
        } else if (call instanceof Call.LegEnded ended
                && (ended.playFinished() || plays.containsKey(ended.play()) && plays.get(ended.play()).started)) {
            plays.remove(ended.play());
        } else if (call instanceof Call.ViewerLeft left) {
            plays.remove(left.play());
        }
    }

    void resulted(Result result) {
        if (result instanceof Result.SetUpLeg setUp && plays.containsKey(setUp.play())) {
            plays.get(setUp.play()).host = setUp.host();
        } else if (result instanceof Result.SetRung setRung && plays.containsKey(setRung.play())) {
            plays.get(setRung.play()).rung = setRung.rung();
        } else if (result instanceof Result.ShedPlay shed) {
            plays.remove(shed.play());
        } else if (result instanceof Result.FailPlay failed) {
            plays.remove(failed.play());
        }
    }

    private void updateHost(HostDescriptor host) {
        if (host.state() == HostDescriptor.LifecycleState.GONE) {
            hosts.remove(host.host().value());
        } else {
            hosts.put(host.host().value(), host);
        }
    }

    /** Returns the listed hosts and the plays that have started and have not ended. */
    Snapshot snapshot(double timeMs) {
        return Codec.encodeSnapshot(
                timeMs,
                java.util.List.copyOf(hosts.values()),
                plays.values().stream()
                        .filter(play -> play.started && play.host != null)
                        .map(play -> Codec.encodePlayInProgress(play.request, play.host, play.rung))
                        .toList());
    }

    /** The number of plays that have been requested or are in progress. */
    int openPlays() {
        return plays.size();
    }
}
