package walnutfield.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.gateway.GatewayHarness.HostRequest;
import walnutfield.net.Clock;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;

class LearnedStateFileTest {
    private static final LearnedState LEARNED_STATE = new LearnedState(
            1234.5,
            30_000,
            List.of(new LearnedState.UplinkCorrection(3, 1.25)),
            List.of(new LearnedState.HostHealth(new HostId("h0"), 0, true, false, 5234.25, 1000)));

    @Test
    void aWrittenFileIsReadBack(@TempDir Path dir) {
        LearnedStateFile file = new LearnedStateFile(dir.resolve("gw.learnt"));
        assertEquals(LearnedState.NOTHING, file.read());
        file.write(() -> LEARNED_STATE);
        assertEquals(LEARNED_STATE, file.read());
        assertTrue(Files.notExists(dir.resolve("gw.learnt.next")));
    }

    /** Each row replaces a text in a valid file and names the beginning of the expected error message. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "walnutfield-learnt 1|walnutfield-learnt 2|line 1: not walnutfield-learnt 1",
                "1.25|1.35|cut or changed",
                "end |en|cut or changed",
                "h0 |h1 |cut or changed"
            })
    void aBadFileIsRejectedWithItsReason(String from, String to, String reason) {
        String text = LearnedStateFile.text(LEARNED_STATE);
        assertTrue(text.contains(from));
        IllegalArgumentException exception =
                assertThrows(IllegalArgumentException.class, () -> LearnedStateFile.parse(text.replace(from, to)));
        assertTrue(exception.getMessage().startsWith(reason), exception.getMessage());
    }

    @Test
    void aTruncatedFileIsRejectedAtEveryLength() {
        String text = LearnedStateFile.text(LEARNED_STATE);
        for (int length = 0; length < text.length(); length++) {
            String truncated = text.substring(0, length);
            assertThrows(IllegalArgumentException.class, () -> LearnedStateFile.parse(truncated), truncated);
        }
    }

    @Test
    void infiniteNumbersAreRejected() {
        String text = LearnedStateFile.text(new LearnedState(1, Double.POSITIVE_INFINITY, List.of(), List.of()));
        assertThrows(IllegalArgumentException.class, () -> LearnedStateFile.parse(text));
    }

    private static GatewayHarness started(Path file) throws Exception {
        GatewayHarness harness = new GatewayHarness(2);
        harness.learnedStateFile = file;
        harness.start(100, null);
        harness.acceptListStream();
        harness.sendFullList();
        return harness;
    }

    /** A restarted gateway avoids a host that was an outlier; with an invalid file it starts without learned state. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void aRestartRestoresAValidFileAndIgnoresABadOne(boolean valid, @TempDir Path dir) throws Exception {
        Path file = dir.resolve("gw.learnt");
        double now = Clock.now();
        String text = LearnedStateFile.text(new LearnedState(
                now,
                30_000,
                List.of(),
                List.of(new LearnedState.HostHealth(new HostId("h0"), 0, true, true, now + 60_000, 0))));
        Files.writeString(file, valid ? text : text.substring(0, text.length() - 3));
        try (GatewayHarness harness = started(file)) {
            harness.awaitCall("LearnedStateRestored[state=LearnedState[at=" + (valid ? now : 0.0));
            harness.requestPlay("paid", 1);
            HostRequest first = harness.nextRequest("POST /S");
            if (valid) {
                assertEquals(1, first.host());
            }
            harness.serve(first);
        }
    }

    @Test
    void aDrainingGatewaySavesItsLearnedState(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("gw.learnt");
        try (GatewayHarness harness = started(file)) {
            harness.requestPlay("free", 1);
            HostRequest first = harness.nextRequest("POST /S");
            harness.cutHost(first.host());
            HostRequest second = harness.nextRequest("POST /S");
            harness.serve(second);
            harness.awaitCall("LegStarted");
            harness.gateway.drain(1000);
            LearnedState saved = new LearnedStateFile(file).read();
            assertEquals(
                    List.of("h" + first.host()),
                    saved.hosts().stream().map(h -> h.host().value()).toList());
        }
    }
}
