package walnutfield.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which requests were taken and which turned away, so that all copies of one fare alike. Guards against a copy that waits
 * in the queue behind one that was turned away: taken, it would be answered a second time. It forgets the eldest, which
 * harms where copies come later than so many other requests. Any thread may use it.
 */
final class Fates {
    private static final int MOST = 20_000; // 32 s, which a transaction lasts, at 600 requests a second
    private final Map<String, Boolean> taken = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST;
        }
    };

    /** True where it is to be taken: no copy was turned away. */
    synchronized boolean take(String request) {
        return taken.merge(request, true, (before, now) -> before);
    }

    /** True where it is to be turned away: no copy was taken. */
    synchronized boolean turnAway(String request) {
        return !taken.merge(request, false, (before, now) -> before);
    }
}
