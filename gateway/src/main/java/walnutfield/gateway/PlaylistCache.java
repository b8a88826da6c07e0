package walnutfield.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.hls.PlaylistReader;

/**
 * Parsed host playlists keyed by their text, so that plays of one title and rung share one. Evicts the least recently
 * used.
 */
final class PlaylistCache {
    private static final int MAX_PLAYLISTS = 512;
    private final Map<String, MediaPlaylist> playlists = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, MediaPlaylist> eldest) {
            return size() > MAX_PLAYLISTS;
        }
    };

    MediaPlaylist read(String text) throws PlaylistException {
        synchronized (playlists) {
            MediaPlaylist playlist = playlists.get(text);
            if (playlist != null) {
                return playlist;
            }
        }
        MediaPlaylist playlist = PlaylistReader.media(text);
        synchronized (playlists) {
            playlists.put(text, playlist);
        }
        return playlist;
    }
}
