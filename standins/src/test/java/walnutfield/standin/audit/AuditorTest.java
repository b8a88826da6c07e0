package walnutfield.standin.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.play.Ladder;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TrafficClass;
import walnutfield.standin.HostPlan;
import walnutfield.standin.MediaHostSettings;
import walnutfield.standin.audit.FaultyGateway.Defect;
import walnutfield.standin.day.DayPlan;
import walnutfield.standin.day.Fault;
import walnutfield.standin.day.Rehearsal;
import walnutfield.standin.day.ViewerPopulation;

/**
 * Guards against an auditor that misses breaches: each rule is broken on purpose by a gateway on real sockets, and must
 * be reported as broken. A gateway that breaks no rule must pass.
 */
class AuditorTest {
    private static final Ladder LADDER = new Ladder(List.of(10.0, 20.0), List.of(0.5, 1.0), 8);

    private static DayPlan day(int slots, Fault... faults) {
        Map<String, TrafficClass> trafficClasses = new LinkedHashMap<>();
        trafficClasses.put("free", new TrafficClass("free", 500, 1000, 1, false, 1, 0, 1, 0));
        trafficClasses.put("paid", new TrafficClass("paid", 500, 1000, 3, true, 1, 0, 1, 0));
        trafficClasses.put("seated", new TrafficClass("seated", 500, 1000, 3, false, 1, 1, 1, 4));
        SlowStartPolicy slowStart = new SlowStartPolicy(0.1, 4000, 2, 500);
        List<HostPlan> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new HostPlan("h" + i, "p", i, 0, 1e6, slots, 1));
        }
        MediaHostSettings settings = new MediaHostSettings(
                LADDER, trafficClasses, slowStart, List.of(), 0, 1, 0, 300, 0, 100, 0, 1, 5, 0, 60_000, Map.of());
        ViewerPopulation crowd = new ViewerPopulation(
                60,
                Map.of("free", 1.0, "paid", 1.0, "seated", 1.0),
                1,
                0,
                0,
                0,
                0,
                ViewerPopulation.CallerPopulation.NONE,
                List.of(new ViewerPopulation.TitlePlacement(1, 0, 4)));
        Rules rules = new Rules(trafficClasses, new RetryPolicy(4, 5, 0.2, 10_000), slowStart, 300, 150);
        return new DayPlan(3, 2500, 1, 50, hosts, settings, crowd, rules, List.of(faults));
    }

    private static Fault[] faults(Defect defect) {
        return switch (defect) {
            case PAID_AGAIN, PAID_SHED, ENDLESS_LEGS -> new Fault[] {new Fault(Fault.Kind.FAILING, 0, 2500, 0, 4, 0.9)};
            case SENDS_TO_DRAINING -> new Fault[] {new Fault(Fault.Kind.DRAIN, 200, 2300, 0, 1, 9000)};
            case FLOODS_COLD -> new Fault[] {new Fault(Fault.Kind.DEAD, 100, 300, 0, 1, 0)};
            default -> new Fault[0];
        };
    }

    @ParameterizedTest
    @Execution(ExecutionMode.CONCURRENT)
    @CsvSource({
        "NOTHING, -1",
        "NO_ANSWER, 0",
        "LATE_ANSWER, 0",
        "PAID_AGAIN, 1",
        "PAID_SHED, 1",
        "TWO_LEGS, 1",
        "SENDS_TO_DRAINING, 2",
        "FLOODS_COLD, 3",
        "UNDER_THE_FLOOR, 4",
        "SEATS_IGNORED, 4",
        "ENDLESS_LEGS, 5"
    })
    void detectsBrokenRule(Defect defect, int rule) throws Exception {
        Rehearsal.Outcome outcome = new Rehearsal(
                        day(
                                defect == Defect.FLOODS_COLD ? 100 : 400,
                                faults(defect)), // few slots, so that the flood is three times what a cold host takes
                        (name, index, listService) -> new FaultyGateway(defect, name, listService))
                .run();
        assertTrue(
                outcome.requestCounts().get("served")
                                + outcome.requestCounts().get("errored")
                                + outcome.requestCounts().get("shed")
                        > 50,
                outcome.requestCounts().toString());
        for (int i = 0; i < 6; i++) {
            Verdict verdict = outcome.verdicts().get(i);
            if (i == rule) {
                assertTrue(!verdict.breaches().isEmpty(), defect + " was not caught by " + verdict.rule());
            } else if (rule < 0) {
                assertEquals(List.of(), verdict.breaches(), verdict.rule());
            }
        }
    }
}
