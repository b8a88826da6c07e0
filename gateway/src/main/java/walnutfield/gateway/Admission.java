package walnutfield.gateway;

import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import walnutfield.loop.EventLoop;
import walnutfield.net.Clock;

/**
 * Passes play requests of every front to the event loop through its bounded queue, or rejects them. Thread-safe.
 */
final class Admission {
    private final EventLoop eventLoop;
    private final Plays plays;
    private final GatewaySettings.Front settings;
    private final Queue<PendingRequest> pending = new ConcurrentLinkedQueue<>(); // entries are removed by shedOverdue()
    private volatile boolean draining;

    Admission(EventLoop eventLoop, Plays plays, GatewaySettings.Front settings) {
        this.eventLoop = eventLoop;
        this.plays = plays;
        this.settings = settings;
    }

    /** Rejects all play requests from now on. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Rejects a request with the configured retry-after. */
    void reject(Requester requester) {
        requester.refuse(503, null, settings.retryAfterS() * 1000.0);
    }

    /**
     * Queues a play request for the event loop, or rejects it if that queue is full.
     *
     * @param factory creates the viewing, on the event loop, unless the request joins an open one
     */
    void admit(Requester requester, Viewing.Key key, double receivedAt, Supplier<Viewing> factory) {
        admit(requester, receivedAt, () -> plays.requestPlay(requester, key, receivedAt, factory));
    }

    /** Does the same for a request that is yet to be parsed on the event loop, by the given handler. */
    void admit(Requester requester, double receivedAt, Runnable handler) {
        PendingRequest request = new PendingRequest(requester, receivedAt);
        if (draining
                || !eventLoop.offer(() -> {
                    if (request.claim()) {
                        handler.run();
                    }
                })) {
            reject(requester);
        } else {
            pending.add(request);
        }
    }

    /**
     * Rejects requests that have waited too long for the event loop, so that none is left unanswered while that
     * loop is stalled or far behind. The cost: a request that the loop was just about to handle may be rejected.
     */
    void shedOverdue() {
        double oldest = Clock.now() - settings.queueTimeoutMs();
        for (Iterator<PendingRequest> iterator = pending.iterator(); iterator.hasNext(); ) {
            PendingRequest request = iterator.next();
            if (!request.isClaimed() && request.receivedAt > oldest) {
                continue;
            }
            iterator.remove();
            if (request.claim() && !request.requester.isDone()) {
                reject(request.requester);
            }
        }
    }
}
