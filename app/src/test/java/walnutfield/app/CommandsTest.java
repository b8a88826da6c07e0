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
    private final StringWriter said = new StringWriter();

    private int run(String... args) {
        CommandLine c = Main.line();
        c.setOut(new PrintWriter(said));
        c.setErr(new PrintWriter(said));
        return c.execute(args);
    }

    private static RehearsalScript read(String text) throws InvalidSettingsException {
        return new RehearsalScript(
                XmlElement.parse("day.xml", text, "day"), new RehearsalScript.Instead(null, null, null));
    }

    /** A change of a good script, and the reason that it is refused with; the line is that of the change. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "<fleet hosts=\"8\"|<fleet hosts=\"many\"|'many' is not a valid value",
                "per-s=\"12\"|per-s=\"12\" odd=\"1\"|'odd' is not allowed",
                "<legs/>||One of",
                "kind=\"standing\"|kind=\"sitting\"|'sitting' is not facet-valid",
                "kb=\"200\"|kb=\"20\"|a rung's rate is over",
                "top=\"2\" weight|top=\"2\" floor=\"3\" weight|the floor of band audio-guide is over its top rung, 2",
                "name=\"audio-guide\" expected-ms=\"1000\"|name=\"audio-guide\" expected-ms=\"9000\"|the expected time of band",
                "name=\"audio-guide\"|name=\"short-clip\"|band short-clip is given twice",
                "at-s=\"8\"|at-s=\"80\"|the fault gateway-stalled ends after the day",
                "seconds=\"12\"|seconds=\"-1\"|'-1' is not facet-valid",
                "<moves/>|<moves>|must be terminated"
            })
    void aWrongScriptIsRefusedWithFileLineAndReason(String from, String to, String reason) throws IOException {
        String good = Files.readString(SCRIPTS.resolve("short.xml"));
        assertTrue(good.contains(from), from);
        String bad = good.replace(from, to == null ? "" : to);
        refused("day", () -> read(bad), reason);
    }

    /** Refused with the file's name, a line and that reason. */
    private static void refused(String file, Executable read, String reason) {
        InvalidSettingsException e = assertThrows(InvalidSettingsException.class, read);
        assertTrue(e.getMessage().matches("(?s)" + file + "\\.xml:[0-9]+: .*"), e.getMessage());
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    @Test
    void entitiesFromElsewhereAreNotRead() {
        InvalidSettingsException e = assertThrows(
                InvalidSettingsException.class, () -> read("<!DOCTYPE day [<!ENTITY a SYSTEM \"file:///x\">]><day/>"));
        assertTrue(e.getMessage().contains("DOCTYPE"), e.getMessage());
    }

    /** A change of good settings of a gateway, and the reason that it is refused with. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kept=\"gw0.hosts\"|kept=\"gw0.hosts\" learnt=\"./gw0.hosts\"|the list and what was learnt are kept in one file",
                "<moves/>|<moves crossing-price=\"2\"/>|'2' is not facet-valid",
                "<reports/>|<reports in-answers=\"perhaps\"/>|'perhaps' is not a valid value",
                "<reports/>|<reports say=\"true\"/>|'say' is not allowed",
                "me=\"0\"|me=\"5\"|gateway 5 is not among"
            })
    void wrongSettingsOfAGatewayAreRefused(String from, String to, String reason) throws IOException {
        String good = Files.readString(Path.of("..", "deploy", "gateway.xml"));
        assertTrue(good.contains(from), from);
        refused("g", () -> Settings.check(XmlElement.parse("g.xml", good.replace(from, to), "gateway")), reason);
    }

    @Test
    void theShortDayKeepsEveryRule() {
        int status = run("rehearse", SCRIPTS.resolve("short.xml").toString());
        assertTrue(said.toString().contains("\nrules broken: 0; plays "), said.toString());
        assertEquals(0, status);
    }

    @Test
    void aMissingFileIsOneLine() {
        assertEquals(2, run("rehearse", "none.xml"));
        assertEquals(1, said.toString().lines().count());
        assertTrue(said.toString().startsWith("none.xml:0: cannot be read"), said.toString());
    }
}
