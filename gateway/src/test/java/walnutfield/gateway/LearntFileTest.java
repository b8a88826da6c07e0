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
import walnutfield.gateway.Outside.Came;
import walnutfield.net.Clock;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;

class LearntFileTest {
    private static final LearnedState LEARNT = new LearnedState(
            1234.5,
            30_000,
            List.of(new LearnedState.UplinkCorrection(3, 1.25)),
            List.of(new LearnedState.HostHealth(new HostId("h0"), 0, true, false, 5234.25, 1000)));

    @Test
    void whatIsWrittenIsRead(@TempDir Path dir) {
        LearntFile f = new LearntFile(dir.resolve("gw.learnt"));
        assertEquals(LearnedState.NOTHING, f.read());
        f.write(() -> LEARNT);
        assertEquals(LEARNT, f.read());
        assertTrue(Files.notExists(dir.resolve("gw.learnt.next")));
    }

    /** A change of a good file, and the reason that it is refused with. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "walnutfield-learnt 1|walnutfield-learnt 2|line 1: not walnutfield-learnt 1",
                "1.25|1.35|cut or changed",
                "end |en|cut or changed",
                "h0 |h1 |cut or changed"
            })
    void aBadFileIsRefusedWithItsReason(String from, String to, String reason) {
        String text = LearntFile.text(LEARNT);
        assertTrue(text.contains(from));
        IllegalArgumentException e =
                assertThrows(IllegalArgumentException.class, () -> LearntFile.parse(text.replace(from, to)));
        assertTrue(e.getMessage().startsWith(reason), e.getMessage());
    }

    @Test
    void aTornFileIsRefusedAtEveryLength() {
        String text = LearntFile.text(LEARNT);
        for (int n = 0; n < text.length(); n++) {
            String torn = text.substring(0, n);
            assertThrows(IllegalArgumentException.class, () -> LearntFile.parse(torn), torn);
        }
    }

    @Test
    void figuresWithoutEndAreRefused() {
        String text = LearntFile.text(new LearnedState(1, Double.POSITIVE_INFINITY, List.of(), List.of()));
        assertThrows(IllegalArgumentException.class, () -> LearntFile.parse(text));
    }

    private static Outside up(Path file) throws Exception {
        Outside o = new Outside(2);
        o.learnt = file;
        o.start(100, null);
        o.follow();
        o.tellAll();
        return o;
    }

    /** The next life of a gateway leaves a suspect host alone; with a bad file it starts afresh and serves. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void theFirstPlayAfterTheSwitch(boolean good, @TempDir Path dir) throws Exception {
        Path file = dir.resolve("gw.learnt");
        double now = Clock.now();
        String text = LearntFile.text(new LearnedState(
                now,
                30_000,
                List.of(),
                List.of(new LearnedState.HostHealth(new HostId("h0"), 0, true, true, now + 60_000, 0))));
        Files.writeString(file, good ? text : text.substring(0, text.length() - 3));
        try (Outside o = up(file)) {
            o.until("LearntTaken[learnt=Learnt[at=" + (good ? now : 0.0));
            o.ask("paid", 1);
            Came first = o.next("POST /S");
            if (good) {
                assertEquals(1, first.host());
            }
            o.serve(first);
        }
    }

    @Test
    void aGatewayThatDrainsKeepsWhatItLearnt(@TempDir Path dir) throws Exception {
        Path file = dir.resolve("gw.learnt");
        try (Outside o = up(file)) {
            o.ask("free", 1);
            Came first = o.next("POST /S");
            o.cut(first.host());
            Came second = o.next("POST /S");
            o.serve(second);
            o.until("Started");
            o.gateway.drain(1000);
            LearnedState l = new LearntFile(file).read();
            assertEquals(
                    List.of("h" + first.host()),
                    l.hosts().stream().map(h -> h.host().value()).toList());
        }
    }
}
