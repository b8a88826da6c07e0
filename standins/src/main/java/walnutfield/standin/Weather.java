package walnutfield.standin;

import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** What befalls datagrams on their way: lost, doubled, late and so out of order, as drawn. Any thread may use it. */
public final class Weather {
    private final Sky sky;
    private final SplittableRandom random;
    private final ScheduledExecutorService timers;

    /**
     * @param loss   part that never arrives
     * @param twice  part that arrives twice
     * @param lateMs each is late by up to so much
     */
    public record Sky(double loss, double twice, double lateMs) { }

    Weather(Sky sky, long seed, ScheduledExecutorService timers) {
        this.sky = sky;
        this.timers = timers;
        random = new SplittableRandom(seed);
    }

    /** Runs it none, one or two times, now or a little later. */
    void pass(Runnable arrives) {
        int copies;
        double[] late = new double[2];
        synchronized (random) {
            copies = random.nextDouble() < sky.loss() ? 0 : random.nextDouble() < sky.twice() ? 2 : 1;
            late[0] = random.nextDouble() * sky.lateMs();
            late[1] = random.nextDouble() * sky.lateMs();
        }
        for (int i = 0; i < copies; i++) {
            if (late[i] < 1) {
                arrives.run();
            } else {
                try {
                    timers.schedule(arrives, (long) (late[i] * 1000), TimeUnit.MICROSECONDS);
                } catch (java.util.concurrent.RejectedExecutionException e) {
                    return; // the day is over
                }
            }
        }
    }
}
