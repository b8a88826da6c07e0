package walnutfield.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.hls.PlaylistReader;

/** Playlists of hosts by their text, so that plays of one title and rung share one; the oldest unused goes first. */
final class PlaylistCache {
    private static final int MOST = 512;
    private final Map<String, MediaPlaylist> known = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MediaPlaylist> eldest) {
            return size() > MOST;
        }
    };

    MediaPlaylist read(String text) throws PlaylistException {
        synchronized (known) {
            MediaPlaylist p = known.get(text);
            if (p != null) {
                return p;
            }
        }
        MediaPlaylist p = PlaylistReader.media(text);
        synchronized (known) {
            known.put(text, p);
        }
        return p;
    }
}
