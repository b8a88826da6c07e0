package walnutfield.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.standin.audit.Verdict;
import walnutfield.standin.day.Rehearsal;

/** Days of one trouble each, on real sockets: every rule is kept, and the trouble was there. */
class SingleFaultDaysTest {
    /** Hosts, gateways, viewers a second, the fault, and the rule that must have had something to check. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1 | 2 | 12 | <fault kind='dead' at-s='1' for-s='1' first='0'/> | 3", // two gateways, one cold host
                "3 | 2 | 20 | <fault kind='dead' at-s='2' for-s='1.5' first='1'/> | 3", // its viewers come back, it is
                // cold
                "6 | 1 | 12 | <fault kind='gateway-stalled' at-s='2' for-s='2' first='0'/> | 0",
                "4 | 2 | 12 | <fault kind='failing' at-s='0.5' for-s='4' count='2' amount='1'/> | 5",
                "4 | 2 | 12 | <fault kind='drain' at-s='1' for-s='2' count='2' amount='500'/> | 2"
            })
    void everyRuleIsKept(int hosts, int gateways, int perS, String fault, int rule) throws Exception {
        String text = Files.readString(Path.of("..", "rehearsals", "short.xml"))
                .replaceAll("seconds=\"12\"", "seconds=\"5\"")
                .replaceAll("per-s=\"12\"", "per-s=\"" + perS + "\"")
                .replaceAll("list-late-ms=\"500\"", "list-late-ms=\"200\"")
                .replaceAll("(?s)<faults>.*</faults>", "<faults>" + fault + "</faults>");
        RehearsalScript script = new RehearsalScript(
                XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Instead(7L, gateways, hosts));
        Rehearsal.Outcome o = new Rehearsal(script.day(), script.rig(null)).run();
        for (Verdict v : o.verdicts()) {
            assertEquals(List.of(), v.broken(), v.rule());
        }
        assertTrue(o.verdicts().get(rule).checked() > 0, o.verdicts().get(rule).rule() + " had nothing to check");
        assertTrue(o.plays().get("served") > 10, o.plays().toString());
    }

    /** The same for calls over datagrams that are lost, doubled and late; viewers beside them in the last. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1.0 | <fault kind='dead' at-s='2' for-s='1.5' first='1'/><fault kind='standing' at-s='3' for-s='1' first='0'/> | 3",
                "0.5 | <fault kind='failing' at-s='0.5' for-s='4' count='2' amount='0.8'/><fault kind='drain' at-s='1' for-s='2' first='2' amount='500'/> | 5"
            })
    void everyRuleIsKeptByCalls(String part, String fault, int rule) throws Exception {
        String text = Files.readString(Path.of("..", "rehearsals", "short.xml"))
                .replaceAll("seconds=\"12\"", "seconds=\"5\"")
                .replaceAll("per-s=\"12\"", "per-s=\"20\"")
                .replaceAll("list-late-ms=\"500\"", "list-late-ms=\"200\"")
                .replace("<front/>", "<sip t1-ms=\"100\" probes=\"true\"/><front/>")
                .replaceAll(
                        "(?s)<faults>.*</faults>",
                        "<calls part='" + part + "' mean-s='2' loss='0.05' twice='0.05' late-ms='20'/><faults>" + fault
                                + "</faults>");
        RehearsalScript script =
                new RehearsalScript(XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Instead(7L, 2, 4));
        Rehearsal.Outcome o = new Rehearsal(script.day(), script.rig(null)).run();
        for (Verdict v : o.verdicts()) {
            assertEquals(List.of(), v.broken(), v.rule());
        }
        assertTrue(o.verdicts().get(rule).checked() > 0, o.verdicts().get(rule).rule() + " had nothing to check");
        assertTrue(o.callers().get(3) > 20, "final answers of calls: " + o.callers());
        assertTrue(o.plays().get("served") > 10, o.plays().toString());
    }
}
