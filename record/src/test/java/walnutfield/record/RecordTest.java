package walnutfield.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import walnutfield.play.RetryPolicy;

/** Records of a simulated desk: writing and reading them, damage, gaps, replay, trace and projection. */
class RecordTest {
    @TempDir
    Path dir;

    private Path file;

    @BeforeEach
    void setFile() {
        file = dir.resolve("a.record");
    }

    private void recordSimulation(long seed, int requests) throws IOException {
        DeskSetup setup = DeskSimulation.setup(seed);
        try (Recorder recorder = new Recorder(file, setup, Long.MAX_VALUE, Double.MAX_VALUE)) {
            new DeskSimulation(setup, seed, recorder).run(requests);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void replayByANewDeskGivesTheSameBytes(long seed) throws IOException {
        recordSimulation(seed, 300);
        Replay.Report report = Replay.run(file);
        assertEquals("", report.firstDifference());
        assertEquals(0, report.different());
        assertTrue(
                report.compared() > 1000 && report.ended() && report.damage().isEmpty() && report.droppedCalls() == 0,
                report.toString());
    }

    /** The Director decides alike with and without a tracer, and reports every holder of the title to the tracer. */
    @Test
    void tracingChangesNoDecision() throws IOException {
        recordSimulation(4, 300);
        List<String> printed = new ArrayList<>();
        Replay.Report report = Trace.run(file, new Trace.Filter(8L, null, 0, 1e15), printed::add);
        assertEquals(0, report.different(), report.firstDifference());
        assertEquals(
                3,
                printed.stream().filter(s -> s.contains("    holder ")).limit(3).count(),
                printed.toString());
        assertTrue(printed.stream().anyMatch(s -> s.contains("WishTaken")), printed.toString());
        assertTrue(printed.stream().anyMatch(s -> s.contains("stage Placing for play 8")), printed.toString());
        assertTrue(printed.stream().noneMatch(s -> s.contains("play 9:")), printed.toString());
    }

    /**
     * A record that was cut off at any byte must be read up to its last complete frame, and the report must name the
     * offset of the next one.
     */
    @Test
    void recordCutAtAnyByteIsReadUpToTheLastCompleteFrame() throws IOException {
        recordSimulation(5, 12);
        byte[] intact = Files.readAllBytes(file);
        long allCalls = Replay.run(file).compared();
        long lastCompared = 0;
        Path cut = dir.resolve("cut.record");
        for (int cutAt = 0; cutAt < intact.length; cutAt++) {
            Files.write(cut, Arrays.copyOf(intact, cutAt));
            try {
                Replay.Report report = Replay.run(cut);
                assertEquals(0, report.different(), "cut at " + cutAt);
                assertFalse(report.ended(), "cut at " + cutAt);
                assertTrue(report.compared() >= lastCompared && report.compared() <= allCalls);
                lastCompared = report.compared();
                if (!report.damage().isEmpty()) {
                    long offset = Long.parseLong(report.damage().replaceAll("offset ([0-9]+): .*", "$1"));
                    assertTrue(offset <= cutAt && offset >= 8, report.damage() + " cut at " + cutAt);
                }
            } catch (CorruptRecordException e) {
                assertTrue(cutAt < 8, e.getMessage() + " cut at " + cutAt);
            }
        }
        assertEquals(allCalls, lastCompared);
    }

    /** A single flipped bit anywhere in the file must be detected. */
    @Test
    void flippedBitIsDetected() throws IOException {
        recordSimulation(6, 4);
        byte[] intact = Files.readAllBytes(file);
        for (int position = 0; position < intact.length; position++) {
            byte[] damaged = intact.clone();
            damaged[position] ^= (byte) (1 << position % 8);
            Files.write(file, damaged);
            try {
                assertFalse(Replay.run(file).damage().isEmpty(), "byte " + position);
            } catch (CorruptRecordException e) {
                assertTrue(e.offset() <= position, e.getMessage());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"0, version 0", "2, version 2; this program reads 1 to 1"})
    void unsupportedVersionIsRejected(int version, String reason) throws IOException {
        recordSimulation(7, 3);
        byte[] bytes = Files.readAllBytes(file);
        bytes[7] = (byte) version;
        Files.write(file, bytes);
        CorruptRecordException e = assertThrows(CorruptRecordException.class, () -> Replay.run(file));
        assertTrue(e.getMessage().startsWith("offset 6: " + reason), e.getMessage());
    }

    /**
     * A disk that accepts nothing at first must not delay the desk. The calls that do not fit the queue are dropped
     * as one gap, which the record states, and recording goes on from a snapshot once the disk is fast again.
     */
    @Test
    void callsThatTheDiskCannotTakeAreDroppedAsOneGap() throws Exception {
        DeskSetup setup = DeskSimulation.setup(8);
        CountDownLatch diskReady = new CountDownLatch(1);
        List<Integer> callsSeen = new ArrayList<>();
        try (Recorder recorder = new Recorder(file, setup, Long.MAX_VALUE, Double.MAX_VALUE, 100, () -> {
            try {
                diskReady.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        })) {
            new DeskSimulation(setup, 8, new walnutfield.desk.Listener() {
                        @Override
                        public void onCall(double now, walnutfield.desk.Call call) {
                            callsSeen.add(1);
                            if (callsSeen.size() == 400) {
                                diskReady.countDown();
                            }
                            if (callsSeen.size() >= 400) { // the disk is fast again
                                Thread.yield();
                                java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
                            }
                            recorder.onCall(now, call);
                        }

                        @Override
                        public void onResult(double now, walnutfield.desk.Result result) {
                            recorder.onResult(now, result);
                        }
                    })
                    .run(200);
            assertTrue(recorder.droppedCalls() > 250, "dropped " + recorder.droppedCalls());
        }
        Replay.Report report = Replay.run(file);
        assertEquals(100, report.compared());
        assertEquals(0, report.different(), report.firstDifference());
        assertEquals(callsSeen.size(), report.compared() + report.projected() + report.droppedCalls());
        assertTrue(report.projected() > 100 && report.ended(), report.toString());
    }

    @ParameterizedTest
    @CsvSource({"2000, 1e15, the file was full", "1000000, 3000, its time was over"})
    void nothingMoreIsRecordedPastTheSizeOrTimeLimit(long maxBytes, double maxDurationMs, String reason)
            throws IOException {
        DeskSetup setup = DeskSimulation.setup(9);
        try (Recorder recorder = new Recorder(file, setup, maxBytes, maxDurationMs)) {
            new DeskSimulation(setup, 9, recorder).run(3000);
        }
        Replay.Report report = Replay.run(file);
        assertTrue(report.droppedCalls() > 100 && report.ended() && report.different() == 0, report.toString());
        assertTrue(new String(Files.readAllBytes(file), java.nio.charset.StandardCharsets.ISO_8859_1).contains(reason));
    }

    @Test
    void differencesUnderOtherSettingsAreCountedByKind() throws IOException {
        recordSimulation(10, 300);
        DeskSetup other = new DeskSetup(
                "x",
                "y",
                0,
                otherIdentity(),
                new walnutfield.play.Ladder(List.of(100.0, 200.0, 400.0), List.of(0.4, 0.7, 1.0), 8),
                new walnutfield.play.LinkSettings(
                        800.0 * DeskSimulation.HOSTS, 0, 9000, 2, DeskSimulation.HOSTS, false),
                new RetryPolicy(1, 0, 0, 10_000),
                new walnutfield.play.SlowStartPolicy(0.2, 3000, 3, 1000),
                new walnutfield.play.SheddingPolicy(2000),
                new walnutfield.play.LoadReportSettings(true, 0.01, 200, false, false),
                new walnutfield.play.MoveCosts(0.02, 0),
                List.of());
        Replay.Report report = Replay.run(file, recorded -> recorded.withSettingsOf(other), null, null);
        assertTrue(report.different() > 50, report.toString());
        assertNotNull(
                report.differencesByKind().get("set_rung"),
                report.differencesByKind().toString());
        assertNotNull(
                report.differencesByKind().get("-set_up"),
                report.differencesByKind().toString());
        assertTrue(
                report.firstDifference().contains("recorded: ")
                        && report.firstDifference().contains("now:"),
                report.firstDifference());
        assertTrue(
                report.firstDifference().contains(" ms: Probed[host=HostId[value=h1], how=SERVED, tookMs="),
                report.firstDifference());
    }

    private static walnutfield.play.GatewayIdentity otherIdentity() {
        return new walnutfield.play.GatewayIdentity(1, 0, 1, new walnutfield.play.PlaceId("q"));
    }

    @Test
    void playsOfARemovedHostGoToOtherHosts() throws IOException {
        recordSimulation(11, 300);
        WhatIf.Comparison unchanged = WhatIf.run(file, null, UnaryOperator.identity());
        assertEquals(unchanged.recorded().plays(), unchanged.projected().plays());
        assertTrue(
                Math.abs(unchanged.recorded().started() - unchanged.projected().started()) <= 15, unchanged.toString());
        WhatIf.Comparison withoutHost = WhatIf.run(file, "h0", UnaryOperator.identity());
        assertTrue(withoutHost.recorded().byHost().containsKey("h0"), withoutHost.toString());
        assertFalse(withoutHost.projected().byHost().containsKey("h0"), withoutHost.toString());
        assertTrue(withoutHost.projected().started() > 0, withoutHost.toString());
    }

    @Test
    void snapshotHoldsTheHostListAndThePlaysInProgress() throws IOException {
        DeskStateTracker tracker = new DeskStateTracker();
        recordSimulation(12, 100);
        walnutfield.record.wire.Snapshot[] snapshots = new walnutfield.record.wire.Snapshot[1];
        Replay.run(file, UnaryOperator.identity(), null, (timeMs, call, results, sameResults) -> {
            tracker.called(call);
            results.forEach(tracker::resulted);
            if (call instanceof walnutfield.desk.Call.PlayRequested requested
                    && requested.request().play().value() == 60) {
                snapshots[0] = tracker.snapshot(timeMs);
            }
        });
        walnutfield.record.wire.Snapshot snapshot = snapshots[0];
        assertEquals(DeskSimulation.HOSTS, snapshot.getHosts().getHostsCount());
        assertTrue(snapshot.getPlaysCount() > 2, snapshot.toString());
        assertTrue(tracker.openPlays() <= 1, "plays that ended are forgotten");
        snapshot.getPlaysList().forEach(p -> assertTrue(p.getHost().startsWith("h"), p.toString()));
    }
}
