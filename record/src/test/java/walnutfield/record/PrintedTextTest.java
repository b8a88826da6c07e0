package walnutfield.record;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Guards the names printed in traces: they must not change when a record or one of its components is renamed. */
class PrintedTextTest {
    private static final HostId HOST = new HostId("h1");
    private static final TrafficClass TRAFFIC_CLASS = new TrafficClass("live", 400, 900, 2.5, true, 1, 0, 3, 8);

    @Test
    void printedRecordKeepsItsNames() {
        PlayRequest request = new PlayRequest(
                new PlayId(1),
                new ViewerId(2),
                new TitleId(3),
                new TenantId("c"),
                TRAFFIC_CLASS,
                4,
                5,
                6,
                false,
                7,
                8,
                true);
        assertPrinted(
                "WishTaken[wish=Wanted[play=PlayId[value=1], viewer=ViewerId[value=2], title=TitleId[value=3], customer=CustomerId[value=c], band=Band[name=live, expectedMs=400.0, hardStopMs=900.0, credit=2.5, paid=true, rates=1.0, floor=0, top=3, seats=8], firstCell=4, holders=5, bestRung=6, moved=false, lengthMs=7.0, leftMs=8.0, own=true]]",
                new Call.PlayRequested(request));
        assertPrinted(
                "Ended[play=PlayId[value=1], leg=0, on=HostId[value=h1], how=CALLED_OFF, over=true, tookMs=9.0, load=Load[link=0.5, uplink=NaN, streams=3.0]]",
                new Call.LegEnded(
                        new PlayId(1), 0, HOST, Outcome.CANCELLED, true, 9, new LoadReport(0.5, Double.NaN, 3)));
        assertPrinted(
                "ListChanged[lines=[HostLine[host=HostId[value=h1], place=PlaceId[value=north], slots=20, cell=2, standing=DRAINING, units=1.5, launched=77.0]]]",
                new Call.HostListUpdated(List.of(new HostDescriptor(
                        HOST, new PlaceId("north"), 20, 2, HostDescriptor.LifecycleState.DRAINING, 1.5, 77))));
        assertPrinted(
                "LearntTaken[learnt=Learnt[at=1.0, life=2.0, uplinks=[Uplink[rack=3, narrow=1.25]], hosts=[Doubted[host=HostId[value=h1], launched=4.0, suspect=true, silent=false, retryAt=5.0, coldSince=6.0]]]]",
                new Call.LearnedStateRestored(new LearnedState(
                        1,
                        2,
                        List.of(new LearnedState.UplinkCorrection(3, 1.25)),
                        List.of(new LearnedState.HostHealth(HOST, 4, true, false, 5, 6)))));
        assertPrinted("Woke[mark=look]", new Call.TimerFired("look"));
        assertPrinted("MinutePassed[]", new Call.MinuteElapsed());
        assertPrinted(
                "SetUp[play=PlayId[value=1], host=HostId[value=h1], patienceMs=250.0]",
                new Result.SetUpLeg(new PlayId(1), HOST, 250));
        assertPrinted("Wake[time=12.5, mark=look]", new Result.SetTimer(12.5, "look"));
        assertPrinted(
                "Planned[viewing=PlayId[value=1], inserts=[Insert[id=InsertId[value=i], title=TitleId[value=3], firstCell=0, holders=2, topRung=3, durationMs=1000.0, targetS=4, place=AT, atMs=5000.0, insteadMs=0.0, must=true, bands=[live], customers=[CustomerId[value=c]], fromMs=0.0, untilMs=1.0, perHour=2]]]",
                new Result.InsertsPlanned(
                        new PlayId(1),
                        List.of(new Insert(
                                new InsertId("i"),
                                new TitleId(3),
                                0,
                                2,
                                3,
                                1000,
                                4,
                                Insert.Place.AT,
                                5000,
                                0,
                                true,
                                Set.of("live"),
                                Set.of(new TenantId("c")),
                                0,
                                1,
                                2))));
    }

    @Test
    void everyCallAndResultKeepsItsPrintedNames() {
        List<String> printed = Stream.of(Call.class, Result.class)
                .flatMap(kind -> Stream.of(kind.getPermittedSubclasses()))
                .map(PrintedTextTest::heading)
                .sorted()
                .toList();
        assertEquals(
                List.of(
                        "AskAgain[viewing, slot, time]",
                        "AskFor[viewing, slot, band]",
                        "ComesBack[play, back]",
                        "Ended[play, leg, on, how, over, tookMs, load]",
                        "Ending[]",
                        "Errored[play]",
                        "FollowList[]",
                        "GaveUp[play]",
                        "InsertBegun[viewing, slot, viewer]",
                        "InsertDue[viewing, slot, band]",
                        "InsertEnded[viewing, slot, whole]",
                        "InsertLate[viewing, slot]",
                        "InsertLost[viewing, slot, leftMs]",
                        "InsertNotTaken[viewing, slot, why]",
                        "InsertPlaced[viewing, slot]",
                        "LearntTaken[learnt]",
                        "ListChanged[lines]",
                        "ListLost[]",
                        "ListRemembered[lines]",
                        "ListWhole[lines]",
                        "LoadTold[host, load]",
                        "MinutePassed[]",
                        "Move[play]",
                        "Noted[line]",
                        "Planned[viewing, inserts]",
                        "PlayBroke[play, band, before, sinceMs, unlistedMs]",
                        "Probe[host]",
                        "Probed[host, how, tookMs, load]",
                        "ProgrammeEnded[viewing, lengthMs]",
                        "Reported[viewing, slot, insert, what]",
                        "RungTold[play, rung]",
                        "ScheduleTaken[schedule]",
                        "SetRung[play, rung]",
                        "SetUp[play, host, patienceMs]",
                        "ShareTold[host, share]",
                        "Shed[play, holdOffMs]",
                        "Started[play, leg, on, tookMs]",
                        "UnderWay[wish, host]",
                        "ViewingBegan[viewing, viewer, customer, band, startBy, lengthMs]",
                        "ViewingOver[viewing, fetched]",
                        "Wake[time, mark]",
                        "WishTaken[wish]",
                        "Woke[mark]"),
                printed);
    }

    @Test
    void everyOutcomeKeepsItsPrintedName() {
        assertEquals(
                List.of(
                        "SERVED",
                        "FAILED",
                        "TURNED_AWAY",
                        "TIMED_OUT",
                        "UNREACHABLE",
                        "BROKEN_OFF",
                        "CALLED_OFF",
                        "NOT_SENT"),
                Stream.of(Outcome.values()).map(PrintedText::of).toList());
    }

    private static String heading(Class<?> type) {
        return PrintedText.typeName(type)
                + Stream.of(type.getRecordComponents())
                        .map(PrintedText::componentName)
                        .toList();
    }

    private static void assertPrinted(String expected, Object value) {
        assertEquals(expected, PrintedText.of(value));
    }
}
