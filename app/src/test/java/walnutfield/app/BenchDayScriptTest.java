package walnutfield.app;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Pattern;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BenchDayScriptTest {
    /** A trouble of a bench day, from 10 s on for 8 s and on host 1 or place 1, and the faults made from it. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "slow|4|0|weak-link 10 8 1 0.25",
                "neighbour|0.7|2|weak-link 10 2 1 0.3, weak-link 14 2 1 0.3",
                "zone_loss|0.4|0.9|silent 10 8 1 0",
                "zone_loss|0.6|0.1|dead 10 8 1 0, gateway-killed 10 8 1 0",
                "hot_key|0.5|1|crowd 10 8 0 2",
                "zone_cut|0|0|",
                "hang|0|0|standing 10 8 1 0"
            })
    void troubleIsConvertedToFaults(String kind, double size, double extra, String faults, @TempDir Path dir)
            throws Exception {
        Path file = dir.resolve("day.json");
        Files.writeString(file, """
            {"length": 5e7, "fam": {"copies": 0}, "servers": [{}, {}], "balancers": [{"zone": 0}, {"zone": 1}], "classes": [{}],
             "troubles": [{"kind": "%s", "at": 1e7, "len": 8e6, "size": %s, "extra": %s, "on": [1, 30], "which": 1}]}
            """.formatted(kind, size, extra));
        BenchDayScript script = BenchDayScript.read(file);
        String convertedFaults = Pattern.compile(
                        "<fault kind='(.*?)' at-s='(.*?)' for-s='(.*?)' first='(.*?)' count='.*?' amount='(.*?)'/>")
                .matcher(script.script())
                .results()
                .map(match -> match.group(1) + " " + match.group(2) + " " + match.group(3) + " " + match.group(4) + " "
                        + match.group(5))
                .reduce((a, b) -> a + ", " + b)
                .orElse("")
                .replace(".000", "")
                .replaceAll("(\\.\\d*?)0+\\b", "$1");
        assertEquals(faults == null ? "" : faults, convertedFaults);
        assertEquals(faults == null, script.notes().contains("not carried over: the trouble " + kind));
    }
}
