package walnutfield.sip;

import java.util.HashSet;
import java.util.Set;

/**
 * The running timers of one transaction. Cancelled as it terminates: most are due only 64 T1 later and would keep the
 * transaction and its messages in memory until then.
 */
final class TransactionTimers {
    private final Timers timers;
    private final Set<Timers.Cancellation> running = new HashSet<>(); // removed as they fire

    TransactionTimers(Timers timers) {
        this.timers = timers;
    }

    /** Runs a task after a time unless the timers are cancelled before. */
    void after(double delayMs, Runnable task) {
        Timers.Cancellation[] timer = new Timers.Cancellation[1];
        timer[0] = timers.after(delayMs, () -> {
            running.remove(timer[0]);
            task.run();
        });
        running.add(timer[0]);
    }

    void cancel() {
        running.forEach(Timers.Cancellation::cancel);
        running.clear();
    }
}
