package walnutfield.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import walnutfield.desk.Call;
import walnutfield.loop.EventLoop;
import walnutfield.stitch.Schedule;

/**
 * State shared by all viewings over HLS. Confined to the event loop, except that any thread may read the playlists.
 */
final class HlsSessions {
    final EventLoop eventLoop;
    final HostClient hostClient;
    final GatewaySettings.Hosts hostSettings;
    final Catalogue catalogue;
    final InsertExecutor inserts;
    final Map<String, SessionPlaylist> playlists =
            new ConcurrentHashMap<>(); // by viewing id; removed by endIdleViewings()
    final Set<HlsViewing> playingViewings = new LinkedHashSet<>(); // removed as viewings end
    private Plays plays;
    private final String incarnation;
    private final GatewaySettings.Front frontSettings;
    private long nextViewing = 1;

    HlsSessions(
            String incarnation,
            EventLoop eventLoop,
            HostClient hostClient,
            GatewaySettings.Front frontSettings,
            GatewaySettings.Hosts hostSettings,
            Catalogue catalogue,
            GatewayMetrics metrics) {
        this.incarnation = incarnation;
        this.eventLoop = eventLoop;
        this.hostClient = hostClient;
        this.frontSettings = frontSettings;
        this.hostSettings = hostSettings;
        this.catalogue = catalogue;
        inserts = new InsertExecutor(eventLoop, new InsertPlayControl(), metrics, this::notifyDesk);
    }

    private void notifyDesk(Call call) {
        plays.notifyDesk(call);
    }

    /** Sets the plays; called once, before any other method. */
    void attach(Plays allPlays) {
        plays = allPlays;
    }

    void start() {
        inserts.scheduleMinuteTick();
        eventLoop.scheduleRepeatedly(frontSettings.idleTimeoutMs() / 2, this::endIdleViewings);
    }

    HlsViewing newViewing(Viewing.Request request, double admittedAt) {
        return new HlsViewing(this, request, incarnation + "-" + nextViewing++, admittedAt, frontSettings.lookaheadS());
    }

    Plays plays() {
        return plays;
    }

    /** Returns the playlist of a viewing; null if there is none with this id. Callable from any thread. */
    SessionPlaylist playlist(String id) {
        return playlists.get(id);
    }

    /** Stitches these inserts into viewings that start from now on. */
    void updateInsertSchedule(Schedule schedule) {
        inserts.updateSchedule(schedule);
    }

    /** Ends viewings whose playlist has not been requested for the idle timeout, and drops playlists of ended ones. */
    private void endIdleViewings() {
        double idleSince = eventLoop.now() - frontSettings.idleTimeoutMs();
        for (HlsViewing viewing : new ArrayList<>(playingViewings)) {
            inserts.reportStartedInserts(viewing);
            if (!viewing.legPending && !viewing.playlist.isComplete() && viewing.playlist.lastPolledAt() < idleSince) {
                plays.endViewing(viewing, "viewer-idle");
            }
        }
        Set<String> playingIds = new java.util.HashSet<>();
        playingViewings.forEach(viewing -> playingIds.add(viewing.id));
        playlists
                .entrySet()
                .removeIf(entry -> entry.getValue().lastPolledAt() < idleSince && !playingIds.contains(entry.getKey()));
    }

    /** Carries out what inserts need from the plays and their hosts. */
    private final class InsertPlayControl implements InsertExecutor.PlayControl {
        @Override
        public void requestInsertPlay(HlsViewing insertViewing) {
            plays.requestOwnPlay(insertViewing);
        }

        @Override
        public void onLeadingInsertsSettled(HlsViewing parent) {
            if (parent.phase == Viewing.Phase.PLAYING) {
                plays.answerAll(parent);
            }
        }

        @Override
        public void pauseProgramme(HlsViewing parent, double durationMs) {
            if (parent.isMonitoring()) {
                hostClient.pauseSession(parent.address, parent.sessionId, parent.confirmedRung, durationMs);
            }
        }

        @Override
        public void cancelInsertPlay(HlsViewing insertViewing) {
            plays.cancelOwnPlay(insertViewing);
        }
    }
}
