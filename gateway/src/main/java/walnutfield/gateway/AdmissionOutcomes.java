package walnutfield.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers which requests were admitted and which rejected, so that all copies of a request get the same outcome.
 * Otherwise a copy that waits in the queue behind a rejected one could be admitted and so be answered a second time.
 * The oldest entries are evicted, so a copy that arrives after {@link #MAX_REQUESTS} other requests is not recognized.
 * Thread-safe.
 */
final class AdmissionOutcomes {
    private static final int MAX_REQUESTS = 20_000; // the 32 s lifetime of a SIP transaction at 600 requests/s
    private final Map<String, Boolean> outcomes = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_REQUESTS;
        }
    };

    /** Returns whether the request is admitted, which holds unless a copy of it was rejected. */
    synchronized boolean admit(String request) {
        return outcomes.merge(request, true, (previous, current) -> previous);
    }

    /** Returns whether the request is rejected, which holds unless a copy of it was admitted. */
    synchronized boolean reject(String request) {
        return !outcomes.merge(request, false, (previous, current) -> previous);
    }
}
