package walnutfield.sip;

/**
 * The timer values of RFC 3261 (section 17 and table 4) and the scheduler that runs them.
 *
 * @param t1        estimate of the round-trip time in ms: 500 where nothing else is known
 * @param t2        longest interval between two retransmissions in ms, except those of an INVITE
 * @param t4        longest time that a message stays in the network in ms
 * @param scheduler runs the timers
 */
public record Timers(double t1, double t2, double t4, Scheduler scheduler) {
    /** Clock and scheduler; tasks run on the one thread that uses the transactions. */
    public interface Scheduler {
        /** The current time in ms. */
        double now();

        /** Runs a task at a time of this clock unless it is cancelled before. */
        Cancellation schedule(double time, Runnable task);
    }

    /** Cancels a scheduled task, which is not kept in memory after that. */
    public interface Cancellation {
        void cancel();
    }

    /** Timers with T2 = 8 T1 and T4 = 10 T1, the ratios of the default values. */
    public static Timers of(double t1, Scheduler scheduler) {
        return new Timers(t1, 8 * t1, 10 * t1, scheduler);
    }

    /** The duration of timers B, D, F, H, J, L and M: 64 T1. */
    double timeout64T1() {
        return 64 * t1;
    }

    /** Runs a task after a time. */
    Cancellation after(double delayMs, Runnable task) {
        return scheduler.schedule(scheduler.now() + delayMs, task);
    }
}
