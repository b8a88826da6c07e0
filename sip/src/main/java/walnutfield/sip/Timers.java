package walnutfield.sip;

/**
 * The times of RFC 3261, section 17 (table 4), and what they are run by.
 *
 * @param t1 round trip, ms: 500 where nothing else is known
 * @param t2 the longest time between two copies of a request, ms
 * @param t4 a message stays in the network so long, ms
 */
public record Timers(double t1, double t2, double t4, Runner runner) {
    /** Runs things later, all on the one thread that uses the transactions. */
    public interface Runner {
        double now();

        void at(double time, Runnable what);
    }

    /** With T2 of 8 and T4 of 10 round trips, as the defaults stand to each other. */
    public static Timers of(double t1, Runner runner) {
        return new Timers(t1, 8 * t1, 10 * t1, runner);
    }

    /** B, F, H, J: 64 times the round trip. */
    double long64() {
        return 64 * t1;
    }

    void in(double ms, Runnable what) {
        runner.at(runner.now() + ms, what);
    }
}
