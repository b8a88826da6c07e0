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
import walnutfield.play.LoadReport;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.RetryPolicy;
import walnutfield.play.ViewerId;

/** Decisions of a Director for given host lists, load reports, plays and outcomes of legs. */
class DirectorTest {
    /** Whether the play is paid, how its first leg ended, and what the play gets immediately. */
    @ParameterizedTest
    @CsvSource({
        "false, FAILED, set up",
        "false, TIMED_OUT, set up",
        "false, CONNECTION_LOST, set up",
        "false, CANCELLED, set up",
        "false, REJECTED, set up",
        "false, UNREACHABLE, set up",
        "false, NOT_SENT, set up",
        "true, FAILED, error",
        "true, TIMED_OUT, error",
        "true, CONNECTION_LOST, error",
        "true, CANCELLED, error",
        "true, REJECTED, set up",
        "true, UNREACHABLE, set up",
        "true, NOT_SENT, set up"
    })
    void playIsRetriedUnlessPaidAndPossiblyRun(boolean paid, Outcome outcome, String expected) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.request(paid ? PAID : FREE, 4000);
        int firstHost = fixture.hostOf(play);
        fixture.decisions.clear();
        fixture.endLeg(play, 0, firstHost, outcome, false);
        assertEquals(1, fixture.countDecisions(expected + " " + play.value()), fixture.decisions.toString());
        assertEquals(
                1,
                fixture.decisions.stream()
                        .filter(s -> !s.startsWith("log") && !s.startsWith("rung"))
                        .count());
        assertNotEquals(firstHost, fixture.hostOf(play));
    }

    /** Use of three links of 4000 kB/s and the host chosen; the mean rate is sqrt(100 x 900) = 300 kB/s. */
    @ParameterizedTest
    @CsvSource({"0.5, 0.4, 0.6, 1", "0.2, 0.4, 0.6, 0", "0.9, 0.9, 0.3, 2", "0.41, 0.40, 0.42, 1"})
    void hostWithTheMostSpareRateIsChosen(double use0, double use1, double use2, int expected) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(use0, use1, use2);
        assertEquals(expected, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** Spare rate is 13.3 plays each; the streams add 1/50 %, 1/2.5 % and 1/25 %. */
    @Test
    void fewerStreamsDecideBetweenEqualLinks() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        double[] streams = {20, 1, 10};
        for (int i = 0; i < 3; i++) {
            fixture.director.loadReported(fixture.now, DirectorFixture.host(i), new LoadReport(0.1, 0.1, streams[i]));
        }
        assertEquals(1, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** Racks: cells 0, 2, 4 and 1, 3, 5. */
    @Test
    void fullUplinkOutweighsAFreeLink() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.1, 0.3, 0.1);
        fixture.director.loadReported(
                fixture.now, DirectorFixture.host(0), new LoadReport(Double.NaN, 0.95, Double.NaN));
        assertEquals(1, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** Reported are 0.8 and 0.1, so a host without a report counts as about 0.3 while there are no own plays. */
    @Test
    void hostsWithoutReportCountAsAverage() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.8);
        assertNotEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
        DirectorFixture other = DirectorFixture.singleGateway();
        other.reportLinkUse(0.05);
        for (int i = 3; i < 6; i++) {
            other.director.loadReported(
                    other.now, DirectorFixture.host(i), new LoadReport(0.9, Double.NaN, Double.NaN));
        }
        assertEquals(0, other.hostOf(other.request(FREE, 4000)));
    }

    /** The sixth play finds 0.30 reported + 0.20 by peers + its own 0.225. */
    @Test
    void peersAreAssumedToReceiveTheSameBurst() {
        DirectorFixture fixture = new DirectorFixture(4, new RetryPolicy(4, 0, -1, 0), 0, false);
        fixture.reportLinkUse(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
        fixture.advance(50);
        for (int i = 0; i < 6; i++) {
            fixture.request(FREE, i, 1, 4000);
        }
        assertEquals(1, fixture.countDecisions("rung 1 3"), fixture.decisions.toString());
        assertEquals(1, fixture.countDecisions("rung 6 2"), fixture.decisions.toString());
    }

    @Test
    void ownPlaysSinceAReportCountImmediately() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.1, 0.2, 0.9);
        assertEquals(0, fixture.hostOf(fixture.request(FREE, 4000))); // now 900 of 4000 kB/s more: 0.325
        assertEquals(1, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /**
     * Use of the only holder's link and of its uplink, and the rung that a new play gets. The top rung's limit is 0.65,
     * each rung below adds 0.14, and the limits of an uplink are 0.08 higher.
     */
    @ParameterizedTest
    @CsvSource({
        "0.40, 0, 3",
        "0.45, 0, 2",
        "0.68, 0, 2",
        "0.70, 0, 1",
        "0.87, 0, 1",
        "0.89, 0, 0",
        "0.97, 0, 0",
        "0.10, 0.64, 3",
        "0.10, 0.67, 2"
    })
    void rungFallsWithUse(double use, double uplink, int rung) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.director.loadReported(fixture.now, DirectorFixture.host(0), new LoadReport(use, uplink, Double.NaN));
        PlayId play = fixture.request(FREE, 0, 1, 4000);
        assertEquals(
                rung > 0 ? 1 : 0,
                fixture.countDecisions("rung " + play.value() + " " + rung),
                fixture.decisions.toString());
        assertEquals(rung > 0 ? 1 : 0, fixture.countDecisions("rung"));
    }

    @Test
    void overloadDowngradesOncePerTenSecondsAndNeverBelowTheMinimumRung() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId low = fixture.addPlaying(SEATED, 0, 2);
        for (int i = 0; i < 24; i++) {
            fixture.advance(500);
            fixture.reportLinkUse(2.0);
        }
        assertTrue(fixture.countDecisions("rung " + low.value()) >= 1);
        assertEquals(0, fixture.countDecisions("rung " + low.value() + " 0"));
        DirectorFixture other = DirectorFixture.singleGateway();
        PlayId play = other.addPlaying(FREE, 0, 3);
        other.advance(200);
        other.reportLinkUse(1.10);
        other.advance(200);
        assertEquals(1, other.countDecisions("rung " + play.value()));
        other.advance(9_000);
        other.reportLinkUse(1.5);
        other.advance(500);
        assertEquals(1, other.countDecisions("rung " + play.value()), "changed again within 10 s");
        other.advance(1_000);
        other.reportLinkUse(1.5);
        other.advance(500);
        assertEquals(2, other.countDecisions("rung " + play.value()));
    }

    @Test
    void newPlayMayBeDowngradedImmediately() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.request(FREE, 0, 1, 4000);
        fixture.startLeg(play, 0, 0, 10);
        fixture.advance(500);
        fixture.reportLinkUse(1.5);
        fixture.advance(200);
        assertEquals(2, fixture.countDecisions("rung " + play.value()), fixture.decisions.toString());
    }

    /** A play changes its rung only once in 10 s, so that a single change has to use the headroom. */
    @Test
    void playIsUpgradedAsFarAsTheHeadroomAllows() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.addPlaying(FREE, 0, 0);
        fixture.reportLinkUse(0.1);
        fixture.advance(1_900);
        assertEquals(
                0,
                fixture.countDecisions("rung"),
                "the first load reports may leave out plays that the host started with");
        fixture.advance(200);
        assertEquals(1, fixture.countDecisions("rung " + play.value() + " 3"));
        assertEquals(1, fixture.countDecisions("rung " + play.value()));
    }

    /** Late reports show headroom to all gateways at the same time. */
    @Test
    void noUpgradeShortlyAfterAShortage() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.addPlaying(FREE, 0, 0);
        fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(0), 0.9);
        fixture.advance(1_000);
        fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(0), 1);
        fixture.reportLinkUse(0.1);
        fixture.advance(8_900);
        assertEquals(0, fixture.countDecisions("rung " + play.value()));
        fixture.reportLinkUse(0.1);
        fixture.advance(200);
        assertEquals(1, fixture.countDecisions("rung " + play.value()));
    }

    /** The host has 2000 kB/s, as it is half warm, against 0.4 of 4000 kB/s elsewhere. */
    @Test
    void justStartedHostCarriesNoLoad() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        fixture.advance(13_000);
        fixture.reportLinkUse(0.9, 0.6, 0.6);
        fixture.director.hostListUpdated(
                fixture.now, List.of(DirectorFixture.descriptor(0, HostDescriptor.LifecycleState.READY, fixture.now)));
        fixture.advance(400);
        assertEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** Use of the only holder's link, and whether a further play is admitted there: its lowest rung takes 0.025. */
    @ParameterizedTest
    @CsvSource({"0.97, true", "0.99, false", "1.60, false"})
    void noPlayIsAdmittedWhereItsLowestRungExceedsTheCapacity(double use, boolean admitted) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(use);
        PlayId play = fixture.request(FREE, 0, 1, 4000);
        assertEquals(admitted ? 0 : -1, fixture.hostOf(play));
        assertEquals(
                admitted ? 0 : 1,
                fixture.countDecisions("shed " + play.value()),
                "an inadmissible play is shed immediately");
    }

    @Test
    void playsInProgressTakeSeatsAndFreeThemAtTheirEnd() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId first = fixture.addPlaying(SEATED, 0, 1);
        PlayId second = fixture.request(SEATED, 4000);
        assertNotEquals(-1, fixture.hostOf(second));
        PlayId third = fixture.request(SEATED, 4000);
        assertEquals(1, fixture.countDecisions("shed " + third.value()));
        fixture.endLeg(first, 0, 0, Outcome.SERVED, true);
        assertNotEquals(-1, fixture.hostOf(fixture.request(SEATED, 4000)));
    }

    @Test
    void drainingHostReceivesNeitherRetriesNorQueuedPlays() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.request(FREE, 0, 2, 4000);
        int firstHost = fixture.hostOf(play);
        fixture.director.hostListUpdated(
                fixture.now,
                List.of(DirectorFixture.descriptor(1 - firstHost, HostDescriptor.LifecycleState.DRAINING, 0)));
        fixture.endLeg(play, 0, firstHost, Outcome.FAILED, false);
        fixture.advance(4_000);
        assertEquals(1, fixture.countDecisions("set up"));
        assertEquals(1, fixture.countDecisions("shed " + play.value()));
        fixture.director.hostListReplaced(fixture.now, List.of()); // a host that a complete list does not name is gone
        PlayId second = fixture.request(FREE, 4000);
        fixture.advance(4_000);
        assertEquals(-1, fixture.hostOf(second));
        assertEquals(1, fixture.countDecisions("shed " + second.value()));
    }

    /** Our part is 40 slots / 12 s x 0.5 x 3 x 2 s / 3 gateways = 6.7. */
    @Test
    void slowStartHostReceivesAtMostOurPartInAnyWindow() {
        DirectorFixture fixture = new DirectorFixture(3, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        fixture.advance(20_000);
        fixture.director.hostListUpdated(
                fixture.now, List.of(DirectorFixture.descriptor(0, HostDescriptor.LifecycleState.READY, fixture.now)));
        double[] sentAt = new double[400];
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            PlayId play = fixture.request(FREE, 0, 1, 300);
            fixture.advance(20);
            if (fixture.hostOf(play) == 0) {
                sentAt[sent++] = fixture.now;
                fixture.startLeg(play, 0, 0, 10);
            }
        }
        assertTrue(sent > 0 && sent <= 6, "sent in 2 s: " + sent);
    }

    /** A gateway that has just started may send 2.5 plays in 2 s, as hosts count as half warm. */
    @Test
    void unprovenHostReceivesASafePaceNotSplitAmongAllGateways() {
        DirectorFixture fixture = new DirectorFixture(4, new RetryPolicy(4, 0, -1, 0), 24_000, false);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            PlayId play = fixture.request(FREE, 0, 1, 300);
            fixture.advance(20);
            sent += fixture.hostOf(play) == 0 ? 1 : 0;
        }
        assertTrue(sent >= 2 && sent <= 3, "sent in 2 s: " + sent);
    }

    /** The budget is 1 base retry + 0.5 of 2 plays admitted = 2. */
    @Test
    void retriesKeepToTheBudget() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(6, 1, 0.5, 10_000), 0, false);
        PlayId play = fixture.request(FREE, 0, 6, 4000);
        fixture.request(FREE, 0, 6, 4000);
        for (int leg = 0; leg < 3; leg++) {
            fixture.endLeg(play, leg, fixture.hostOf(play), Outcome.UNREACHABLE, false);
        }
        assertEquals(3, fixture.countDecisions("set up " + play.value() + " "));
        assertEquals(1, fixture.countDecisions("shed " + play.value()));
        fixture.advance(10_100); // the window of the budget has passed
        PlayId second = fixture.request(FREE, 0, 6, 4000);
        fixture.endLeg(second, 0, fixture.hostOf(second), Outcome.FAILED, false);
        assertEquals(2, fixture.countDecisions("set up " + second.value() + " "));
    }

    /** Time that a play has left, and the timeout of its leg: the play's own deadline counts, not that of its class. */
    @ParameterizedTest
    @CsvSource({"true, 4000, 3970", "true, 700, 670", "false, 4000, 500", "false, 260, 230"})
    void legTimeout(boolean paid, double remainingMs, long timeoutMs) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.request(paid ? PAID : FREE, remainingMs);
        assertEquals(
                1,
                fixture.decisions.stream()
                        .filter(s -> s.contains(" " + timeoutMs + " h"))
                        .count(),
                fixture.decisions.toString());
    }

    @Test
    void everyPlayIsAnsweredBeforeItsDeadline() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.director.hostListReplaced(fixture.now, List.of());
        PlayId play = fixture.request(PAID, 900);
        fixture.advance(900);
        assertEquals(1, fixture.countDecisions("shed " + play.value()));
        PlayId second = fixture.request(PAID, 10);
        assertEquals(1, fixture.countDecisions("shed " + second.value()), "no time to queue the play");
    }

    @Test
    void fastFailingHostIsSkippedThoughItLooksIdle() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.0, 0.5, 0.5);
        PlayId play = fixture.request(FREE, 4000);
        fixture.endLeg(play, 0, 0, Outcome.FAILED, false);
        assertNotEquals(0, fixture.hostOf(play));
        for (int i = 0; i < 5; i++) {
            assertNotEquals(0, fixture.hostOf(fixture.request(PAID, 4000)));
        }
        fixture.advance(4_100); // the host is retried, with one unpaid play at a time
        assertNotEquals(0, fixture.hostOf(fixture.request(PAID, 4000)));
        assertEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
        assertNotEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    @Test
    void hostThatRejectsALegIsSkippedForOneSecond() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.0, 0.6, 0.6);
        fixture.endLeg(fixture.request(FREE, 4000), 0, 0, Outcome.REJECTED, false);
        fixture.advance(900);
        assertNotEquals(0, fixture.hostOf(fixture.request(PAID, 4000)));
        fixture.advance(200);
        assertEquals(0, fixture.hostOf(fixture.request(PAID, 4000)), "the host is full, not an outlier");
    }

    /** The report in an answer describes an earlier time than a report that is sent at the time of the answer. */
    @Test
    void reportsAreOrderedByTheTimeTheyDescribe() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.9, 0.5, 0.5);
        fixture.director.legEnded(
                fixture.now,
                fixture.request(FREE, 0, 1, 4000),
                0,
                DirectorFixture.host(0),
                Outcome.REJECTED,
                false,
                10,
                new LoadReport(0.0, Double.NaN, Double.NaN));
        fixture.advance(1_100);
        assertNotEquals(0, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    @Test
    void unresponsiveHostReturnsInSlowStart() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 60_000, false);
        fixture.advance(61_000);
        fixture.reportLinkUse(0.0, 0.8, 0.8);
        PlayId play = fixture.request(FREE, 4000);
        fixture.endLeg(play, 0, 0, Outcome.TIMED_OUT, false);
        fixture.advance(2_100);
        PlayId trial = fixture.request(FREE, 0, 1, 4000);
        assertEquals(0, fixture.hostOf(trial));
        fixture.startLeg(trial, 0, 0, 10);
        PlayId nextPlay = fixture.request(FREE, 0, 1, 4000);
        assertEquals(
                -1,
                fixture.hostOf(nextPlay),
                "a second play was sent immediately to a host that may have just started");
    }

    @Test
    void slowHostIsComparedWithItsPeers() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 4; i++) {
                PlayId play = fixture.request(FREE, i, 1, 4000);
                fixture.startLeg(play, 0, i, i == 0 ? 900 : 80);
            }
        }
        fixture.advance(200);
        assertEquals(1, fixture.countDecisions("log host h0 suspect: slow"));
        assertEquals(1, fixture.countDecisions("log host"), "peers were ejected too");
    }

    @Test
    void playsMoveOnlyOffShortHostsAtTheMoveCheckAndOncePerThirtySeconds() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.addPlaying(FREE, 0, 3);
        fixture.director.playInProgress(
                fixture.now,
                new PlayRequest(
                        new PlayId(99), new ViewerId(99), DirectorFixture.TITLE, null, PAID, 0, 3, 3, true, 0, 4000),
                DirectorFixture.host(0)); // has just been moved
        fixture.director.playInProgress(
                fixture.now,
                new PlayRequest(
                        new PlayId(98), new ViewerId(98), DirectorFixture.TITLE, null, PAID, 0, 3, 3, false, 0, 4000),
                DirectorFixture.host(0));
        int firstMoveTick = 0;
        for (int i = 1; i <= 160; i++) {
            fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(0), 0.6);
            fixture.advance(100);
            firstMoveTick = firstMoveTick == 0 && fixture.countDecisions("move") > 0 ? i : firstMoveTick;
        }
        assertTrue(firstMoveTick >= 50 && firstMoveTick <= 150, "first move after " + firstMoveTick + " ticks");
        assertEquals(
                0,
                fixture.countDecisions("move " + play.value()),
                "a play whose title has a single holder cannot move");
        assertEquals(0, fixture.countDecisions("move 99"));
        assertTrue(fixture.countDecisions("move 98") <= 2, "moved more often than at the move checks");
    }

    @Test
    void holderWithoutRecentReportIsProbedFirst() {
        DirectorFixture fixture = DirectorFixture.oneOf200(5, 0, true);
        fixture.reportLinkUse(Double.NaN, Double.NaN, Double.NaN, Double.NaN, 0.5);
        assertEquals(4, fixture.hostOf(fixture.request(FREE, 4, 1, 4000)), "the host has a recent report");
        PlayId play = fixture.request(FREE, 0, 2, 4000);
        assertEquals(-1, fixture.hostOf(play));
        int firstHost = fixture.decisions.contains("probe h0") ? 0 : 1;
        fixture.director.probeCompleted(
                fixture.now,
                DirectorFixture.host(firstHost),
                Outcome.SERVED,
                5,
                new LoadReport(0.9, Double.NaN, Double.NaN));
        assertEquals(
                1,
                fixture.countDecisions("probe h" + (1 - firstHost)),
                "the first holder is full: the other one must be probed too");
        fixture.director.probeCompleted(
                fixture.now,
                DirectorFixture.host(1 - firstHost),
                Outcome.SERVED,
                5,
                new LoadReport(0.2, Double.NaN, Double.NaN));
        assertEquals(1 - firstHost, fixture.hostOf(play));
        assertEquals(2, fixture.countDecisions("probe"));
    }

    @Test
    void holderThatDoesNotAnswerAProbeIsSkipped() {
        DirectorFixture fixture = DirectorFixture.oneOf200(5, 0, true);
        PlayId play = fixture.request(FREE, 0, 2, 4000);
        int firstHost = fixture.decisions.contains("probe h0") ? 0 : 1;
        fixture.advance(100);
        fixture.director.probeCompleted(
                fixture.now,
                DirectorFixture.host(1 - firstHost),
                Outcome.SERVED,
                5,
                new LoadReport(0.9, Double.NaN, Double.NaN));
        assertEquals(1 - firstHost, fixture.hostOf(play), fixture.decisions.toString());
    }

    @Test
    void hostIsProbedBeforeAnUpgrade() {
        DirectorFixture fixture = DirectorFixture.oneOf200(5, 0, true);
        fixture.addPlaying(FREE, 0, 0);
        fixture.addPlaying(FREE, 0, 0);
        fixture.advance(4_000);
        assertEquals(1, fixture.countDecisions("probe h0"));
        assertEquals(0, fixture.countDecisions("rung"), "upgraded without a fresh report");
        fixture.director.probeCompleted(
                fixture.now, DirectorFixture.host(0), Outcome.SERVED, 5, new LoadReport(0.05, Double.NaN, Double.NaN));
        fixture.advance(200);
        assertTrue(fixture.countDecisions("rung") > 0);
    }

    @Test
    void newPlayGetsALowerRungOnAHostWithoutReport() {
        DirectorFixture reported = DirectorFixture.oneOf200(5, 0, false);
        reported.reportLinkUse(0.35, 0.35, 0.35, 0.35, 0.35, 0.35);
        PlayId play = reported.request(FREE, 0, 1, 4000);
        assertEquals(1, reported.countDecisions("rung " + play.value() + " 3"), reported.decisions.toString());
        DirectorFixture unreported = DirectorFixture.oneOf200(5, 0, false);
        unreported.reportLinkUse(Double.NaN, 0.35, 0.35, 0.35, 0.35, 0.35);
        PlayId second = unreported.request(FREE, 0, 1, 4000);
        assertEquals(1, unreported.countDecisions("rung " + second.value() + " 2"), unreported.decisions.toString());
    }

    /** Otherwise a gateway with few plays would never send it a paid one. */
    @Test
    void outlierWithoutNewsIsRestored() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.endLeg(fixture.request(FREE, 0, 1, 4000), 0, 0, Outcome.FAILED, false);
        fixture.advance(18_900);
        assertEquals(-1, fixture.hostOf(fixture.request(PAID, 0, 1, 4000)));
        fixture.advance(200);
        assertEquals(0, fixture.hostOf(fixture.request(PAID, 0, 1, 4000)));
    }

    /** The host runs set-ups, but its answers to them are lost. */
    @Test
    void answeredProbeDoesNotRestoreAnOutlier() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        fixture.endLeg(fixture.request(FREE, 0, 1, 4000), 0, 0, Outcome.TIMED_OUT, false);
        for (int i = 0; i < 3; i++) {
            fixture.director.probeCompleted(
                    fixture.now,
                    DirectorFixture.host(0),
                    Outcome.SERVED,
                    5,
                    new LoadReport(0.1, Double.NaN, Double.NaN));
        }
        assertEquals(-1, fixture.hostOf(fixture.request(PAID, 0, 1, 4000)));
    }

    /** A drained host comes back only by a later list, and then in slow start. */
    @Test
    void successiveDrainsLeaveTheRemainingHosts() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        fixture.advance(13_000);
        for (int i = 0; i < 2; i++) {
            fixture.director.hostListUpdated(
                    fixture.now, List.of(DirectorFixture.descriptor(i, HostDescriptor.LifecycleState.DRAINING, 0)));
            PlayId play = fixture.request(FREE, 0, 3, 4000);
            assertTrue(fixture.hostOf(play) > i, fixture.decisions.toString());
        }
        fixture.director.hostListUpdated(
                fixture.now, List.of(DirectorFixture.descriptor(0, HostDescriptor.LifecycleState.READY, fixture.now)));
        int burst = 0;
        for (int i = 0; i < 20; i++) {
            burst += fixture.hostOf(fixture.request(FREE, 0, 1, 300)) == 0 ? 1 : 0;
        }
        assertTrue(burst <= 1, "sent immediately to a replacement in slow start: " + burst);
    }

    /** Each play earns two probes among many gateways, of which at most four are saved. */
    @Test
    void probesKeepToTheirBudget() {
        DirectorFixture fixture = DirectorFixture.oneOf200(5, 0, true);
        for (int i = 0; i < 20; i++) {
            fixture.request(FREE, i % 6, 1, 4000);
            fixture.advance(2_000);
        }
        assertTrue(
                fixture.countDecisions("probe") > 0 && fixture.countDecisions("probe") <= 40,
                "probes: " + fixture.countDecisions("probe"));
        DirectorFixture single = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        single.request(FREE, 4000);
        assertEquals(0, single.countDecisions("probe"), "a single gateway knows all plays and needs no probes");
    }

    /** Each of 200 gateways has a play on a host: reported use, the play's rung, and how many of 100 may change it. */
    @ParameterizedTest
    @CsvSource({"0.75, 0, 15, 60", "0.86, 0, 0, 0", "1.10, 3, 30, 75", "1.10, 1, 10, 50"})
    void rungChangesForPartOfAPlayAreRandom(double use, int rung, int minChanged, int maxChanged) {
        int changed = 0;
        for (int seed = 0; seed < 100; seed++) {
            DirectorFixture fixture = DirectorFixture.oneOf200(seed, 0, false);
            PlayId play = fixture.addPlaying(FREE, 0, rung);
            fixture.advance(1_990);
            fixture.reportLinkUse(use);
            fixture.advance(100);
            changed += fixture.countDecisions("rung " + play.value()) > 0 ? 1 : 0;
        }
        assertTrue(changed >= minChanged && changed <= maxChanged, "changed: " + changed);
    }

    @Test
    void gatewaysWithoutReportsSpreadOverEqualHosts() {
        int[] sent = new int[6];
        for (int seed = 0; seed < 60; seed++) {
            DirectorFixture fixture = DirectorFixture.oneOf200(seed, 0, false);
            sent[fixture.hostOf(fixture.request(FREE, 0, 6, 4000))]++;
        }
        for (int count : sent) {
            assertTrue(count >= 2 && count <= 20, java.util.Arrays.toString(sent));
        }
    }

    /** The safe pace is 40 slots / 12 s x 0.5 x 3 x 2 s = 10, of which a part of 0.6 is the target. */
    @Test
    void slowStartHostReceivesASafePaceFromAllGatewaysTogether() {
        int early = 0;
        int late = 0;
        for (int seed = 0; seed < 200; seed++) {
            DirectorFixture fixture = DirectorFixture.oneOf200(seed, 12_000, false);
            fixture.advance(20_000);
            fixture.director.hostListUpdated(
                    fixture.now,
                    List.of(DirectorFixture.descriptor(0, HostDescriptor.LifecycleState.READY, fixture.now)));
            fixture.advance(seed * 50);
            PlayId play = fixture.request(FREE, 0, 1, 300);
            fixture.advance(400);
            early += seed < 40 && fixture.hostOf(play) == 0 ? 1 : 0;
            late += seed >= 40 && fixture.hostOf(play) == 0 ? 1 : 0;
        }
        assertTrue(early <= 10, "sent in 2 s: " + early);
        assertTrue(late >= 10 && late <= 60, "sent in the next 8 s: " + late);
    }

    /**
     * Gateways that are restarted together know a host that has just started, and each knows little of its own traffic.
     * In 2 s the host withstands N = 40 slots / 12 s x 0.5 x 3 x 2 s = 10 set-ups.
     */
    @ParameterizedTest
    @CsvSource({"200, 30", "30, 30", "20, 10"})
    void gatewaysRestartedTogetherDoNotOverloadASlowStartHost(int gateways, int plays) {
        int sent = 0;
        for (int seed = 0; seed < gateways; seed++) {
            DirectorFixture fixture = new DirectorFixture(seed, gateways, new RetryPolicy(4, 0, -1, 0), 12_000, false);
            fixture.advance(5_000);
            List<HostDescriptor> descriptors = fixture.allHosts(0);
            descriptors.set(0, DirectorFixture.descriptor(0, HostDescriptor.LifecycleState.READY, fixture.now - 500));
            fixture.director.persistedHostListLoaded(fixture.now, descriptors);
            for (int i = 0; i < plays; i++) {
                fixture.advance(2_000.0 / plays);
                PlayId play = fixture.request(FREE, 0, 1, 300);
                sent += fixture.hostOf(play) == 0 ? 1 : 0;
            }
        }
        assertTrue(sent <= 10 + 2 * Math.sqrt(10) + 2, "sent in 2 s: " + sent);
    }

    @Test
    void shutdownAnswersEachPendingPlayOnceByWhatMayHaveRun() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, false);
        PlayId playing = fixture.request(PAID, 4000);
        fixture.startLeg(playing, 0, fixture.hostOf(playing), 10);
        PlayId paid = fixture.request(PAID, 4000);
        PlayId free = fixture.request(FREE, 4000);
        fixture.director.hostListUpdated(
                fixture.now,
                fixture.allHosts(0).stream()
                        .map(descriptor -> new HostDescriptor(
                                descriptor.host(),
                                descriptor.place(),
                                descriptor.maxStreams(),
                                descriptor.cell(),
                                HostDescriptor.LifecycleState.DRAINING,
                                1,
                                0))
                        .toList());
        PlayId queued = fixture.request(PAID, 4000);
        assertEquals(-1, fixture.hostOf(queued));
        fixture.director.shutdownStarted(fixture.now);
        fixture.advance(5_000);
        assertEquals(
                List.of("error " + paid.value(), "shed " + free.value(), "shed " + queued.value()),
                fixture.decisions.stream()
                        .filter(s -> s.startsWith("error") || s.startsWith("shed"))
                        .toList());
    }

    @Test
    void processStallEjectsNoHost() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportLinkUse(0.0, 0.5, 0.5);
        PlayId play = fixture.request(FREE, 4000);
        fixture.advance(100);
        fixture.stall(1_800);
        fixture.endLeg(play, 0, 0, Outcome.TIMED_OUT, false);
        assertEquals(0, fixture.countDecisions("log host"));
        fixture.advance(100);
        assertEquals(0, fixture.hostOf(fixture.request(PAID, 4000)));
        PlayId second = fixture.request(FREE, 0, 1, 4000);
        fixture.advance(200);
        fixture.endLeg(second, 0, 0, Outcome.TIMED_OUT, false);
        assertEquals(1, fixture.countDecisions("log host"), "a timeout after the stall must count");
    }

    /** 0.50 reported + 2 x 900 of 24000 kB/s more by each of 3 peers give 0.725. */
    @Test
    void peersLoadIsAssumedToGrowWithOurs() {
        DirectorFixture fixture = new DirectorFixture(4, new RetryPolicy(4, 0, -1, 0), 0, false);
        fixture.reportLinkUse(0.5, 0.0, 0.0, 0.0, 0.0, 0.0);
        fixture.advance(50);
        fixture.request(FREE, 1, 1, 4000);
        fixture.request(FREE, 3, 1, 4000);
        PlayId play = fixture.request(FREE, 0, 1, 4000);
        assertEquals(1, fixture.countDecisions("rung " + play.value() + " 1"), fixture.decisions.toString());
    }

    /** The third host of that rack must not be chosen then. */
    @Test
    void hostsOfARackShortTogetherIndicateAFullUplink() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.addPlaying(FREE, 0, 1);
        fixture.addPlaying(FREE, 2, 1);
        fixture.reportLinkUse(0.96, 0.9, 0.96, 0.9, 0.1, 0.9);
        fixture.advance(50);
        fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(0), 0.8);
        fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(2), 0.8);
        assertEquals(3, fixture.hostOf(fixture.request(FREE, 3, 2, 4000)));
    }

    /** The first five plays are always within the quota: fewer prove no excess. */
    @Test
    void playsOverTheQuotaGetTheMinimumRung() {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        for (int i = 0; i < 5; i++) {
            fixture.requestForTenant();
        }
        assertEquals(5, fixture.countDecisions("rung"));
        PlayId sixth = fixture.requestForTenant();
        assertEquals(0, fixture.countDecisions("rung " + sixth.value()));
        assertNotEquals(-1, fixture.hostOf(sixth));
    }

    @Test
    void hostListIsWatchedAndWatchedAgainAfterItsLoss() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        fixture.advance(300);
        assertEquals(1, fixture.countDecisions("follow"));
        fixture.director.hostListUnavailable(fixture.now);
        fixture.advance(4_200);
        assertEquals(2, fixture.countDecisions("follow"));
    }

    @Test
    void unansweredProbeEjectsTheHost() {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        fixture.reportLinkUse(0.0, 0.5, 0.5);
        fixture.director.probeCompleted(fixture.now, DirectorFixture.host(0), Outcome.TIMED_OUT, 250, LoadReport.NONE);
        assertNotEquals(0, fixture.hostOf(fixture.request(PAID, 4000)));
    }

    /** Requests of the gateway itself add nothing to the retry budget: 10 plays at a retry ratio of 0.2 allow 2. */
    @ParameterizedTest
    @CsvSource({"false, 4", "true, 2"})
    void retryBudgetCountsOnlyPlaysOfViewers(boolean gatewayInitiated, int expectedRetries) {
        DirectorFixture fixture = new DirectorFixture(1, new RetryPolicy(4, 0, 0.2, 10_000), 0, false);
        for (int i = 0; i < 10; i++) {
            fixture.director.playRequested(
                    fixture.now,
                    new PlayRequest(
                            new PlayId(100 + i),
                            new ViewerId(i),
                            DirectorFixture.TITLE,
                            null,
                            FREE,
                            0,
                            6,
                            3,
                            false,
                            0,
                            4000,
                            gatewayInitiated));
        }
        List<PlayId> plays = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            plays.add(fixture.request(FREE, 0, 6, 4000));
        }
        long firstLegs = fixture.countDecisions("set up");
        plays.forEach(play -> fixture.endLeg(play, 0, fixture.hostOf(play), Outcome.FAILED, false));
        assertEquals(expectedRetries, fixture.countDecisions("set up") - firstLegs);
    }

    /** Gateways that have all just started and have no reports spread over the hosts, from their first play on. */
    @ParameterizedTest
    @CsvSource({"1", "2", "5"})
    void newGatewaysSpreadEvenlyFromTheFirstPlayOn(int plays) {
        int[] chosen = new int[6];
        for (long seed = 1; seed <= 600; seed++) {
            DirectorFixture fixture = DirectorFixture.oneOf200(seed * 0x9E3779B97F4A7C15L, 0, false);
            PlayId play = null;
            for (int i = 0; i < plays; i++) {
                play = fixture.request(FREE, 0, 6, 4000);
            }
            chosen[fixture.hostOf(play)]++;
        }
        for (int count : chosen) {
            assertTrue(count > 60 && count < 140, java.util.Arrays.toString(chosen));
        }
    }

    /** Use of a host in the same place and of one elsewhere, cost of cross-place traffic, and the host chosen. */
    @ParameterizedTest
    @CsvSource({"0.5, 0.4, 0, 1", "0.5, 0.4, 0.02, 0", "0.7, 0.35, 0.02, 1", "0.5, 0.5, 0.02, 0"})
    void spareRateInAnotherPlaceCountsLess(double localUse, double remoteUse, double crossPlaceCost, int expectedHost) {
        DirectorFixture fixture = new DirectorFixture(
                5,
                1,
                new RetryPolicy(4, 0, -1, 0),
                0,
                new LoadReportSettings(false, 0, 0, false, false),
                new MoveCosts(0.05, crossPlaceCost));
        HostDescriptor descriptor = DirectorFixture.descriptor(1, HostDescriptor.LifecycleState.READY, 0);
        fixture.director.hostListUpdated(
                fixture.now,
                List.of(new HostDescriptor(descriptor.host(), new PlaceId("q"), 40, 1, descriptor.state(), 1, 0)));
        fixture.reportLinkUse(localUse, remoteUse, 0.9);
        assertEquals(expectedHost, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** Time since rack 1's uplink was last short, and the host chosen: the correction decays within a minute. */
    @ParameterizedTest
    @CsvSource({"1000, 0", "25000, 0", "600000, 1"})
    void uplinkCorrectionOutlastsItsReport(double elapsedMs, int expectedHost) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        fixture.reportShortRack(30, 0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        fixture.advance(elapsedMs);
        fixture.reportLinkUse(0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        assertEquals(expectedHost, fixture.hostOf(fixture.request(FREE, 4000)));
    }

    /** If responses report load too, a play earns a quarter of the probes. */
    @ParameterizedTest
    @CsvSource({"false, 10, 60", "true, 1, 6"})
    void fewerProbesIfResponsesReportLoad(boolean loadInResponses, int minProbes, int maxProbes) {
        DirectorFixture fixture = new DirectorFixture(
                7,
                200,
                new RetryPolicy(4, 0, -1, 0),
                0,
                new LoadReportSettings(true, 0.02, 0, false, loadInResponses),
                new MoveCosts(0.05, 0));
        for (int i = 0; i < 60; i++) {
            PlayId play = fixture.request(FREE, 0, 6, 4000);
            for (int host = 0; host < 6; host++) { // answers each probe
                fixture.director.probeCompleted(
                        fixture.now,
                        DirectorFixture.host(host),
                        Outcome.SERVED,
                        1,
                        new LoadReport(0.5, Double.NaN, Double.NaN));
            }
            fixture.advance(2000);
            fixture.director.viewerLeft(fixture.now, play);
        }
        long sent = fixture.countDecisions("probe");
        assertTrue(sent >= minProbes && sent <= maxProbes, "probes " + sent);
    }

    /** Delivered share, and whether plays are downgraded: below 0.98 is a shortage. */
    @ParameterizedTest
    @CsvSource({"0.96, true", "0.98, false"})
    void smallShortageDowngradesPlays(double share, boolean downgraded) {
        DirectorFixture fixture = DirectorFixture.singleGateway();
        PlayId play = fixture.addPlaying(FREE, 0, 3);
        fixture.advance(11_000);
        fixture.decisions.clear();
        for (int i = 0; i < 12; i++) {
            fixture.director.deliveredShareReported(fixture.now, DirectorFixture.host(0), share);
            fixture.advance(1000);
        }
        assertEquals(downgraded, fixture.countDecisions("rung " + play.value()) > 0, fixture.decisions.toString());
    }
}
