package walnutfield.desk;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Ladder;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.MoveTerms;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.ShedTerms;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;

class DeskTest {
    private static final Band BAND = new Band("b", 1000, 4000, 1, false, 1, 0, 1, 0);

    /** A short day: a list, plays, a failed leg, looks. */
    private static List<String> day(long seed) {
        List<String> seen = new ArrayList<>();
        Listener ear = new Listener() {
            @Override
            public void called(double now, Call call) {
                seen.add(now + " > " + call);
            }

            @Override
            public void resulted(double now, Result result) {
                seen.add(now + " < " + result);
            }
        };
        Desk desk = new Desk(
                new Post(seed, 0, 3, new PlaceId("p")),
                new Ladder(List.of(100.0, 300.0), List.of(0.5, 1.0), 8),
                new LinkTerms(9000, 0, 0, 1, 3, false),
                new LegTerms(4, 5, 0.2, 10_000),
                new ColdTerms(1, 0, 1, 0),
                new ShedTerms(2000),
                new ReportTerms(true, 0.01, 0, true, false),
                new MoveTerms(0.1, 0),
                List.of(),
                Gateway.NONE,
                ear);
        List<HostLine> lines = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            lines.add(new HostLine(new HostId("h" + i), new PlaceId("p"), 20, i, HostLine.Standing.READY, 1, 0));
        }
        desk.take(1000, new Call.ListRemembered(lines));
        for (int i = 0; i < 8; i++) {
            desk.take(
                    1001 + i,
                    new Call.WishTaken(new Wanted(
                            new PlayId(i), new ViewerId(i), new TitleId(1), null, BAND, 0, 3, 1, false, 0, 4000)));
        }
        desk.take(1100, new Call.Woke("look"));
        return seen;
    }

    @Test
    void theListenerSeesEveryCallBeforeItsResults() {
        List<String> seen = day(3);
        assertTrue(seen.get(0).contains("ListRemembered"), seen.get(0));
        assertEquals(8, seen.stream().filter(s -> s.contains("> WishTaken")).count());
        long sent = seen.stream()
                .filter(s -> s.contains("< SetUp") || s.contains("< Probe"))
                .count();
        assertTrue(sent >= 8, seen.toString());
    }

    @Test
    void theSameCallsGiveTheSameResults() {
        assertEquals(day(3), day(3));
    }
}
