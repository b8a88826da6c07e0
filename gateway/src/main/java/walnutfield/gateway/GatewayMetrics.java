package walnutfield.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;

/** Counters, timers and gauges of a gateway; docs/on-call.md documents their names. Thread-safe. */
final class GatewayMetrics {
    private final MeterRegistry registry;
    private final String gateway;
    private final Timer deskWait;
    private final Timer deskRun;
    private final Timer legServed;
    private final Timer playStart;

    GatewayMetrics(MeterRegistry registry, String gateway) {
        this.gateway = gateway;
        this.registry = registry;
        deskWait = timer("desk.wait", "time that an event waits for the desk's thread");
        deskRun = timer("desk.run", "time that an event takes there");
        legServed = timer("leg.served", "time from sending a leg to its served answer");
        playStart = timer("play.start", "time from a request to its answer");
    }

    private Timer timer(String name, String description) {
        return Timer.builder("walnutfield." + name)
                .description(description)
                .publishPercentiles(0.5, 0.99)
                .register(registry);
    }

    private static void addSample(Timer timer, double ms) {
        timer.record((long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    void recordDeskEvent(double waitMs, double runMs) {
        addSample(deskWait, Math.max(0, waitMs));
        addSample(deskRun, runMs);
    }

    void recordServed(double legMs, double startMs) {
        addSample(legServed, legMs);
        addSample(playStart, startMs);
    }

    /**
     * Counts the end of a viewing.
     *
     * @param end reason as written to the access log
     */
    void countEnd(String end, String trafficClass) {
        registry.counter("walnutfield.plays", "end", end, "band", trafficClass).increment();
    }

    /** Counts an insert by its result. */
    void countInsert(String result, String id) {
        registry.counter("walnutfield.inserts", "what", result, "insert", id).increment();
    }

    void registerGauge(String name, java.util.function.Supplier<Number> value) {
        io.micrometer.core.instrument.Gauge.builder("walnutfield." + name, value)
                .tag("gateway", gateway)
                .register(registry);
    }
}
