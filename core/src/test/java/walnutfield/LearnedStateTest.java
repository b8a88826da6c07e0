package walnutfield;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static walnutfield.DirectorFixture.FREE;
import static walnutfield.DirectorFixture.PAID;
import static walnutfield.DirectorFixture.SEATED;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.play.HostDescriptor;
import walnutfield.play.LearnedState;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.RetryPolicy;

/** The first seconds of a gateway process that takes over the learned state of an earlier process. */
class LearnedStateTest {
    /** State of a process in which host 0 lost a leg and hosts 1 and 3 of one rack delivered short. */
    private static LearnedState earlierState() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId firstPlay = fixture.request(FREE, 0, 1, 4000);
        fixture.endLeg(firstPlay, 0, 0, Outcome.CONNECTION_LOST, false);
        fixture.reportShortRack(20);
        PlayId secondPlay = fixture.request(FREE, 0, 1, 4000);
        if (fixture.hostOf(secondPlay) == 0) {
            fixture.endLeg(secondPlay, 0, 0, Outcome.CONNECTION_LOST, false);
        }
        return fixture.director.learnedState(fixture.now);
    }

    @Test
    void learnedStateIsHandedToTheNextProcess() {
        LearnedState state = earlierState();
        assertEquals(
                List.of("h0"),
                state.hosts().stream()
                        .filter(LearnedState.HostHealth::outlier)
                        .map(h -> h.host().value())
                        .toList());
        assertEquals(1, state.uplinks().size(), state.toString());
        assertEquals(1, state.uplinks().get(0).rack());
        assertTrue(state.uplinks().get(0).factor() > 1.5, state.toString());
    }

    private static LearnedState stateWithOutlier(DirectorFixture fixture, double ageMs, double startedAt) {
        return new LearnedState(
                fixture.now - ageMs,
                30_000,
                List.of(),
                List.of(new LearnedState.HostHealth(
                        DirectorFixture.host(0), startedAt, true, true, fixture.now + 3000, 0)));
    }

    /** Age of the learned state, start time of the host that it describes, and whether the host is skipped. */
    @ParameterizedTest
    @CsvSource({"1000, 0, true", "59000, 0, true", "61000, 0, false", "-500, 0, false", "1000, 77, false"})
    void outlierIsKeptIfStateIsRecentAndTheHostHasNotRestarted(double ageMs, double startedAt, boolean skipped) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.director.learnedStateRestored(fixture.now, stateWithOutlier(fixture, ageMs, startedAt));
        fixture.reportLinkUse(0.1, 0.6, 0.6);
        assertEquals(skipped, fixture.hostOf(fixture.request(FREE, 4000)) != 0);
        PlayId paidPlay = fixture.request(PAID, 0, 1, 4000);
        assertEquals(skipped ? -1 : 0, fixture.hostOf(paidPlay), "a paid play must not go to an outlier");
        assertEquals(
                ageMs > 60_000 || ageMs < 0 ? 1 : 0,
                fixture.countDecisions("log what was learnt"),
                fixture.decisions.toString());
    }

    @Test
    void emptyStateLogsNothing() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.director.learnedStateRestored(fixture.now, LearnedState.NOTHING);
        assertEquals(0, fixture.countDecisions("log"));
    }

    /** Racks: cells 0, 2, 4 and 1, 3, 5. */
    @Test
    void learnedUplinkCorrectionIsApplied() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.director.learnedStateRestored(
                fixture.now,
                new LearnedState(fixture.now, 0, List.of(new LearnedState.UplinkCorrection(1, 2)), List.of()));
        fixture.reportLinkUse(0.5, 0.45, 0.6, 0.45, 0.6, 0.45); // uplink of rack 1: 0.45 by its links, 0.9 as corrected
        assertEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
        DirectorFixture other = DirectorFixture.singleGateway();
        other.reportLinkUse(0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        assertEquals(1, other.hostOf(other.request(FREE, 4000)));
    }

    /** Learned state never makes a host more eligible than the host list does. */
    @Test
    void drainingHostStaysExcludedAndSlowStartContinues() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 60_000, false);
        fixture.advance(70_000); // no host is unproven any more
        fixture.director.hostListUpdated(
                fixture.now, List.of(DirectorFixture.descriptor(1, HostDescriptor.LifecycleState.DRAINING, 0)));
        fixture.director.learnedStateRestored(
                fixture.now,
                new LearnedState(
                        fixture.now - 100,
                        30_000,
                        List.of(),
                        List.of(
                                new LearnedState.HostHealth(
                                        DirectorFixture.host(0), 0, false, false, 0, fixture.now - 200),
                                new LearnedState.HostHealth(DirectorFixture.host(1), 0, false, false, 0, 0))));
        fixture.reportLinkUse(0.1, 0.1, 0.1);
        int toSlowStart = 0;
        for (int i = 0; i < 12; i++) {
            int host = fixture.hostOf(fixture.request(FREE, 4000));
            assertNotEquals(1, host);
            toSlowStart += host == 0 ? 1 : 0;
        }
        assertTrue(toSlowStart <= 1, "sent " + toSlowStart + " plays immediately to a host in slow start");
    }

    @Test
    void seatsAreCountedOnce() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId first = fixture.addPlaying(SEATED, 0, 2);
        fixture.addPlaying(SEATED, 1, 2);
        fixture.director.learnedStateRestored(fixture.now, earlierState());
        assertEquals(
                1,
                fixture.countDecisions("shed " + fixture.request(SEATED, 4000).value()));
        fixture.endLeg(first, 0, 0, Outcome.SERVED, true);
        PlayId next = fixture.request(SEATED, 4000);
        assertEquals(0, fixture.countDecisions("shed " + next.value()), fixture.decisions.toString());
    }
}
