package walnutfield.standin;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import walnutfield.sip.Flow;

/** What befalls datagrams on their way: lost, doubled, late and so out of order, as drawn. Any thread may use it. */
public final class Weather {
    private final Sky sky;
    private final SplittableRandom random;
    private final StandinThread thread;

    /**
     * @param loss   part that never arrives
     * @param twice  part that arrives twice
     * @param lateMs each is late by up to so much
     */
    public record Sky(double loss, double twice, double lateMs) {}

    Weather(Sky sky, long seed, StandinThread thread) {
        this.sky = sky;
        this.thread = thread;
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
                thread.at(thread.now() + late[i], arrives);
            }
        }
    }

    /** The same way under this weather; streams are not touched by it. */
    Flow over(Flow way) {
        return over(way, message -> {});
    }

    /** The same; what arrives is told before it goes on. */
    Flow over(Flow way, Consumer<byte[]> arrives) {
        return new Flow() {
            @Override
            public boolean isReliable() {
                return way.isReliable();
            }

            @Override
            public InetSocketAddress remote() {
                return way.remote();
            }

            @Override
            public void send(byte[] message) {
                Runnable goesOn = () -> {
                    arrives.accept(message);
                    way.send(message);
                };
                if (way.isReliable()) {
                    goesOn.run();
                } else {
                    pass(goesOn);
                }
            }
        };
    }
}
