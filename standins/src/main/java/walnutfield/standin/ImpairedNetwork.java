package walnutfield.standin;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import walnutfield.sip.Flow;

/**
 * Simulates an impaired network for datagrams: drops, duplicates and delays them at random, which also reorders them.
 * Thread-safe.
 */
public final class ImpairedNetwork {
    private final Impairments impairments;
    private final SplittableRandom random;
    private final StandinScheduler scheduler;

    /**
     * The impairments of a network.
     *
     * @param lossRatio      share of datagrams that never arrive
     * @param duplicateRatio share of the remaining datagrams that arrive twice
     * @param maxDelayMs     upper limit of the random delay of each datagram
     */
    public record Impairments(double lossRatio, double duplicateRatio, double maxDelayMs) {}

    ImpairedNetwork(Impairments impairments, long seed, StandinScheduler scheduler) {
        this.impairments = impairments;
        this.scheduler = scheduler;
        random = new SplittableRandom(seed);
    }

    /** Runs the delivery of one datagram: not at all, once or twice, immediately or after a delay. */
    void deliver(Runnable delivery) {
        int copies;
        double[] delayMs = new double[2];
        synchronized (random) {
            copies = random.nextDouble() < impairments.lossRatio()
                    ? 0
                    : random.nextDouble() < impairments.duplicateRatio() ? 2 : 1;
            delayMs[0] = random.nextDouble() * impairments.maxDelayMs();
            delayMs[1] = random.nextDouble() * impairments.maxDelayMs();
        }
        for (int i = 0; i < copies; i++) {
            if (delayMs[i] < 1) {
                delivery.run();
            } else {
                scheduler.schedule(scheduler.now() + delayMs[i], delivery);
            }
        }
    }

    /** Wraps a flow so that the impairments apply to what is sent over it. Streams are not impaired. */
    Flow impaired(Flow flow) {
        return impaired(flow, message -> {});
    }

    /** Wraps a flow likewise; each message that gets through is passed to the observer before it is sent on. */
    Flow impaired(Flow flow, Consumer<byte[]> observer) {
        return new Flow() {
            @Override
            public boolean isReliable() {
                return flow.isReliable();
            }

            @Override
            public InetSocketAddress remoteAddress() {
                return flow.remoteAddress();
            }

            @Override
            public void send(byte[] message) {
                Runnable delivery = () -> {
                    observer.accept(message);
                    flow.send(message);
                };
                if (flow.isReliable()) {
                    delivery.run();
                } else {
                    deliver(delivery);
                }
            }
        };
    }
}
