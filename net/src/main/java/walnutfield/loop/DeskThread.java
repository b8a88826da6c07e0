package walnutfield.loop;

import java.util.Comparator;
import java.util.PriorityQueue;
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
 * The one thread that owns a gateway's desk and its sessions. Others post to it. Wishes and figures are refused
 * where too much waits; what becomes of legs never is, as there is at most so much of it as there are legs.
 */
public final class DeskThread {
    /** Is told, on the thread, how long each event waited and ran. */
    public interface Times {
        void event(double waitMs, double runMs);
    }

    private static final Logger LOG = LoggerFactory.getLogger(DeskThread.class);
    private static final long IDLE_MS = 1000;
    private static final long STOP_MS = 2000;

    private record Timer(double at, long order, Runnable what) {}

    private record Posted(double at, Runnable what) {}

    private final LinkedBlockingQueue<Posted> queue = new LinkedBlockingQueue<>();
    private final ConcurrentLinkedQueue<Runnable> urgent = new ConcurrentLinkedQueue<>();
    private final AtomicInteger refusable = new AtomicInteger();
    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(Timer::at).thenComparingLong(Timer::order));
    private final int most;
    private final Times times;
    private final Thread thread;
    private long order;
    private double now = Clock.now();
    private volatile boolean stopped;

    /**
     * @param most wishes and figures that may wait
     */
    public DeskThread(String name, int most, Times times) {
        this.times = times;
        this.most = most;
        thread = new Thread(this::run, name);
        thread.setDaemon(true);
    }

    public void start() {
        thread.start();
    }

    /** For what must not be lost. */
    public void post(Runnable what) {
        queue.add(new Posted(Clock.now(), what));
    }

    /**
     * For what overtakes all that waits. Guards against wishes sent to a host that drains, because they waited before
     * the list's word in a long queue or through a stall; it harms nothing, as lists are rare.
     */
    public void postFirst(Runnable what) {
        urgent.add(what);
        queue.add(new Posted(Clock.now(), () -> {})); // wakes the thread
    }

    /** For what may be refused; false where it was. */
    public boolean offer(Runnable what) {
        if (refusable.incrementAndGet() > most) {
            refusable.decrementAndGet();
            return false;
        }
        post(() -> {
            refusable.decrementAndGet();
            what.run();
        });
        return true;
    }

    /** On this thread only: runs it at that time. */
    public void at(double time, Runnable what) {
        timers.add(new Timer(time, order++, what));
    }

    /** The time at which the present event was taken from the queue. */
    public double now() {
        return now;
    }

    public int waiting() {
        return queue.size();
    }

    /** From another thread: what holds on this one, which is never negative; -1 where it does not come to it in time. */
    public int ask(IntSupplier what, long mostMs) {
        CountDownLatch done = new CountDownLatch(1);
        int[] answer = new int[1];
        post(() -> {
            answer[0] = what.getAsInt();
            done.countDown();
        });
        try {
            return done.await(mostMs, TimeUnit.MILLISECONDS) ? answer[0] : -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    /** Ends it; the desk has had its last call when this returns. */
    public void stop() {
        stopped = true;
        thread.interrupt();
        try {
            thread.join(STOP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Events and timers run in the order of their times, so that after a stall an answer that came in time is seen
     * before the end of its leg's patience.
     */
    private void run() {
        Posted next = null; // taken from the queue and not yet run
        while (!stopped) {
            Timer timer = timers.peek();
            if (next == null) {
                double wait = timer == null ? IDLE_MS : Math.min(IDLE_MS, timer.at() - Clock.now());
                try {
                    next = queue.poll((long) (Math.max(0, wait) * 1e6), TimeUnit.NANOSECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
            for (Runnable first = urgent.poll(); first != null; first = urgent.poll()) {
                now = Clock.now();
                guarded(first);
            }
            now = Clock.now();
            if (timer != null && timer.at() <= now && (next == null || timer.at() <= next.at())) {
                timers.remove(timer);
                guarded(timer.what());
            } else if (next != null) {
                Posted event = next;
                next = null;
                guarded(event.what());
                times.event(now - event.at(), Clock.now() - now);
            }
        }
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException e) { // one event's fault must not end the gateway
            LOG.atError().setCause(e).log("an event failed");
        }
    }
}
