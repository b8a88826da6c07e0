package walnutfield.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import walnutfield.desk.Call;
import walnutfield.loop.DeskThread;
import walnutfield.stitch.Schedule;

/**
 * State shared by all viewings over HLS. Confined to the desk's thread, except that any thread may read the playlists.
 */
final class HlsSessions {
    final DeskThread thread;
    final HostClient hostClient;
    final Terms.Hosts hostSettings;
    final Catalogue catalogue;
    final Inserts inserts;
    final Map<String, SessionPlaylist> playlists =
            new ConcurrentHashMap<>(); // by viewing id; removed by endIdleViewings()
    final Set<HlsViewing> playingViewings = new LinkedHashSet<>(); // removed as viewings end
    private Plays plays;
    private final String incarnation;
    private final Terms.Front frontSettings;
    private long nextViewing = 1;

    HlsSessions(
            String incarnation,
            DeskThread thread,
            HostClient hostClient,
            Terms.Front frontSettings,
            Terms.Hosts hostSettings,
            Catalogue catalogue,
            GatewayMetrics metrics) {
        this.incarnation = incarnation;
        this.thread = thread;
        this.hostClient = hostClient;
        this.frontSettings = frontSettings;
        this.hostSettings = hostSettings;
        this.catalogue = catalogue;
        inserts = new Inserts(thread, new InsertPlayControl(), metrics, this::notifyDesk);
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
        thread.at(thread.now() + frontSettings.idleMs() / 2, this::endIdleViewings);
    }

    HlsViewing newViewing(Viewing.Asked request, double admittedAt) {
        return new HlsViewing(this, request, incarnation + "-" + nextViewing++, admittedAt, frontSettings.aheadS());
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
        double idleSince = thread.now() - frontSettings.idleMs();
        for (HlsViewing viewing : new ArrayList<>(playingViewings)) {
            inserts.reportStartedInserts(viewing);
            if (!viewing.legOut && !viewing.playlist.isWhole() && viewing.playlist.lastPolledAt() < idleSince) {
                plays.leave(viewing, "viewer-idle");
            }
        }
        Set<String> playingIds = new java.util.HashSet<>();
        playingViewings.forEach(viewing -> playingIds.add(viewing.id));
        playlists
                .entrySet()
                .removeIf(entry -> entry.getValue().lastPolledAt() < idleSince && !playingIds.contains(entry.getKey()));
        thread.at(thread.now() + frontSettings.idleMs() / 2, this::endIdleViewings);
    }

    /** Carries out what inserts need from the plays and their hosts. */
    private final class InsertPlayControl implements Inserts.PlayControl {
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
            if (parent.isListening()) {
                hostClient.pauseSession(parent.address, parent.session, parent.servedRung, durationMs);
            }
        }

        @Override
        public void cancelInsertPlay(HlsViewing insertViewing) {
            plays.cancelOwnPlay(insertViewing);
        }
    }
}
