package walnutfield.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;

/** What a gateway counts and times, by names that docs/on-call.md explains. Any thread may add. */
final class Figures {
    private final MeterRegistry registry;
    private final String gateway;
    private final Timer deskWait;
    private final Timer deskRun;
    private final Timer leg;
    private final Timer start;

    Figures(MeterRegistry registry, String gateway) {
        this.gateway = gateway;
        this.registry = registry;
        deskWait = timer("desk.wait", "time that an event waits for the desk's thread");
        deskRun = timer("desk.run", "time that an event takes there");
        leg = timer("leg.served", "time from sending a leg to its served answer");
        start = timer("play.start", "time from a request to its answer");
    }

    private Timer timer(String name, String what) {
        return Timer.builder("walnutfield." + name)
                .description(what)
                .publishPercentiles(0.5, 0.99)
                .register(registry);
    }

    private static void add(Timer t, double ms) {
        t.record((long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    void event(double waitMs, double runMs) {
        add(deskWait, Math.max(0, waitMs));
        add(deskRun, runMs);
    }

    void served(double legMs, double startMs) {
        add(leg, legMs);
        add(start, startMs);
    }

    /** A viewing's end, by the word of its access line. */
    void over(String end, String band) {
        registry.counter("walnutfield.plays", "end", end, "band", band).increment();
    }

    /** What became of an insert. */
    void insert(String what, String id) {
        registry.counter("walnutfield.inserts", "what", what, "insert", id).increment();
    }

    void gauge(String name, java.util.function.Supplier<Number> value) {
        io.micrometer.core.instrument.Gauge.builder("walnutfield." + name, value)
                .tag("gateway", gateway)
                .register(registry);
    }
}
