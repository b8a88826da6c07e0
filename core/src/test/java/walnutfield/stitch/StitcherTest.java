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
    private static final TrafficClass BAND = new TrafficClass("b", 1000, 4000, 3, true, 1.4, 1, 3, 2);
    private static final ViewerId VIEWER = new ViewerId(1);
    private final List<String> said = new ArrayList<>();
    private final Stitcher stitcher = new Stitcher(new Stitcher.Reports() {
        @Override
        public void started(Slot slot) {
            said.add("started " + slot.insert().id().value());
        }

        @Override
        public void completed(Slot slot) {
            said.add("completed " + slot.insert().id().value());
        }

        @Override
        public void dropped(Slot slot, SkipReason why) {
            said.add("dropped " + slot.insert().id().value() + " " + why);
        }
    });

    private static Insert insert(
            String id, Insert.Place place, double at, double instead, boolean must, int top, int perHour) {
        return new Insert(
                new InsertId(id),
                new TitleId(9),
                0,
                2,
                top,
                2000,
                2,
                place,
                at,
                instead,
                must,
                Set.of(),
                Set.of(),
                0,
                1e12,
                perHour);
    }

    private Slot one(Insert i) {
        stitcher.schedule(new Schedule(List.of(i)));
        List<Slot> all = stitcher.plan(1000, VIEWER, null, BAND, 2000, 60_000);
        return all.isEmpty() ? null : all.get(0);
    }

    @Test
    void anInsertIsPlacedUnderItsPlaysFloorWithoutSeatOrPrice() {
        TrafficClass b = stitcher.ask(1000, one(insert("i", Insert.Place.BEFORE, 0, 0, false, 2, 0)), BAND);
        assertEquals(new TrafficClass("insert-b", 1000, 4000, 3 * 0.3, false, 1.4, 1, 2, 0), b);
    }

    /** What a schedule says, and what a play of this length and band makes of it at once. */
    @ParameterizedTest
    @CsvSource({
        "BEFORE, 0, 3, planned",
        "AT, 5000, 3, planned",
        "AT, 70000, 3, dropped i PAST_THE_END",
        "BEFORE, 0, 0, dropped i UNDER_FLOOR"
    })
    void whatIsPlanned(Insert.Place place, double at, int top, String then) {
        Slot s = one(insert("i", place, at, 0, false, top, 0));
        assertEquals(then.equals("planned") ? List.of() : List.of(then), said);
        assertEquals(then.equals("planned"), s != null);
    }

    @Test
    void oneThatMayBeDroppedIsAtOnceAndOneThatMustPlayIsWaitedFor() {
        Slot may = one(insert("may", Insert.Place.BEFORE, 0, 0, false, 3, 0));
        stitcher.ask(1000, may, BAND);
        assertTrue(Double.isNaN(stitcher.notTaken(1010, may, SkipReason.NO_HOST)));
        Slot must = one(insert("must", Insert.Place.BEFORE, 0, 0, true, 3, 0));
        stitcher.ask(1000, must, BAND);
        assertEquals(1310, stitcher.notTaken(1010, must, SkipReason.NO_HOST));
        assertNotNull(stitcher.ask(1310, must, BAND));
        assertTrue(Double.isNaN(stitcher.notTaken(1500, must, SkipReason.NO_HOST)), "its play must start by 2000");
        assertEquals(List.of("dropped may NO_HOST", "dropped must NO_HOST"), said);
    }

    @Test
    void theProgrammeNeverWaitsWithoutEnd() {
        Slot must = one(insert("must", Insert.Place.AT, 9000, 0, true, 3, 0));
        int asks = 0;
        for (double t = 1000; stitcher.ask(t, must, BAND) != null; t = stitcher.notTaken(t, must, SkipReason.NO_HOST)) {
            asks++;
            assertTrue(asks < 10);
        }
        assertEquals(4, asks);
        assertEquals(List.of("dropped must NO_HOST"), said);
    }

    @Test
    void aLostHostIsReplacedOnceAndThenTheInsertIsCut() {
        Slot s = one(insert("i", Insert.Place.AT, 9000, 0, false, 3, 0));
        stitcher.ask(1000, s, BAND);
        stitcher.placed(s);
        stitcher.started(1100, s, VIEWER);
        assertTrue(stitcher.resumes(1200, s, 500));
        assertTrue(!stitcher.resumes(1300, s, 500));
        stitcher.completed(s);
        stitcher.drop(s, SkipReason.VIEWER_LEFT);
        assertEquals(List.of("started i", "dropped i HOST_LOST"), said);
    }

    /** A viewer's retry, and another play within the hour, get none that was shown; after an hour it is shown again. */
    @ParameterizedTest
    @CsvSource({"1, 0", "3599999, 0", "3600001, 1"})
    void noneIsShownTwiceInAnHour(double later, int again) {
        Slot s = one(insert("i", Insert.Place.BEFORE, 0, 0, false, 3, 1));
        stitcher.ask(1000, s, BAND);
        stitcher.placed(s);
        stitcher.started(1000, s, VIEWER);
        assertEquals(
                again,
                stitcher.plan(1000 + later, VIEWER, null, BAND, 1e9, 60_000).size());
        assertEquals(
                1,
                stitcher.plan(1000 + later, new ViewerId(2), null, BAND, 1e9, 60_000)
                        .size());
        stitcher.tidy(1000 + later);
        assertEquals(1 - again, stitcher.remembered());
    }

    @Test
    void whatWasWithdrawnIsNotAskedForAndWhatIsUnderWayStays() {
        Slot planned = one(insert("planned", Insert.Place.AT, 9000, 0, false, 3, 0));
        Slot under = one(insert("under", Insert.Place.BEFORE, 0, 0, true, 3, 0));
        stitcher.ask(1000, under, BAND);
        stitcher.schedule(Schedule.NONE);
        assertNull(stitcher.ask(1500, planned, BAND));
        assertEquals(1310, stitcher.notTaken(1010, under, SkipReason.NO_HOST));
        assertNotNull(stitcher.ask(1310, under, BAND));
        assertEquals(List.of("dropped planned WITHDRAWN"), said);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "AT, 0, 0, 0|has no length",
                "INSTEAD, 0, 0, 2000|stands for nothing",
                "INSTEAD, 0, 1000, 2000|is longer than the stretch",
                "BEFORE, 5, 0, 2000|stands before the programme and at",
                "AT, 21000, 0, 2000|overlaps insert other",
                "INSTEAD, 15000, 6000, 2000|overlaps insert other",
                "AT, 20000, 0, 2000|good",
                "AT, 30000, 0, 2000|good",
                "BEFORE, 0, 0, 1|good"
            })
    void aScheduleIsTakenAsAWhole(String given, String reason) {
        String[] g = given.split(", ");
        Insert other = insert("other", Insert.Place.INSTEAD, 20_000, 10_000, false, 3, 0);
        Insert i = new Insert(
                new InsertId("i"),
                new TitleId(9),
                0,
                2,
                3,
                Double.parseDouble(g[3]),
                2,
                Insert.Place.valueOf(g[0]),
                Double.parseDouble(g[1]),
                Double.parseDouble(g[2]),
                false,
                Set.of(),
                Set.of(new TenantId("c")),
                0,
                1,
                0);
        String said = new Schedule(List.of(other, i))
                .fault()
                .map(f -> f.insert() + " " + f.reason())
                .orElse("1 insert i good");
        assertTrue(said.startsWith("1 insert i " + reason), said);
    }

    /** Whatever happens in whatever order, each slot is reported started at most once and ended at most once. */
    @Test
    void eachIsReportedOnceWhateverHappens() {
        for (long seed = 0; seed < 500; seed++) {
            SplittableRandom r = new SplittableRandom(seed);
            said.clear();
            Slot s = one(
                    insert("i", r.nextBoolean() ? Insert.Place.BEFORE : Insert.Place.AT, 0, 0, r.nextBoolean(), 3, 0));
            double now = 1000;
            for (int step = 0; step < 30; step++) {
                now += r.nextDouble() * 200;
                switch (r.nextInt(6)) {
                    case 0 -> stitcher.ask(now, s, BAND);
                    case 1 -> stitcher.notTaken(now, s, SkipReason.NO_HOST);
                    case 2 -> stitcher.placed(s);
                    case 3 -> stitcher.started(now, s, VIEWER);
                    case 4 -> stitcher.resumes(now, s, r.nextDouble() * 100);
                    default -> stitcher.completed(s);
                }
            }
            stitcher.drop(s, SkipReason.VIEWER_LEFT);
            assertTrue(said.stream().filter("started i"::equals).count() <= 1, seed + ": " + said);
            assertEquals(1, said.stream().filter(x -> !x.startsWith("started")).count(), seed + ": " + said);
            assertTrue(
                    !said.contains("completed i") || said.indexOf("started i") < said.indexOf("completed i"),
                    said.toString());
        }
    }
}
