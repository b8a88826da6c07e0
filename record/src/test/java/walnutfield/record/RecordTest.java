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

class RecordTest {
    @TempDir
    Path dir;

    private Path file;

    @BeforeEach
    void file() {
        file = dir.resolve("a.record");
    }

    private void day(long seed, int wishes) throws IOException {
        Making making = DeskDay.making(seed);
        try (Recorder r = new Recorder(file, making, Long.MAX_VALUE, Double.MAX_VALUE)) {
            new DeskDay(making, seed, r).run(wishes);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void aFreshDeskDecidesTheSameByteForByte(long seed) throws IOException {
        day(seed, 300);
        Replay.Report r = Replay.run(file);
        assertEquals("", r.first());
        assertEquals(0, r.different());
        assertTrue(r.compared() > 1000 && r.ended() && r.damaged().isEmpty() && r.dropped() == 0, r.toString());
    }

    /** The module chooses alike whether it tells why or not, and tells of every holder. */
    @Test
    void aWitnessChangesNothing() throws IOException {
        day(4, 300);
        List<String> said = new ArrayList<>();
        Replay.Report r = Trace.run(file, new Trace.Wish(8L, null, 0, 1e15), said::add);
        assertEquals(0, r.different(), r.first());
        assertEquals(
                3, said.stream().filter(s -> s.contains("    holder ")).limit(3).count(), said.toString());
        assertTrue(said.stream().anyMatch(s -> s.contains("WishTaken")), said.toString());
        assertTrue(said.stream().anyMatch(s -> s.contains("stage Placing for play 8")), said.toString());
        assertTrue(said.stream().noneMatch(s -> s.contains("play 9:")), said.toString());
    }

    /** Cut anywhere, a record is read up to its last whole frame, and the offset of the next one is named. */
    @Test
    void aRecordCutAtAnyByteIsReadUpToThere() throws IOException {
        day(5, 12);
        byte[] whole = Files.readAllBytes(file);
        long all = Replay.run(file).compared();
        long last = 0;
        Path cut = dir.resolve("cut.record");
        for (int n = 0; n < whole.length; n++) {
            Files.write(cut, Arrays.copyOf(whole, n));
            try {
                Replay.Report r = Replay.run(cut);
                assertEquals(0, r.different(), "cut at " + n);
                assertFalse(r.ended(), "cut at " + n);
                assertTrue(r.compared() >= last && r.compared() <= all);
                last = r.compared();
                if (!r.damaged().isEmpty()) {
                    long offset = Long.parseLong(r.damaged().replaceAll("offset ([0-9]+): .*", "$1"));
                    assertTrue(offset <= n && offset >= 8, r.damaged() + " cut at " + n);
                }
            } catch (Damaged e) {
                assertTrue(n < 8, e.getMessage() + " cut at " + n);
            }
        }
        assertEquals(all, last);
    }

    /** One changed bit anywhere is seen. */
    @Test
    void aChangedBitIsSeen() throws IOException {
        day(6, 4);
        byte[] whole = Files.readAllBytes(file);
        for (int n = 0; n < whole.length; n++) {
            byte[] bad = whole.clone();
            bad[n] ^= (byte) (1 << n % 8);
            Files.write(file, bad);
            try {
                assertFalse(Replay.run(file).damaged().isEmpty(), "byte " + n);
            } catch (Damaged e) {
                assertTrue(e.offset() <= n, e.getMessage());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"0, version 0", "2, version 2; this program reads 1 to 1"})
    void anotherVersionIsRefused(int version, String reason) throws IOException {
        day(7, 3);
        byte[] b = Files.readAllBytes(file);
        b[7] = (byte) version;
        Files.write(file, b);
        Damaged e = assertThrows(Damaged.class, () -> Replay.run(file));
        assertTrue(e.getMessage().startsWith("offset 6: " + reason), e.getMessage());
    }

    /** A disk that takes nothing at first: the desk goes on, the stretch is told, and then a snapshot begins anew. */
    @Test
    void whatTheDiskCannotTakeIsDroppedInAWholeStretch() throws Exception {
        Making making = DeskDay.making(8);
        CountDownLatch disk = new CountDownLatch(1);
        List<Integer> seen = new ArrayList<>();
        try (Recorder r = new Recorder(file, making, Long.MAX_VALUE, Double.MAX_VALUE, 100, () -> {
            try {
                disk.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        })) {
            new DeskDay(making, 8, new walnutfield.desk.Listener() {
                        @Override
                        public void called(double now, walnutfield.desk.Call call) {
                            seen.add(1);
                            if (seen.size() == 400) {
                                disk.countDown();
                            }
                            if (seen.size() >= 400) { // the disk is quick again
                                Thread.yield();
                                java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
                            }
                            r.called(now, call);
                        }

                        @Override
                        public void resulted(double now, walnutfield.desk.Result result) {
                            r.resulted(now, result);
                        }
                    })
                    .run(200);
            assertTrue(r.dropped() > 250, "dropped " + r.dropped());
        }
        Replay.Report r = Replay.run(file);
        assertEquals(100, r.compared());
        assertEquals(0, r.different(), r.first());
        assertEquals(seen.size(), r.compared() + r.projected() + r.dropped());
        assertTrue(r.projected() > 100 && r.ended(), r.toString());
    }

    @ParameterizedTest
    @CsvSource({"2000, 1e15, the file was full", "1000000, 3000, its time was over"})
    void pastItsBoundsNothingMoreIsKept(long bytes, double ms, String why) throws IOException {
        Making making = DeskDay.making(9);
        try (Recorder r = new Recorder(file, making, bytes, ms)) {
            new DeskDay(making, 9, r).run(3000);
        }
        Replay.Report r = Replay.run(file);
        assertTrue(r.dropped() > 100 && r.ended() && r.different() == 0, r.toString());
        assertTrue(new String(Files.readAllBytes(file), java.nio.charset.StandardCharsets.ISO_8859_1).contains(why));
    }

    @Test
    void otherSettingsAreCountedByKind() throws IOException {
        day(10, 300);
        Making other = new Making(
                "x",
                "y",
                0,
                null0(),
                new walnutfield.play.Ladder(List.of(100.0, 200.0, 400.0), List.of(0.4, 0.7, 1.0), 8),
                new walnutfield.play.LinkSettings(800.0 * DeskDay.HOSTS, 0, 9000, 2, DeskDay.HOSTS, false),
                new RetryPolicy(1, 0, 0, 10_000),
                new walnutfield.play.SlowStartPolicy(0.2, 3000, 3, 1000),
                new walnutfield.play.SheddingPolicy(2000),
                new walnutfield.play.LoadReportSettings(true, 0.01, 200, false, false),
                new walnutfield.play.MoveCosts(0.02, 0),
                List.of());
        Replay.Report r = Replay.run(file, m -> m.with(other), null, null);
        assertTrue(r.different() > 50, r.toString());
        assertNotNull(r.kinds().get("set_rung"), r.kinds().toString());
        assertNotNull(r.kinds().get("-set_up"), r.kinds().toString());
        assertTrue(r.first().contains("recorded: ") && r.first().contains("now:"), r.first());
    }

    private static walnutfield.play.GatewayIdentity null0() {
        return new walnutfield.play.GatewayIdentity(1, 0, 1, new walnutfield.play.PlaceId("q"));
    }

    @Test
    void withoutAHostItsPlaysGoElsewhere() throws IOException {
        day(11, 300);
        WhatIf.Pair same = WhatIf.run(file, null, UnaryOperator.identity());
        assertEquals(same.recorded().plays(), same.projected().plays());
        assertTrue(Math.abs(same.recorded().started() - same.projected().started()) <= 15, same.toString());
        WhatIf.Pair less = WhatIf.run(file, "h0", UnaryOperator.identity());
        assertTrue(less.recorded().byHost().containsKey("h0"), less.toString());
        assertFalse(less.projected().byHost().containsKey("h0"), less.toString());
        assertTrue(less.projected().started() > 0, less.toString());
    }

    @Test
    void aSnapshotHasTheListAndThePlaysThatPlay() throws IOException {
        Tracker t = new Tracker();
        day(12, 100);
        walnutfield.record.wire.Snapshot[] at = new walnutfield.record.wire.Snapshot[1];
        Replay.run(file, UnaryOperator.identity(), null, (time, call, now, alike) -> {
            t.called(call);
            now.forEach(t::resulted);
            if (call instanceof walnutfield.desk.Call.PlayRequested w
                    && w.request().play().value() == 60) {
                at[0] = t.snapshot(time);
            }
        });
        walnutfield.record.wire.Snapshot s = at[0];
        assertEquals(DeskDay.HOSTS, s.getHosts().getHostsCount());
        assertTrue(s.getPlaysCount() > 2, s.toString());
        assertTrue(t.open() <= 1, "plays that ended are forgotten");
        s.getPlaysList().forEach(p -> assertTrue(p.getHost().startsWith("h"), p.toString()));
    }
}
