package walnutfield.stitch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.stitch.Stitcher.SkipReason;

class StitcherTest {
    private static final TrafficClass PLAY_CLASS = new TrafficClass("b", 1000, 4000, 3, true, 1.4, 1, 3, 2);
    private static final ViewerId VIEWER = new ViewerId(1);
    private final List<String> reports = new ArrayList<>();
    private final Stitcher stitcher = new Stitcher(new Stitcher.SlotListener() {
        @Override
        public void started(Slot slot) {
            reports.add("started " + slot.insert().id().value());
        }

        @Override
        public void completed(Slot slot) {
            reports.add("completed " + slot.insert().id().value());
        }

        @Override
        public void dropped(Slot slot, SkipReason reason) {
            reports.add("dropped " + slot.insert().id().value() + " " + reason);
        }
    });

    private static Insert insert(
            String id,
            Insert.Place place,
            double atMs,
            double replacedMs,
            boolean mandatory,
            int maxRung,
            int maxPerHour) {
        return new Insert(
                new InsertId(id),
                new TitleId(9),
                0,
                2,
                maxRung,
                2000,
                2,
                place,
                atMs,
                replacedMs,
                mandatory,
                Set.of(),
                Set.of(),
                0,
                1e12,
                maxPerHour);
    }

    /** Schedules the insert alone and plans a viewing; null where the plan is empty. */
    private Slot planOnly(Insert insert) {
        stitcher.updateSchedule(new Schedule(List.of(insert)));
        List<Slot> slots = stitcher.plan(1000, VIEWER, null, PLAY_CLASS, 2000, 60_000);
        return slots.isEmpty() ? null : slots.get(0);
    }

    @Test
    void anInsertHasItsPlaysMinimumRungWithoutSeatsOrPayment() {
        TrafficClass insertClass =
                stitcher.request(1000, planOnly(insert("i", Insert.Place.BEFORE, 0, 0, false, 2, 0)), PLAY_CLASS);
        assertEquals(new TrafficClass("insert-b", 1000, 4000, 3 * 0.3, false, 1.4, 1, 2, 0), insertClass);
    }

    /** A scheduled insert and what becomes of it when a viewing of the programme is planned. */
    @ParameterizedTest
    @CsvSource({
        "BEFORE, 0, 3, planned",
        "AT, 5000, 3, planned",
        "AT, 70000, 3, dropped i PAST_THE_END",
        "BEFORE, 0, 0, dropped i UNDER_FLOOR"
    })
    void insertsThatCannotBeShownAreDroppedWhilePlanning(
            Insert.Place place, double atMs, int maxRung, String expected) {
        Slot slot = planOnly(insert("i", place, atMs, 0, false, maxRung, 0));
        assertEquals(expected.equals("planned") ? List.of() : List.of(expected), reports);
        assertEquals(expected.equals("planned"), slot != null);
    }

    @Test
    void anOptionalInsertIsDroppedImmediatelyAndAMandatoryOneIsRetried() {
        Slot optional = planOnly(insert("may", Insert.Place.BEFORE, 0, 0, false, 3, 0));
        stitcher.request(1000, optional, PLAY_CLASS);
        assertTrue(Double.isNaN(stitcher.rejected(1010, optional, SkipReason.NO_HOST)));
        Slot mandatory = planOnly(insert("must", Insert.Place.BEFORE, 0, 0, true, 3, 0));
        stitcher.request(1000, mandatory, PLAY_CLASS);
        assertEquals(1310, stitcher.rejected(1010, mandatory, SkipReason.NO_HOST));
        assertNotNull(stitcher.request(1310, mandatory, PLAY_CLASS));
        assertTrue(Double.isNaN(stitcher.rejected(1500, mandatory, SkipReason.NO_HOST)), "its play must start by 2000");
        assertEquals(List.of("dropped may NO_HOST", "dropped must NO_HOST"), reports);
    }

    @Test
    void aMandatoryInsertIsRequestedAtMostFourTimes() {
        Slot mandatory = planOnly(insert("must", Insert.Place.AT, 9000, 0, true, 3, 0));
        int requests = 0;
        for (double now = 1000;
                stitcher.request(now, mandatory, PLAY_CLASS) != null;
                now = stitcher.rejected(now, mandatory, SkipReason.NO_HOST)) {
            requests++;
            assertTrue(requests < 10);
        }
        assertEquals(4, requests);
        assertEquals(List.of("dropped must NO_HOST"), reports);
    }

    @Test
    void aLostHostIsReplacedOnceAndThenTheInsertIsDropped() {
        Slot slot = planOnly(insert("i", Insert.Place.AT, 9000, 0, false, 3, 0));
        stitcher.request(1000, slot, PLAY_CLASS);
        stitcher.placed(slot);
        stitcher.started(1100, slot, VIEWER);
        assertTrue(stitcher.hostLost(1200, slot, 500));
        assertTrue(!stitcher.hostLost(1300, slot, 500));
        stitcher.completed(slot);
        stitcher.drop(slot, SkipReason.VIEWER_LEFT);
        assertEquals(List.of("started i", "dropped i HOST_LOST"), reports);
    }

