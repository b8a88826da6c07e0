package walnutfield.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

/** A play request queued for the event loop: either the loop handles it or the front rejects it, never both. */
final class PendingRequest {
    final Requester requester;
    final double receivedAt;
    private final AtomicBoolean claimed = new AtomicBoolean();

    PendingRequest(Requester requester, double receivedAt) {
        this.requester = requester;
        this.receivedAt = receivedAt;
    }

    /** Claims the request; returns true for the first caller only. */
    boolean claim() {
        return claimed.compareAndSet(false, true);
    }

    boolean isClaimed() {
        return claimed.get();
    }
}
