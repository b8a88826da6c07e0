package walnutfield.standin;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import walnutfield.net.Clock;
import walnutfield.sip.Timers;

/**
 * A single thread that runs the tasks of simulated viewers, callers or SIP hosts. An exception in one task does not
 * affect the others.
 */
final class StandinScheduler implements Timers.Scheduler, AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    StandinScheduler(String name) {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public double now() {
        return Clock.now();
    }

    @Override
    public Timers.Cancellation schedule(double time, Runnable task) {
        try {
            ScheduledFuture<?> future = executor.schedule(
                    () -> {
                        try {
                            task.run();
                        } catch (RuntimeException e) {
                            e.printStackTrace();
                        }
                    },
                    (long) (Math.max(0, time - now()) * 1000),
                    TimeUnit.MICROSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) { // the scheduler was closed at the end of the run
            return () -> {};
        }
    }

    void execute(Runnable task) {
        schedule(0, task);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
