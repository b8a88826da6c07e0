package walnutfield.standin;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import walnutfield.net.Clock;
import walnutfield.sip.Timers;

/** The one thread that drives viewers, callers or the hosts of calls; what goes wrong in one thing leaves the others. */
final class StandinThread implements Timers.Runner, AutoCloseable {
    private final ScheduledExecutorService timers;

    StandinThread(String name) {
        timers = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, name);
            t.setDaemon(true);
            return t;
        });
    }

    @Override
    public double now() {
        return Clock.now();
    }

    @Override
    public void at(double time, Runnable what) {
        try {
            timers.schedule(
                    () -> {
                        try {
                            what.run();
                        } catch (RuntimeException e) {
                            e.printStackTrace();
                        }
                    },
                    (long) (Math.max(0, time - now()) * 1000),
                    TimeUnit.MICROSECONDS);
        } catch (RejectedExecutionException e) {
            // the day is over
        }
    }

    void run(Runnable what) {
        at(0, what);
    }

    @Override
    public void close() {
        timers.shutdownNow();
    }
}