    /** A viewer's retry or another play within an hour does not get an insert that was shown; after an hour it does. */
    @ParameterizedTest
    @CsvSource({"1, 0", "3599999, 0", "3600001, 1"})
    void anInsertIsShownToAViewerOnceAnHour(double laterMs, int expectedSlots) {
        Slot slot = planOnly(insert("i", Insert.Place.BEFORE, 0, 0, false, 3, 1));
        stitcher.request(1000, slot, PLAY_CLASS);
        stitcher.placed(slot);
        stitcher.started(1000, slot, VIEWER);
        assertEquals(
                expectedSlots,
                stitcher.plan(1000 + laterMs, VIEWER, null, PLAY_CLASS, 1e9, 60_000)
                        .size());
        assertEquals(
                1,
                stitcher.plan(1000 + laterMs, new ViewerId(2), null, PLAY_CLASS, 1e9, 60_000)
                        .size());
        stitcher.removeExpiredHistory(1000 + laterMs);
        assertEquals(1 - expectedSlots, stitcher.rememberedViewers());
    }

    @Test
    void aWithdrawnInsertIsNotRequestedButOneAlreadyRequestedIsRetried() {
        Slot planned = planOnly(insert("planned", Insert.Place.AT, 9000, 0, false, 3, 0));
        Slot requested = planOnly(insert("under", Insert.Place.BEFORE, 0, 0, true, 3, 0));
        stitcher.request(1000, requested, PLAY_CLASS);
        stitcher.updateSchedule(Schedule.NONE);
        assertNull(stitcher.request(1500, planned, PLAY_CLASS));
        assertEquals(1310, stitcher.rejected(1010, requested, SkipReason.NO_HOST));
        assertNotNull(stitcher.request(1310, requested, PLAY_CLASS));
        assertEquals(List.of("dropped planned WITHDRAWN"), reports);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "AT, 0, 0, 0|must have a duration above 0",
                "INSTEAD, 0, 0, 2000|must replace more than 0 ms of the programme",
                "INSTEAD, 0, 1000, 2000|is longer than the part of the programme that it replaces",
                "BEFORE, 5, 0, 2000|plays before the programme and must not have a position in it",
                "AT, 21000, 0, 2000|overlaps insert other",
                "INSTEAD, 15000, 6000, 2000|overlaps insert other",
                "AT, 20000, 0, 2000|good",
                "AT, 30000, 0, 2000|good",
                "BEFORE, 0, 0, 1|good"
            })
    void aFaultOfAScheduleNamesItsInsert(String fields, String expectedReason) {
        String[] values = fields.split(", ");
        Insert other = insert("other", Insert.Place.INSTEAD, 20_000, 10_000, false, 3, 0);
        Insert insert = new Insert(
                new InsertId("i"),
                new TitleId(9),
                0,
                2,
                3,
                Double.parseDouble(values[3]),
                2,
                Insert.Place.valueOf(values[0]),
                Double.parseDouble(values[1]),
                Double.parseDouble(values[2]),
                false,
                Set.of(),
                Set.of(new TenantId("c")),
                0,
                1,
                0);
        String found = new Schedule(List.of(other, insert))
                .fault()
                .map(fault -> fault.insertIndex() + " " + fault.reason())
                .orElse("1 insert i good");
        assertTrue(found.startsWith("1 insert i " + expectedReason), found);
    }

    /** In any order of events a slot is reported as started at most once and as completed or dropped exactly once. */
    @Test
    void eachSlotIsReportedOnceInAnyOrderOfEvents() {
        for (long seed = 0; seed < 500; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            reports.clear();
            Slot slot = planOnly(insert(
                    "i",
                    random.nextBoolean() ? Insert.Place.BEFORE : Insert.Place.AT,
                    0,
                    0,
                    random.nextBoolean(),
                    3,
                    0));
            double now = 1000;
            for (int step = 0; step < 30; step++) {
                now += random.nextDouble() * 200;
                switch (random.nextInt(6)) {
                    case 0 -> stitcher.request(now, slot, PLAY_CLASS);
                    case 1 -> stitcher.rejected(now, slot, SkipReason.NO_HOST);
                    case 2 -> stitcher.placed(slot);
                    case 3 -> stitcher.started(now, slot, VIEWER);
                    case 4 -> stitcher.hostLost(now, slot, random.nextDouble() * 100);
                    default -> stitcher.completed(slot);
                }
            }
            stitcher.drop(slot, SkipReason.VIEWER_LEFT);
            assertTrue(reports.stream().filter("started i"::equals).count() <= 1, seed + ": " + reports);
            assertEquals(
                    1,
                    reports.stream()
                            .filter(report -> !report.startsWith("started"))
                            .count(),
                    seed + ": " + reports);
            assertTrue(
                    !reports.contains("completed i") || reports.indexOf("started i") < reports.indexOf("completed i"),
                    reports.toString());
        }
    }
}
