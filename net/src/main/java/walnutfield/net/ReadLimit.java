package walnutfield.net;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds what has been read from one connection and waits to be processed. Beyond the limit the connection is not read
 * until half of it is processed, so that a peer that sends faster than that is slowed down by TCP, at the cost of nobody
 * else. What waits is added and the connection paused on its I/O thread; any thread may remove what was processed.
 */
public final class ReadLimit {
    private final int limit;
    private final Runnable pauseReading;
    private final Runnable resumeReading;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicBoolean paused = new AtomicBoolean();

    /**
     * @param limit         amount from which on nothing more is to be read, in any unit
     * @param pauseReading  stops reading the connection
     * @param resumeReading reads on, with what was received before the pause; runs once for each pause, on the thread
     *                      that removed what was processed
     */
    public ReadLimit(int limit, Runnable pauseReading, Runnable resumeReading) {
        this.limit = limit;
        this.pauseReading = pauseReading;
        this.resumeReading = resumeReading;
    }

    public boolean isReached() {
        return waiting.get() >= limit;
    }

    /** Records that this much waits to be processed. */
    public void add(int amount) {
        waiting.addAndGet(amount);
    }

    /** Records that this much was processed. */
    public void remove(int amount) {
        resumeIfDrained(waiting.addAndGet(-amount));
    }

    /** Stops reading the connection until half of the limit is free. */
    public void pause() {
        pauseReading.run();
        paused.set(true);
        resumeIfDrained(waiting.get()); // everything may have been processed meanwhile
    }

    private void resumeIfDrained(int left) {
        if (left <= limit / 2 && paused.compareAndSet(true, false)) {
            resumeReading.run();
        }
    }
}
