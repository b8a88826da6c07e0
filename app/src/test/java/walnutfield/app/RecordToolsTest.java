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

/** Gateways' records put through every tool, by the core as it is and by one with a rule changed. */
class RecordToolsTest {
    private static final String MARK = "MARK = 0.65;";
    private static final String MARK_CHANGED = "MARK = 0.01;";
    private static final String LINES = """
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
    private static Path variant;

    /** A recorded day of three gateways, and the core with one rule changed, compiled beside the real one. */
    @BeforeAll
    static void record() throws Exception {
        Path out = dir.resolve("day");
        Files.createDirectories(out);
        String script =
                Files.readString(Path.of("..", "rehearsals", "short.xml")).replace("seconds=\"12\"", "seconds=\"9\"");
        Path file = dir.resolve("day.xml");
        Files.writeString(file, script);
        assertEquals(0, Main.line().execute("rehearse", file.toString(), "--out", out.toString(), "--record"));
        try (Stream<Path> all = Files.list(out)) {
            records = all.filter(p -> p.toString().endsWith(".record")).sorted().toList();
        }
        Path source = Path.of("..", "core", "src", "main", "java", "walnutfield", "decide", "Director.java");
        String text = Files.readString(source);
        assertTrue(text.contains(MARK), "the rule to change is where it was");
        Path changed = dir.resolve("src").resolve("Director.java");
        Files.createDirectories(changed.getParent());
        Files.writeString(changed, text.replace(MARK, MARK_CHANGED));
        variant = dir.resolve("variant");
        Files.createDirectories(variant);
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        assertEquals(
                0,
                compiler.run(
                        null,
                        null,
                        null,
                        "-nowarn",
                        "-d",
                        variant.toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        changed.toString()));
    }

    private record Ran(int status, String said) {}

    /** The program as a process of its own, with the core as it is or changed. */
    private static Ran run(boolean changed, String input, String... args) throws IOException, InterruptedException {
        String path = System.getProperty("java.class.path");
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                changed ? variant + File.pathSeparator + path : path,
                "walnutfield.app.Main"));
        command.addAll(List.of(args));
        Process p = new ProcessBuilder(command).redirectErrorStream(true).start();
        p.getOutputStream().write(input.getBytes(StandardCharsets.UTF_8));
        p.getOutputStream().close();
        String said = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ran(p.waitFor(), said);
    }

    private static String[] with(String command, List<Path> files) {
        List<String> args = new ArrayList<>(List.of(command));
        files.forEach(f -> args.add(f.toString()));
        return args.toArray(String[]::new);
    }

    @Test
    void everyGatewaysRecordReplaysAlike() throws Exception {
        assertEquals(3, records.size());
        Ran r = run(false, "", with("replay", records));
        assertEquals(0, r.status(), r.said());
        assertEquals(
                3, r.said().lines().filter(l -> l.contains(", 0 different;")).count(), r.said());
    }

    /** One rule changed in the core shows in every program, and none says something of its own. */
    @ParameterizedTest
    @CsvSource({"replay, 1", "record, 0", "trace, 0", "what-if, 0"})
    void aChangedRuleIsSeenByEveryTool(String tool, int status) throws Exception {
        String file = records.get(0).toString();
        Ran as = run(false, "", tool, file);
        Ran now = run(true, "", tool, file);
        assertEquals(0, as.status(), as.said());
        assertEquals(status, now.status(), now.said());
        assertNotEquals(timeless(as.said()), timeless(now.said()), tool + " does not see the rule");
    }

    /** Replay, trace and check count the same calls as decided otherwise. */
    @Test
    void theToolsAgreeOnWhatChanged() throws Exception {
        String file = records.get(0).toString();
        String replayed =
                run(true, "", "replay", file).said().replaceAll("(?s).* compared, ([0-9]+) different;.*", "$1");
        long traced = run(true, "", "trace", file)
                .said()
                .lines()
                .filter(l -> l.endsWith("(not as recorded)"))
                .count();
        assertTrue(Long.parseLong(replayed) > 3, replayed);
        assertTrue(traced > 3 && traced <= Long.parseLong(replayed), traced + " of " + replayed);
    }

    @Test
    void theAdapterSeesItTooAndItsRecordReplays() throws Exception {
        Path to = dir.resolve("adapter");
        Ran as = run(false, LINES, "adapter", "--record", to.toString());
        Ran now = run(true, LINES, "adapter");
        assertTrue(as.said().contains("[\"grade\",3,9,1]"), as.said());
        assertTrue(now.said().contains("[\"callOut\",3,9,") && !now.said().contains("[\"grade\""), now.said());
        try (Stream<Path> all = Files.list(to)) {
            Ran r = run(false, "", with("replay", all.toList()));
            assertEquals(0, r.status(), r.said());
        }
    }

    @Test
    void settingsAreCheckedAgainstWhatWasDecided() throws Exception {
        Ran r = run(
                false,
                "",
                "check",
                Path.of("..", "deploy", "gateway.xml").toString(),
                records.get(0).toString());
        assertEquals(0, r.status(), r.said());
        assertTrue(r.said().contains("gateway.xml: good"), r.said());
        assertTrue(r.said().matches("(?s).*: [0-9]+ of [0-9]+ calls would have led to something else \\{.*"), r.said());
    }

    @Test
    void twoHundredFilesInOneCall() throws Exception {
        List<Path> many = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            many.add(records.get(i % records.size()));
        }
        Ran r = run(false, "", with("replay", many));
        assertEquals(0, r.status(), r.said());
        assertEquals(
                200, r.said().lines().filter(l -> l.contains(", 0 different;")).count());
    }

    @Test
    void aDamagedRecordIsOneLineWithItsOffset() throws Exception {
        byte[] b = Files.readAllBytes(records.get(0));
        Path cut = dir.resolve("cut.record");
        Files.write(cut, java.util.Arrays.copyOf(b, b.length / 2));
        Ran r = run(false, "", "replay", cut.toString());
        assertEquals(2, r.status(), r.said());
        assertEquals(
                1,
                r.said().lines().filter(l -> l.matches(".*: offset [0-9]+: .*")).count(),
                r.said());
        Files.writeString(cut, "something else");
        Ran none = run(false, "", "trace", cut.toString());
        assertEquals(2, none.status());
        assertEquals("offset 0: this is no record of a desk", none.said().strip());
    }

    private static String timeless(String said) {
        return said.replaceAll("; [0-9]+ calls/s, [0-9]+ times real time", "");
    }
}
