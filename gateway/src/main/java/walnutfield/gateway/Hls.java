package walnutfield.gateway;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import walnutfield.desk.Call;
import walnutfield.loop.DeskThread;
import walnutfield.stitch.Schedule;

/** What all viewings over HLS have in common; on the desk's thread but for the playlists, which viewers fetch from any. */
final class Hls {
    final DeskThread thread;
    final HostClient hosts;
    final Terms.Hosts hostTerms;
    final Catalogue catalogue;
    final Inserts inserts;
    final Map<String, SessionPlaylist> playlists = new ConcurrentHashMap<>(); // emptied by the idle look
    final Set<HlsViewing> playing = new LinkedHashSet<>(); // emptied as viewings end
    private Plays plays;
    private final String name;
    private final Terms.Front front;
    private long next = 1;

    Hls(
            String name,
            DeskThread thread,
            HostClient hosts,
            Terms.Front front,
            Terms.Hosts hostTerms,
            Catalogue catalogue,
            Figures figures) {
        this.name = name;
        this.thread = thread;
        this.hosts = hosts;
        this.front = front;
        this.hostTerms = hostTerms;
        this.catalogue = catalogue;
        inserts = new Inserts(thread, new Stitching(), figures, this::tell);
    }

    private void tell(Call call) {
        plays.tell(call);
    }

    /** Once, before anything else. */
    void over(Plays with) {
        plays = with;
    }

    void begin() {
        inserts.begin();
        thread.at(thread.now() + front.idleMs() / 2, this::lookForIdle);
    }

    HlsViewing viewing(Viewing.Asked asked, double at) {
        return new HlsViewing(this, asked, name + "-" + next++, at, front.aheadS());
    }

    Plays plays() {
        return plays;
    }

    /** The playlist of a viewing; null where there is none of that name. Any thread may ask. */
    SessionPlaylist playlist(String id) {
        return playlists.get(id);
    }

    /** From now on these inserts are stitched into viewings that begin. */
    void schedule(Schedule next) {
        inserts.schedule(next);
    }

    /** A viewing that nobody asks for is over, and what is left of ended ones is forgotten. */
    private void lookForIdle() {
        double oldest = thread.now() - front.idleMs();
        for (HlsViewing v : new ArrayList<>(playing)) {
            inserts.begun(v);
            if (!v.legOut && !v.playlist.isWhole() && v.playlist.polledAt() < oldest) {
                plays.leave(v, "viewer-idle");
            }
        }
        Set<String> open = new java.util.HashSet<>();
        playing.forEach(v -> open.add(v.id));
        playlists.entrySet().removeIf(e -> e.getValue().polledAt() < oldest && !open.contains(e.getKey()));
        thread.at(thread.now() + front.idleMs() / 2, this::lookForIdle);
    }

    /** What inserts ask of the plays. */
    private final class Stitching implements Inserts.Host {
        @Override
        public void want(HlsViewing insert) {
            plays.want(insert);
        }

        @Override
        public void settled(HlsViewing main) {
            if (main.phase == Viewing.Phase.PLAYING) {
                plays.answerAll(main);
            }
        }

        @Override
        public void pause(HlsViewing main, double ms) {
            if (main.isListening()) {
                hosts.pause(main.address, main.session, main.servedRung, ms);
            }
        }

        @Override
        public void let(HlsViewing insert) {
            plays.let(insert);
        }
    }
}
