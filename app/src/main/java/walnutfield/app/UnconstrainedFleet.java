package walnutfield.app;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import walnutfield.hosts.HostEntry;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.PlaceId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;
import walnutfield.standin.HostPlan;
import walnutfield.standin.ListService;
import walnutfield.standin.MediaHostSettings;
import walnutfield.standin.MediaHosts;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Rules;

/** Stand-in hosts with ample capacity of every kind, so that measurements show the gateway in front of them. */
final class UnconstrainedFleet {
    private static final SlowStartPolicy SLOW_START = new SlowStartPolicy(1, 0, 3, 2000);
    private final Map<String, TrafficClass> trafficClasses = new LinkedHashMap<>();
    private final List<HostPlan> plans = new ArrayList<>();
    final Auditor auditor;

    UnconstrainedFleet(int hostCount) {
        trafficClasses.put("b", new TrafficClass("b", 1000, 5000, 1, false, 1, 0, 3, 0));
        for (int i = 0; i < hostCount; i++) {
            plans.add(new HostPlan("h" + i, "here", i, 0, 1e9, 1_000_000, 1));
        }
        auditor = new Auditor(new Rules(trafficClasses, new RetryPolicy(4, 5, 0.2, 10_000), SLOW_START, 2000, 150));
    }

    /** @param idleMs a session whose viewer fetches nothing for this time ends */
    MediaHosts startHosts(double idleMs) throws java.io.IOException {
        Ladder ladder = new Ladder(List.of(90.0, 200.0, 400.0, 800.0), List.of(0.22, 0.5, 0.8, 1.0), 7);
        return new MediaHosts(
                plans,
                new MediaHostSettings(
                        ladder,
                        trafficClasses,
                        SLOW_START,
                        List.of(),
                        0,
                        0,
                        0,
                        500,
                        0,
                        500,
                        0,
                        1,
                        10,
                        0,
                        idleMs,
                        Map.of()),
                1,
                auditor);
    }

    /** Publishes all hosts as ready. */
    static void publish(MediaHosts hosts, ListService listService) {
        for (HostPlan plan : hosts.plans()) {
            listService.publish(new HostEntry(
                    new HostDescriptor(
                            new HostId(plan.name()),
                            new PlaceId(plan.place()),
                            plan.slots(),
                            plan.cell(),
                            HostDescriptor.LifecycleState.READY,
                            1,
                            0),
                    new InetSocketAddress("127.0.0.1", hosts.port(plan.name()))));
        }
    }
}
