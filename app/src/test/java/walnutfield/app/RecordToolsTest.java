package walnutfield.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs every record tool on the records of gateways, with the decision core as it is and with one rule of it changed.
 * Guards against a tool that decides by logic of its own: the changed rule must show in what each tool prints.
 */
class RecordToolsTest {
    private static final String RULE = "MAX_TOP_RUNG_USE = 0.65;";
    private static final String CHANGED_RULE = "MAX_TOP_RUNG_USE = 0.01;";
    private static final String ADAPTER_INPUT = """
        ["round",100.5]
        ["attach",3,17,{"classes":[{"name":"a","onTime":1000,"giveUp":4000,"worth":1,"repeat":"repeatable"}],\
        "familyInfo":{"levelKb":[100,300],"worthByRung":[0.5,1],"classTop":[1],"floorByClass":[0],\
        "scaleByClass":[1],"positions":3,"racks":1,"kindSlots":[9],"allLinksKb":9000,"rackKb":9000},\
        "kinds":["k"],"balancers":1,"limits":{"tryLimit":2},"unknown":1}]
        ["sheet",0,[["x","z","k",0,"Ready",1,null,"more"]]]
        ["endpoints",3,"warm_copy",1,0]
        ["workItem",3,9,null,1,9007199254740991,3,0,"a",0,null,4000,12,"more"]
        ["overToYou"]
        """;

    @TempDir
    static Path dir;

    private static List<Path> records;
    private static Path variantClasses;

    /** Records a day of three gateways, and compiles a variant of the core in which one rule is changed. */
    @BeforeAll
    static void recordDayAndCompileVariant() throws Exception {
        Path out = dir.resolve("day");
        Files.createDirectories(out);
        String script =
                Files.readString(Path.of("..", "rehearsals", "short.xml")).replace("seconds=\"12\"", "seconds=\"9\"");
        Path file = dir.resolve("day.xml");
        Files.writeString(file, script);
        assertEquals(0, Main.commandLine().execute("rehearse", file.toString(), "--out", out.toString(), "--record"));
        try (Stream<Path> files = Files.list(out)) {
            records =
                    files.filter(f -> f.toString().endsWith(".record")).sorted().toList();
        }
        Path source = Path.of("..", "core", "src", "main", "java", "walnutfield", "decide", "Director.java");
        String text = Files.readString(source);
        assertTrue(text.contains(RULE), "the rule to change is not in Director.java as expected");
        Path changed = dir.resolve("src").resolve("Director.java");
        Files.createDirectories(changed.getParent());
        Files.writeString(changed, text.replace(RULE, CHANGED_RULE));
        variantClasses = dir.resolve("variant");
        Files.createDirectories(variantClasses);
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        assertEquals(
                0,
                compiler.run(
                        null,
                        null,
                        null,
                        "-nowarn",
                        "-d",
                        variantClasses.toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        changed.toString()));
    }

    private record CommandResult(int status, String output) {}

