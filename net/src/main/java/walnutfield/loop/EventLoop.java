package walnutfield.loop;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.net.Clock;

/**
 * The event loop of a gateway: the single thread that owns the desk and its sessions. Other threads post events to it.
 * Play requests and reports of hosts are refused when too many are queued. Events of legs are never refused, since
 * their number is bounded by the number of legs.
 */
public final class EventLoop {
    /** Receives, on the event loop, how long each event waited in the queue and how long it ran. */
    public interface LatencyListener {
        void eventProcessed(double waitMs, double runMs);
    }

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final long MAX_IDLE_WAIT_MS = 1000;
    private static final long MAX_STOP_WAIT_MS = 2000;
    private static final double MIN_STALL_MS = 50; // a turn that takes longer than this may have been a process stall

    /** A task that waits for its time. Used on the event loop only. */
    public final class Timer {
        private final double dueAt;
        private final long sequence;
        private final Runnable task;

        private Timer(double dueAt, long sequence, Runnable task) {
            this.dueAt = dueAt;
            this.sequence = sequence;
            this.task = task;
        }

        /**
         * Cancels the task unless it has run. The event loop then keeps no reference to it, so that what the task would
         * use can be freed before its time.
         */
        public void cancel() {
            timers.remove(this);
        }
    }

    private record PostedTask(double postedAt, Runnable task) {}

    private final LinkedBlockingQueue<PostedTask> queue = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final AtomicInteger queuedOffers = new AtomicInteger();
    private final TreeSet<Timer> timers = // ordered, so that a cancelled timer is removed without a search
            new TreeSet<>(
                    Comparator.<Timer>comparingDouble(timer -> timer.dueAt).thenComparingLong(timer -> timer.sequence));
    private final int maxQueuedOffers;
    private final LatencyListener latencyListener;
    private final Thread thread;
    private long nextTimerSequence;
    private double now = Clock.now();
    private double lastTurnAt = Clock.now(); // when the latest turn of the loop began
    private volatile Runnable stallListener = () -> {};
    private volatile boolean stopped;

    /**
     * @param maxQueuedOffers play requests and host reports that may be queued at the same time
     */
    public EventLoop(String name, int maxQueuedOffers, LatencyListener latencyListener) {
        this.latencyListener = latencyListener;
        this.maxQueuedOffers = maxQueuedOffers;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /**
     * Sets a listener that is called on the event loop after a possible stall of the process, before anything else is
     * run. It may wait, for a short time, until what arrived during the stall has been read: urgent events among it are
     * then run first. Otherwise a timer that is due could act on a host list that is out of date.
     */
    public void onStall(Runnable listener) {
        stallListener = listener;
    }

    /** Queues an event that must not be lost. */
    public void post(Runnable task) {
        queue.add(new PostedTask(Clock.now(), task));
    }

    /**
     * Queues an event that overtakes all queued events; used for updates of the host list. In a long queue, or after a
     * process stall, play requests queued ahead of an update would otherwise be sent to a host that is already
     * draining. This delays nothing noticeably, since such updates are rare.
     */
    public void postUrgent(Runnable task) {
        urgent.add(task);
        queue.add(new PostedTask(Clock.now(), () -> {})); // wakes up the thread
    }

    /**
     * Queues an event that may be refused.
     *
     * @return false if it was refused because too many such events are queued
     */
    public boolean offer(Runnable task) {
        if (queuedOffers.incrementAndGet() > maxQueuedOffers) {
            queuedOffers.decrementAndGet();
            return false;
        }
        post(() -> {
            queuedOffers.decrementAndGet();
            task.run();
        });
        return true;
    }

    /**
     * Runs the task at the given time. To be called on the event loop only.
     *
     * @return the timer, to be cancelled once the task has become pointless
     */
    public Timer schedule(double time, Runnable task) {
        Timer timer = new Timer(time, nextTimerSequence++, task);
        timers.add(timer);
        return timer;
    }

    /**
     * Runs the task at an interval from now on. A run that fails does not prevent the next one. To be called on the
     * event loop only.
     */
    public void scheduleRepeatedly(double intervalMs, Runnable task) {
        schedule(now + intervalMs, () -> {
            scheduleRepeatedly(intervalMs, task);
            task.run();
        });
    }

    /** Returns the number of timers that wait for their time. To be called on the event loop only. */
    public int pendingTimers() {
        return timers.size();
    }

    /** Returns the time at which the current event was taken from the queue. */
    public double now() {
        return now;
    }

    /** Returns whether the process may have stood still since the current event was taken from the queue. */
    public boolean isStalled() {
        return Clock.now() - now > MIN_STALL_MS;
    }

    public int queueSize() {
        return queue.size();
    }

    /**
     * Evaluates the query, whose result is never negative, on the event loop and waits for it. To be called on other
     * threads.
     *
     * @return the result, or -1 if the event loop did not evaluate the query within the timeout
     */
    public int evaluate(IntSupplier query, long timeoutMs) {
        CountDownLatch done = new CountDownLatch(1);
        int[] result = new int[1];
        post(() -> {
            result[0] = query.getAsInt();
            done.countDown();
        });
        try {
            return done.await(timeoutMs, TimeUnit.MILLISECONDS) ? result[0] : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Stops the thread; the desk is not called any more once this returns. */
    public void stop() {
        stopped = true;
        thread.interrupt();
        try {
            thread.join(MAX_STOP_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs events and timers in the order of their times, so that after a process stall a response that arrived in time
     * is processed before the timeout of its leg.
     */
    private void run() {
        PostedTask next = null; // taken from the queue but not run yet
        while (!stopped) {
            double waitMs = next == null ? idleWaitMs() : 0;
            if (next == null) {
                try {
                    next = queue.poll((long) (waitMs * 1e6), TimeUnit.NANOSECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
            reportStall(waitMs);
            for (Runnable urgentTask = urgent.poll(); urgentTask != null; urgentTask = urgent.poll()) {
                now = Clock.now();
                runGuarded(urgentTask);
            }
            now = Clock.now();
            Timer timer = timers.isEmpty() ? null : timers.first();
            if (timer != null && timer.dueAt <= now && (next == null || timer.dueAt <= next.postedAt())) {
                timers.remove(timer);
                runGuarded(timer.task);
            } else if (next != null) {
                PostedTask event = next;
                next = null;
                runGuarded(event.task());
                runGuarded(() -> latencyListener.eventProcessed(now - event.postedAt(), Clock.now() - now));
            }
        }
    }

    private void reportStall(double waitMs) {
        if (Clock.now() - lastTurnAt > waitMs + MIN_STALL_MS) {
            runGuarded(stallListener);
        }
        lastTurnAt = Clock.now();
    }

    /** Returns how long to wait for an event: until the next timer is due, within limits. */
    private double idleWaitMs() {
        if (timers.isEmpty()) {
            return MAX_IDLE_WAIT_MS;
        }
        return Math.max(0, Math.min(MAX_IDLE_WAIT_MS, timers.first().dueAt - Clock.now()));
    }

    /**
     * Runs a task. A fault in one event must not end the gateway; an {@link Error} ends the thread, and the process if
     * {@link walnutfield.net.FatalErrors} says so, since the state behind it is unknown.
     */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.atError().setCause(e).log("an event failed");
        }
    }
}
