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
import walnutfield.standin.HostTerms;
import walnutfield.standin.audit.WrongGateway.Wrong;
import walnutfield.standin.day.Crowd;
import walnutfield.standin.day.Day;
import walnutfield.standin.day.Fault;
import walnutfield.standin.day.Rehearsal;

/** Each rule, broken on purpose by a gateway on real sockets, is caught; one that breaks none is not. */
class AuditorTest {
    private static final Ladder LADDER = new Ladder(List.of(10.0, 20.0), List.of(0.5, 1.0), 8);

    private static Day day(int slots, Fault... faults) {
        Map<String, TrafficClass> bands = new LinkedHashMap<>();
        bands.put("free", new TrafficClass("free", 500, 1000, 1, false, 1, 0, 1, 0));
        bands.put("paid", new TrafficClass("paid", 500, 1000, 3, true, 1, 0, 1, 0));
        bands.put("seated", new TrafficClass("seated", 500, 1000, 3, false, 1, 1, 1, 4));
        SlowStartPolicy cold = new SlowStartPolicy(0.1, 4000, 2, 500);
        List<HostPlan> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(new HostPlan("h" + i, "p", i, 0, 1e6, slots, 1));
        }
        HostTerms terms =
                new HostTerms(LADDER, bands, cold, List.of(), 0, 1, 0, 300, 0, 100, 0, 1, 5, 0, 60_000, Map.of());
        Crowd crowd = new Crowd(
                60,
                Map.of("free", 1.0, "paid", 1.0, "seated", 1.0),
                1,
                0,
                0,
                0,
                0,
                Crowd.Calls.NONE,
                List.of(new Crowd.TitlePlan(1, 0, 4)));
        Rules rules = new Rules(bands, new RetryPolicy(4, 5, 0.2, 10_000), cold, 300, 150);
        return new Day(3, 2500, 1, 50, hosts, terms, crowd, rules, List.of(faults));
    }

    private static Fault[] faults(Wrong wrong) {
        return switch (wrong) {
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
    void aBrokenRuleIsCaught(Wrong wrong, int rule) throws Exception {
        Rehearsal.Outcome o = new Rehearsal(
                        day(
                                wrong == Wrong.FLOODS_COLD ? 100 : 400,
                                faults(wrong)), // a flood of three times what is stood
                        (name, me, service) -> new WrongGateway(wrong, name, service))
                .run();
        assertTrue(
                o.plays().get("served") + o.plays().get("errored") + o.plays().get("shed") > 50,
                o.plays().toString());
        for (int i = 0; i < 6; i++) {
            Verdict v = o.verdicts().get(i);
            if (i == rule) {
                assertTrue(!v.broken().isEmpty(), wrong + " was not caught by " + v.rule());
            } else if (rule < 0) {
                assertEquals(List.of(), v.broken(), v.rule());
            }
        }
    }
}