    /** Runs the program in a process of its own, with the core as it is or with the variant. */
    private static CommandResult run(boolean changed, String input, String... args)
            throws IOException, InterruptedException {
        String path = System.getProperty("java.class.path");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                changed ? variantClasses + File.pathSeparator + path : path,
                "walnutfield.app.Main"));
        command.addAll(List.of(args));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        process.getOutputStream().write(input.getBytes(StandardCharsets.UTF_8));
        process.getOutputStream().close();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new CommandResult(process.waitFor(), output);
    }

    private static String[] arguments(String command, List<Path> files) {
        List<String> args = new ArrayList<>(List.of(command));
        files.forEach(f -> args.add(f.toString()));
        return args.toArray(String[]::new);
    }

    @Test
    void recordOfEveryGatewayReplaysWithoutDifference() throws Exception {
        assertEquals(3, records.size());
        CommandResult result = run(false, "", arguments("replay", records));
        assertEquals(0, result.status(), result.output());
        assertEquals(
                3,
                result.output()
                        .lines()
                        .filter(line -> line.contains(", 0 different;"))
                        .count(),
                result.output());
    }

    /** A rule changed in the core changes the output of every tool. */
    @ParameterizedTest
    @CsvSource({"replay, 1", "record, 0", "trace, 0", "what-if, 0"})
    void changedRuleShowsInEveryTool(String tool, int status) throws Exception {
        String file = records.get(0).toString();
        CommandResult original = run(false, "", tool, file);
        CommandResult variant = run(true, "", tool, file);
        assertEquals(0, original.status(), original.output());
        assertEquals(status, variant.status(), variant.output());
        assertNotEquals(
                withoutTimings(original.output()), withoutTimings(variant.output()), tool + " does not see the rule");
    }

    /** Trace marks no more calls as decided differently than replay counts, and both find several. */
    @Test
    void traceAndReplayAgreeOnChangedCalls() throws Exception {
        String file = records.get(0).toString();
        String replayed =
                run(true, "", "replay", file).output().replaceAll("(?s).* compared, ([0-9]+) different;.*", "$1");
        long traced = run(true, "", "trace", file)
                .output()
                .lines()
                .filter(line -> line.endsWith("(not as recorded)"))
                .count();
        assertTrue(Long.parseLong(replayed) > 3, replayed);
        assertTrue(traced > 3 && traced <= Long.parseLong(replayed), traced + " of " + replayed);
    }

    @Test
    void changedRuleShowsInAdapterWhoseRecordReplays() throws Exception {
        Path recordDir = dir.resolve("adapter");
        CommandResult original = run(false, ADAPTER_INPUT, "adapter", "--record", recordDir.toString());
        CommandResult variant = run(true, ADAPTER_INPUT, "adapter");
        assertTrue(original.output().contains("[\"grade\",3,9,1]"), original.output());
        assertTrue(
                variant.output().contains("[\"callOut\",3,9,")
                        && !variant.output().contains("[\"grade\""),
                variant.output());
        try (Stream<Path> adapterRecords = Files.list(recordDir)) {
            CommandResult result = run(false, "", arguments("replay", adapterRecords.toList()));
            assertEquals(0, result.status(), result.output());
        }
    }

    @Test
    void checkComparesSettingsWithRecordedDecisions() throws Exception {
        CommandResult result = run(
                false,
                "",
                "check",
                Path.of("..", "deploy", "gateway.xml").toString(),
                records.get(0).toString());
        assertEquals(0, result.status(), result.output());
        assertTrue(result.output().contains("gateway.xml: good"), result.output());
        assertTrue(
                result.output().matches("(?s).*: [0-9]+ of [0-9]+ calls would have led to something else \\{.*"),
                result.output());
    }

    @Test
    void replayTakesTwoHundredFiles() throws Exception {
        List<Path> files = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            files.add(records.get(i % records.size()));
        }
        CommandResult result = run(false, "", arguments("replay", files));
        assertEquals(0, result.status(), result.output());
        assertEquals(
                200,
                result.output()
                        .lines()
                        .filter(line -> line.contains(", 0 different;"))
                        .count());
    }

    @Test
    void damagedRecordIsReportedInOneLineWithItsOffset() throws Exception {
        byte[] recordBytes = Files.readAllBytes(records.get(0));
        Path damaged = dir.resolve("cut.record");
        // All but the last byte: half of the file may end exactly between two frames, which is no damage.
        Files.write(damaged, java.util.Arrays.copyOf(recordBytes, recordBytes.length - 1));
        CommandResult result = run(false, "", "replay", damaged.toString());
        assertEquals(2, result.status(), result.output());
        assertEquals(
                1,
                result.output()
                        .lines()
                        .filter(line -> line.matches(".*: offset [0-9]+: .*"))
                        .count(),
                result.output());
        Files.writeString(damaged, "something else");
        CommandResult notARecord = run(false, "", "trace", damaged.toString());
        assertEquals(2, notARecord.status());
        assertEquals(
                "offset 0: this is no record of a desk", notARecord.output().strip());
    }

    private static String withoutTimings(String output) {
        return output.replaceAll("; [0-9]+ calls/s, [0-9]+ times real time", "");
    }
}
