package walnutfield;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static walnutfield.Bench.FREE;
import static walnutfield.Bench.PAID;
import static walnutfield.Bench.SEATED;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.play.HostDescriptor;
import walnutfield.play.LearnedState;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.RetryPolicy;

/** The first seconds of a gateway that takes over what its earlier life had learnt. */
class LearntTest {
    /** A life in which host 0 broke off a leg and host 1 delivered short beside host 3 of its rack. */
    private static LearnedState lived() {
        Bench b = Bench.plain();
        PlayId p = b.want(FREE, 0, 1, 4000);
        b.end(p, 0, 0, Outcome.CONNECTION_LOST, false);
        b.shortRack(20);
        PlayId again = b.want(FREE, 0, 1, 4000);
        if (b.sentTo(again) == 0) {
            b.end(again, 0, 0, Outcome.CONNECTION_LOST, false);
        }
        return b.director.learnedState(b.now);
    }

    @Test
    void whatALifeHadLearntIsHandedOver() {
        LearnedState l = lived();
        assertEquals(
                List.of("h0"),
                l.hosts().stream()
                        .filter(LearnedState.HostHealth::outlier)
                        .map(h -> h.host().value())
                        .toList());
        assertEquals(1, l.uplinks().size(), l.toString());
        assertEquals(1, l.uplinks().get(0).rack());
        assertTrue(l.uplinks().get(0).narrow() > 1.5, l.toString());
    }

    private static LearnedState suspect(Bench b, double age, double launched) {
        return new LearnedState(
                b.now - age,
                30_000,
                List.of(),
                List.of(new LearnedState.HostHealth(Bench.host(0), launched, true, true, b.now + 3000, 0)));
    }

    /** Age of what was learnt, start of the host's life that it speaks of, and whether the host is passed over. */
    @ParameterizedTest
    @CsvSource({"1000, 0, true", "59000, 0, true", "61000, 0, false", "-500, 0, false", "1000, 77, false"})
    void aSuspectIsStillOneInTheSameLifeOfItsAndOurs(double age, double launched, boolean passedOver) {
        Bench b = Bench.plain();
        b.director.learnedStateRestored(b.now, suspect(b, age, launched));
        b.links(0.1, 0.6, 0.6);
        assertEquals(passedOver, b.sentTo(b.want(FREE, 4000)) != 0);
        PlayId alone = b.want(PAID, 0, 1, 4000);
        assertEquals(passedOver ? -1 : 0, b.sentTo(alone), "a paid play never goes to a suspect");
        assertEquals(age > 60_000 || age < 0 ? 1 : 0, b.count("log what was learnt"), b.out.toString());
    }

    @Test
    void nothingLearntIsNothingSaid() {
        Bench b = Bench.plain();
        b.director.learnedStateRestored(b.now, LearnedState.NOTHING);
        assertEquals(0, b.count("log"));
    }

    @Test
    void aNarrowUplinkIsKeptOutOfTheWay() { // racks: cells 0, 2, 4 and 1, 3, 5
        Bench b = Bench.plain();
        b.director.learnedStateRestored(
                b.now, new LearnedState(b.now, 0, List.of(new LearnedState.UplinkCorrection(1, 2)), List.of()));
        b.links(0.5, 0.45, 0.6, 0.45, 0.6, 0.45); // uplink of rack 1: 0.45 told by its links, 0.9 as learnt
        assertEquals(0, b.sentTo(b.want(FREE, 4000)));
        Bench c = Bench.plain();
        c.links(0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        assertEquals(1, c.sentTo(c.want(FREE, 4000)));
    }

    /** Nothing that was learnt makes a host more welcome than the list does. */
    @Test
    void aDrainingHostStaysLeftAndAColdOneCold() {
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 60_000, false);
        b.pass(70_000); // all are proven by now
        b.director.hostListUpdated(b.now, List.of(Bench.line(1, HostDescriptor.LifecycleState.DRAINING, 0)));
        b.director.learnedStateRestored(
                b.now,
                new LearnedState(
                        b.now - 100,
                        30_000,
                        List.of(),
                        List.of(
                                new LearnedState.HostHealth(Bench.host(0), 0, false, false, 0, b.now - 200),
                                new LearnedState.HostHealth(Bench.host(1), 0, false, false, 0, 0))));
        b.links(0.1, 0.1, 0.1);
        int toCold = 0;
        for (int i = 0; i < 12; i++) {
            int at = b.sentTo(b.want(FREE, 4000));
            assertNotEquals(1, at);
            toCold += at == 0 ? 1 : 0;
        }
        assertTrue(toCold <= 1, "sent " + toCold + " to a cold host at once");
    }

    @Test
    void seatsAreCountedOnce() {
        Bench b = Bench.plain();
        PlayId first = b.underWay(SEATED, 0, 2);
        b.underWay(SEATED, 1, 2);
        b.director.learnedStateRestored(b.now, lived());
        assertEquals(1, b.count("shed " + b.want(SEATED, 4000).value()));
        b.end(first, 0, 0, Outcome.SERVED, true);
        PlayId next = b.want(SEATED, 4000);
        assertEquals(0, b.count("shed " + next.value()), b.out.toString());
    }
}
