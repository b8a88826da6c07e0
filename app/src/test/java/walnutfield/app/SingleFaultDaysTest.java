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

/**
 * Short rehearsals on real sockets with one or two faults each. No rule may be broken, and the rule that the fault is
 * aimed at must have had something to check.
 */
class SingleFaultDaysTest {
    /** Hosts, gateways, viewers per second, the fault, and the rule that must have had something to check. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // Two gateways share one host in slow start.
                "1 | 2 | 12 | <fault kind='dead' at-s='1' for-s='1' first='0'/> | 3",
                // The viewers of a host return while it is in slow start.
                "3 | 2 | 20 | <fault kind='dead' at-s='2' for-s='1.5' first='1'/> | 3",
                "6 | 1 | 12 | <fault kind='gateway-stalled' at-s='2' for-s='2' first='0'/> | 0",
                "4 | 2 | 12 | <fault kind='failing' at-s='0.5' for-s='4' count='2' amount='1'/> | 5",
                "4 | 2 | 12 | <fault kind='drain' at-s='1' for-s='2' count='2' amount='500'/> | 2"
            })
    void rehearsalBreaksNoRule(int hosts, int gateways, int viewersPerS, String fault, int rule) throws Exception {
        String text = Files.readString(Path.of("..", "rehearsals", "short.xml"))
                .replaceAll("seconds=\"12\"", "seconds=\"5\"")
                .replaceAll("per-s=\"12\"", "per-s=\"" + viewersPerS + "\"")
                .replaceAll("list-late-ms=\"500\"", "list-late-ms=\"200\"")
                .replaceAll("(?s)<faults>.*</faults>", "<faults>" + fault + "</faults>");
        RehearsalScript script = new RehearsalScript(
                XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Overrides(7L, gateways, hosts));
        Rehearsal.Outcome outcome = new Rehearsal(script.day(), script.rig(null)).run();
        for (Verdict verdict : outcome.verdicts()) {
            assertEquals(List.of(), verdict.breaches(), verdict.rule());
        }
        assertTrue(
                outcome.verdicts().get(rule).checked() > 0,
                outcome.verdicts().get(rule).rule() + " had nothing to check");
        assertTrue(
                outcome.requestCounts().get("served") > 10,
                outcome.requestCounts().toString());
    }

    /**
     * The same with SIP calls over datagrams that are lost, duplicated and delayed. In the second case half of the
     * plays are those of HLS viewers.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "1.0 | <fault kind='dead' at-s='2' for-s='1.5' first='1'/><fault kind='standing' at-s='3' for-s='1' first='0'/> | 3",
                "0.5 | <fault kind='failing' at-s='0.5' for-s='4' count='2' amount='0.8'/><fault kind='drain' at-s='1' for-s='2' first='2' amount='500'/> | 5"
            })
    void rehearsalWithCallsBreaksNoRule(String callShare, String fault, int rule) throws Exception {
        String text = Files.readString(Path.of("..", "rehearsals", "short.xml"))
                .replaceAll("seconds=\"12\"", "seconds=\"5\"")
                .replaceAll("per-s=\"12\"", "per-s=\"20\"")
                .replaceAll("list-late-ms=\"500\"", "list-late-ms=\"200\"")
                .replace("<front/>", "<sip t1-ms=\"100\" probes=\"true\"/><front/>")
                .replaceAll(
                        "(?s)<faults>.*</faults>",
                        "<calls part='" + callShare + "' mean-s='2' loss='0.05' twice='0.05' late-ms='20'/><faults>"
                                + fault + "</faults>");
        RehearsalScript script =
                new RehearsalScript(XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Overrides(7L, 2, 4));
        Rehearsal.Outcome outcome = new Rehearsal(script.day(), script.rig(null)).run();
        for (Verdict verdict : outcome.verdicts()) {
            assertEquals(List.of(), verdict.breaches(), verdict.rule());
        }
        assertTrue(
                outcome.verdicts().get(rule).checked() > 0,
                outcome.verdicts().get(rule).rule() + " had nothing to check");
        assertTrue(outcome.callerCounts().get(3) > 20, "final answers of calls: " + outcome.callerCounts());
        assertTrue(
                outcome.requestCounts().get("served") > 10,
                outcome.requestCounts().toString());
    }
}
