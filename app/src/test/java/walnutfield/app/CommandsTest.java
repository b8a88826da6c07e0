package walnutfield.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class CommandsTest {
    private static final Path SCRIPTS = Path.of("..", "rehearsals");
    private final StringWriter output = new StringWriter();

    private int run(String... args) {
        CommandLine commandLine = Main.commandLine();
        commandLine.setOut(new PrintWriter(output));
        commandLine.setErr(new PrintWriter(output));
        return commandLine.execute(args);
    }

    private static RehearsalScript parseScript(String text) throws InvalidSettingsException {
        return new RehearsalScript(
                XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Overrides(null, null, null));
    }

    /** A change to a valid script, and the reason with which it must be rejected. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<fleet hosts=\"8\"|<fleet hosts=\"many\"|'many' is not a valid value",
                "per-s=\"12\"|per-s=\"12\" odd=\"1\"|'odd' is not allowed",
                "<legs/>||One of",
                "kind=\"standing\"|kind=\"sitting\"|'sitting' is not facet-valid",
                "kb=\"200\"|kb=\"20\"|the kb of a rung must be greater than that of the rung before it",
                "top=\"2\" weight|top=\"2\" floor=\"3\" weight|the floor of band audio-guide is above its top rung, 2",
                "name=\"audio-guide\" expected-ms=\"1000\"|name=\"audio-guide\" expected-ms=\"9000\"|expected-ms of band",
                "name=\"audio-guide\"|name=\"short-clip\"|band short-clip is given twice",
                "at-s=\"8\"|at-s=\"80\"|the fault gateway-stalled ends after the day",
                "seconds=\"12\"|seconds=\"-1\"|'-1' is not facet-valid",
                "<moves/>|<moves>|must be terminated"
            })
    void invalidScriptIsRejectedWithFileLineAndReason(String from, String to, String reason) throws IOException {
        String valid = Files.readString(SCRIPTS.resolve("short.xml"));
        assertTrue(valid.contains(from), from);
        String invalid = valid.replace(from, to == null ? "" : to);
        assertRejected("day", () -> parseScript(invalid), reason);
    }

    /** Asserts that a file is rejected with its name, a line number and the given reason. */
    private static void assertRejected(String file, Executable parse, String reason) {
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, parse);
        assertTrue(e.getMessage().matches("(?s)" + file + "\\.xml:[0-9]+: .*"), e.getMessage());
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    @Test
    void externalEntitiesAreRejected() {
        InvalidSettingsException e = assertThrows(
                InvalidSettingsException.class,
                () -> parseScript("<!DOCTYPE day [<!ENTITY a SYSTEM \"file:///x\">]><day/>"));
        assertTrue(e.getMessage().contains("DOCTYPE"), e.getMessage());
    }

    /** A change to valid settings of a gateway, and the reason with which it must be rejected. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kept=\"gw0.hosts\"|kept=\"gw0.hosts\" learnt=\"./gw0.hosts\"|kept and learnt must be different files",
                "<moves/>|<moves crossing-price=\"2\"/>|'2' is not facet-valid",
                "<reports/>|<reports in-answers=\"perhaps\"/>|'perhaps' is not a valid value",
                "<reports/>|<reports say=\"true\"/>|'say' is not allowed",
                "me=\"0\"|me=\"5\"|gateway number me=5 must be less than gateways="
            })
    void invalidGatewaySettingsAreRejected(String from, String to, String reason) throws IOException {
        String valid = Files.readString(Path.of("..", "deploy", "gateway.xml"));
        assertTrue(valid.contains(from), from);
        assertRejected(
                "g", () -> Settings.validate(XmlElement.parse("g.xml", valid.replace(from, to), "gateway")), reason);
    }

    @Test
    void shortRehearsalBreaksNoRule() {
        int status = run("rehearse", SCRIPTS.resolve("short.xml").toString());
        assertTrue(output.toString().contains("\nrules broken: 0; plays "), output.toString());
        assertEquals(0, status);
    }

    @Test
    void missingFileIsReportedInOneLine() {
        assertEquals(2, run("rehearse", "none.xml"));
        assertEquals(1, output.toString().lines().count());
        assertTrue(output.toString().startsWith("none.xml:0: cannot be read"), output.toString());
    }
}
