package walnutfield.net;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs a task at an interval on a thread of its own. A run that fails does not prevent the next one. */
public final class PeriodicTask implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PeriodicTask.class);

    private final ScheduledExecutorService executor;

    private PeriodicTask(ScheduledExecutorService executor) {
        this.executor = executor;
    }

    /** Starts to run the task, the first time after the interval, on a daemon thread of this name. */
    public static PeriodicTask start(String threadName, long intervalMs, Runnable task) {
        ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(runnable -> {
            Thread thread = new Thread(runnable, threadName);
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(guarded(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
        return new PeriodicTask(executor);
    }

    /**
     * Returns the task with its failures logged and errors reported: an executor drops a periodic task at its first
     * failure, and keeps the failure to itself.
     */
    static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.atError().setCause(e).log("a periodic task failed");
            } catch (Error e) {
                FatalErrors.report(e);
                throw e;
            }
        };
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
