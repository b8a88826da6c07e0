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
import walnutfield.play.LoadReport;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.RetryPolicy;
import walnutfield.play.ViewerId;

class DirectorTest {
    /** A band, how its first leg ended, and what the play gets at once. */
    @ParameterizedTest
    @CsvSource({
        "false, FAILED, set up",
        "false, TIMED_OUT, set up",
        "false, BROKEN_OFF, set up",
        "false, CALLED_OFF, set up",
        "false, TURNED_AWAY, set up",
        "false, UNREACHABLE, set up",
        "false, NOT_SENT, set up",
        "true, FAILED, error",
        "true, TIMED_OUT, error",
        "true, BROKEN_OFF, error",
        "true, CALLED_OFF, error",
        "true, TURNED_AWAY, set up",
        "true, UNREACHABLE, set up",
        "true, NOT_SENT, set up"
    })
    void whatFollowsALeg(boolean paid, Outcome how, String then) {
        Bench b = Bench.plain();
        PlayId p = b.want(paid ? PAID : FREE, 4000);
        int first = b.sentTo(p);
        b.out.clear();
        b.end(p, 0, first, how, false);
        assertEquals(1, b.count(then + " " + p.value()), b.out.toString());
        assertEquals(
                1,
                b.out.stream()
                        .filter(s -> !s.startsWith("log") && !s.startsWith("rung"))
                        .count());
        assertNotEquals(first, b.sentTo(p));
    }

    /** By hand: each link has 4000 kB and the middle rate is sqrt(100 x 900) = 300 kB. */
    @ParameterizedTest
    @CsvSource({"0.5, 0.4, 0.6, 1", "0.2, 0.4, 0.6, 0", "0.9, 0.9, 0.3, 2", "0.41, 0.40, 0.42, 1"})
    void mostSpareRateWins(double a, double c, double e, int expected) {
        Bench b = Bench.plain();
        b.links(a, c, e);
        assertEquals(expected, b.sentTo(b.want(FREE, 4000)));
    }

    @Test
    void fewerStreamsDecideBetweenEqualLinks() { // 13.3 spare each; 1/50 % against 1/2.5 % against 1/25 %
        Bench b = Bench.plain();
        double[] streams = {20, 1, 10};
        for (int i = 0; i < 3; i++) {
            b.director.loadReported(b.now, Bench.host(i), new LoadReport(0.1, 0.1, streams[i]));
        }
        assertEquals(1, b.sentTo(b.want(FREE, 4000)));
    }

    @Test
    void aNarrowUplinkCountsBeforeAWideLink() { // racks: cells 0, 2, 4 and 1, 3, 5
        Bench b = Bench.plain();
        b.links(0.1, 0.3, 0.1);
        b.director.loadReported(b.now, Bench.host(0), new LoadReport(Double.NaN, 0.95, Double.NaN));
        assertEquals(1, b.sentTo(b.want(FREE, 4000)));
    }

    @Test
    void unheardHostsCountAsAverage() { // heard: 0.8 and 0.1, so unheard about 0.3 with no own plays
        Bench b = Bench.plain();
        b.links(0.8);
        assertNotEquals(0, b.sentTo(b.want(FREE, 4000)));
        Bench c = Bench.plain();
        c.links(0.05);
        for (int i = 3; i < 6; i++) {
            c.director.loadReported(c.now, Bench.host(i), new LoadReport(0.9, Double.NaN, Double.NaN));
        }
        assertEquals(0, c.sentTo(c.want(FREE, 4000)));
    }

    @Test
    void aCrowdInOneInstantIsReckonedForTheFellowsToo() { // the sixth: 0.30 told + 0.20 by fellows + its own 0.225
        Bench b = new Bench(4, new RetryPolicy(4, 0, -1, 0), 0, false);
        b.links(0.3, 0.3, 0.3, 0.3, 0.3, 0.3);
        b.pass(50);
        for (int i = 0; i < 6; i++) {
            b.want(FREE, i, 1, 4000);
        }
        assertEquals(1, b.count("rung 1 3"), b.out.toString());
        assertEquals(1, b.count("rung 6 2"), b.out.toString());
    }

    @Test
    void ownSendsSinceAReportCountAtOnce() {
        Bench b = Bench.plain();
        b.links(0.1, 0.2, 0.9);
        assertEquals(0, b.sentTo(b.want(FREE, 4000))); // 900 of 4000 kB more: 0.325
        assertEquals(1, b.sentTo(b.want(FREE, 4000)));
    }

    /** Use of the only holder's link and of its uplink, and the rung that a new play gets: mark 0.65, steps of 0.14,
     *  0.08 more for an uplink. */
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
    void rungBySteps(double use, double uplink, int rung) {
        Bench b = Bench.plain();
        b.director.loadReported(b.now, Bench.host(0), new LoadReport(use, uplink, Double.NaN));
        PlayId p = b.want(FREE, 0, 1, 4000);
        assertEquals(rung > 0 ? 1 : 0, b.count("rung " + p.value() + " " + rung), b.out.toString());
        assertEquals(rung > 0 ? 1 : 0, b.count("rung"));
    }

    @Test
    void steppedDownUnderPressureOnceInTenSecondsAndNeverBelowTheFloor() {
        Bench b = Bench.plain();
        PlayId low = b.underWay(SEATED, 0, 2);
        for (int i = 0; i < 24; i++) {
            b.pass(500);
            b.links(2.0);
        }
        assertTrue(b.count("rung " + low.value()) >= 1);
        assertEquals(0, b.count("rung " + low.value() + " 0"));
        Bench c = Bench.plain();
        PlayId p = c.underWay(FREE, 0, 3);
        c.pass(200);
        c.links(1.10);
        c.pass(200);
        assertEquals(1, c.count("rung " + p.value()));
        c.pass(9_000);
        c.links(1.5);
        c.pass(500);
        assertEquals(1, c.count("rung " + p.value()), "changed again within 10 s");
        c.pass(1_000);
        c.links(1.5);
        c.pass(500);
        assertEquals(2, c.count("rung " + p.value()));
    }

    @Test
    void aNewPlayMayBeSteppedDownAtOnce() {
        Bench b = Bench.plain();
        PlayId p = b.want(FREE, 0, 1, 4000);
        b.start(p, 0, 0, 10);
        b.pass(500);
        b.links(1.5);
        b.pass(200);
        assertEquals(2, b.count("rung " + p.value()), b.out.toString());
    }

    @Test
    void aPlayIsSteppedUpAsFarAsThereIsRoom() { // it changes once in 10 s only
        Bench b = Bench.plain();
        PlayId p = b.underWay(FREE, 0, 0);
        b.links(0.1);
        b.pass(1_900);
        assertEquals(0, b.count("rung"), "its first figures may leave out what it began with");
        b.pass(200);
        assertEquals(1, b.count("rung " + p.value() + " 3"));
        assertEquals(1, b.count("rung " + p.value()));
    }

    @Test
    void noPlayIsSteppedUpWhereItWasShortJustNow() { // late reports look roomy to all gateways at once
        Bench b = Bench.plain();
        PlayId p = b.underWay(FREE, 0, 0);
        b.director.deliveredShareReported(b.now, Bench.host(0), 0.9);
        b.pass(1_000);
        b.director.deliveredShareReported(b.now, Bench.host(0), 1);
        b.links(0.1);
        b.pass(8_900);
        assertEquals(0, b.count("rung " + p.value()));
        b.links(0.1);
        b.pass(200);
        assertEquals(1, b.count("rung " + p.value()));
    }

    @Test
    void aHostThatHasJustStartedCarriesNothing() { // 2000 kB, half warm, against 0.4 of 4000
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        b.pass(13_000);
        b.links(0.9, 0.6, 0.6);
        b.director.hostListUpdated(b.now, List.of(Bench.line(0, HostDescriptor.LifecycleState.READY, b.now)));
        b.pass(400);
        assertEquals(0, b.sentTo(b.want(FREE, 4000)));
    }

    /** Use of the only holder's link, and whether a play more is let in there: its lowest rung takes 0.025. */
    @ParameterizedTest
    @CsvSource({"0.97, true", "0.99, false", "1.60, false"})
    void noPlayIsLetInWhereEvenItsLowestRungIsTooMuch(double use, boolean let) {
        Bench b = Bench.plain();
        b.links(use);
        PlayId p = b.want(FREE, 0, 1, 4000);
        assertEquals(let ? 0 : -1, b.sentTo(p));
        assertEquals(let ? 0 : 1, b.count("shed " + p.value()), "and told so at once");
    }

    @Test
    void seatsAreKeptFromTheStartAndFreedByTheEnd() {
        Bench b = Bench.plain();
        PlayId first = b.underWay(SEATED, 0, 1);
        PlayId second = b.want(SEATED, 4000);
        assertNotEquals(-1, b.sentTo(second));
        PlayId third = b.want(SEATED, 4000);
        assertEquals(1, b.count("shed " + third.value()));
        b.end(first, 0, 0, Outcome.SERVED, true);
        assertNotEquals(-1, b.sentTo(b.want(SEATED, 4000)));
    }

    @Test
    void nothingNewToADrainingHostNotEvenAFurtherLegOrAHeldPlay() {
        Bench b = Bench.plain();
        PlayId p = b.want(FREE, 0, 2, 4000);
        int first = b.sentTo(p);
        b.director.hostListUpdated(b.now, List.of(Bench.line(1 - first, HostDescriptor.LifecycleState.DRAINING, 0)));
        b.end(p, 0, first, Outcome.FAILED, false);
        b.pass(4_000);
        assertEquals(1, b.count("set up"));
        assertEquals(1, b.count("shed " + p.value()));
        b.director.hostListReplaced(b.now, List.of()); // off a whole list is gone
        PlayId q = b.want(FREE, 4000);
        b.pass(4_000);
        assertEquals(-1, b.sentTo(q));
        assertEquals(1, b.count("shed " + q.value()));
    }

    @Test
    void coldHostIsSentNoMoreThanOurPartInAnyWindow() { // 40 slots / 12 s x 0.5 x 3 x 2 s / 3 gateways = 6.7
        Bench b = new Bench(3, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        b.pass(20_000);
        b.director.hostListUpdated(b.now, List.of(Bench.line(0, HostDescriptor.LifecycleState.READY, b.now)));
        double[] at = new double[400];
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            PlayId p = b.want(FREE, 0, 1, 300);
            b.pass(20);
            if (b.sentTo(p) == 0) {
                at[sent++] = b.now;
                b.start(p, 0, 0, 10);
            }
        }
        assertTrue(sent > 0 && sent <= 6, "sent in 2 s: " + sent);
    }

    @Test
    void anUnprovenHostIsSentASafePaceThoughNotAFellowsPart() { // after our own start; at half warmth 2.5 in 2 s
        Bench b = new Bench(4, new RetryPolicy(4, 0, -1, 0), 24_000, false);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            PlayId p = b.want(FREE, 0, 1, 300);
            b.pass(20);
            sent += b.sentTo(p) == 0 ? 1 : 0;
        }
        assertTrue(sent >= 2 && sent <= 3, "sent in 2 s: " + sent);
    }

    @Test
    void furtherLegsKeepToTheRation() { // 1 spare + 0.5 of 2 plays taken = 2
        Bench b = new Bench(1, new RetryPolicy(6, 1, 0.5, 10_000), 0, false);
        PlayId p = b.want(FREE, 0, 6, 4000);
        b.want(FREE, 0, 6, 4000);
        for (int leg = 0; leg < 3; leg++) {
            b.end(p, leg, b.sentTo(p), Outcome.UNREACHABLE, false);
        }
        assertEquals(3, b.count("set up " + p.value() + " "));
        assertEquals(1, b.count("shed " + p.value()));
        b.pass(10_100); // the span is over
        PlayId q = b.want(FREE, 0, 6, 4000);
        b.end(q, 0, b.sentTo(q), Outcome.FAILED, false);
        assertEquals(2, b.count("set up " + q.value() + " "));
    }

    /** What a play has left, and when its leg must give up: the play's own hard stop, not its band's. */
    @ParameterizedTest
    @CsvSource({"true, 4000, 3970", "true, 700, 670", "false, 4000, 500", "false, 260, 230"})
    void patience(boolean paid, double left, long patience) {
        Bench b = Bench.plain();
        b.want(paid ? PAID : FREE, left);
        assertEquals(
                1, b.out.stream().filter(s -> s.contains(" " + patience + " h")).count(), b.out.toString());
    }

    @Test
    void everyPlayIsAnsweredBeforeItsHardStop() {
        Bench b = Bench.plain();
        b.director.hostListReplaced(b.now, List.of());
        PlayId p = b.want(PAID, 900);
        b.pass(900);
        assertEquals(1, b.count("shed " + p.value()));
        PlayId q = b.want(PAID, 10);
        assertEquals(1, b.count("shed " + q.value()), "no time to hold it");
    }

    @Test
    void aHostThatFailsFastIsPassedOverThoughItLooksIdle() {
        Bench b = Bench.plain();
        b.links(0.0, 0.5, 0.5);
        PlayId p = b.want(FREE, 4000);
        b.end(p, 0, 0, Outcome.FAILED, false);
        assertNotEquals(0, b.sentTo(p));
        for (int i = 0; i < 5; i++) {
            assertNotEquals(0, b.sentTo(b.want(PAID, 4000)));
        }
        b.pass(4_100); // tried again, with one play that may be repeated, at a time
        assertNotEquals(0, b.sentTo(b.want(PAID, 4000)));
        assertEquals(0, b.sentTo(b.want(FREE, 4000)));
        assertNotEquals(0, b.sentTo(b.want(FREE, 4000)));
    }

    @Test
    void aHostThatTurnsALegAwayIsPassedOverForASecond() {
        Bench b = Bench.plain();
        b.links(0.0, 0.6, 0.6);
        b.end(b.want(FREE, 4000), 0, 0, Outcome.REJECTED, false);
        b.pass(900);
        assertNotEquals(0, b.sentTo(b.want(PAID, 4000)));
        b.pass(200);
        assertEquals(0, b.sentTo(b.want(PAID, 4000)), "it is full, not suspect");
    }

    @Test
    void newerFiguresBeatOlderOnesByTheTimeTheySpeakOf() {
        Bench b = Bench.plain();
        b.links(0.9, 0.5, 0.5);
        b.director.legEnded(
                b.now,
                b.want(FREE, 0, 1, 4000),
                0,
                Bench.host(0),
                Outcome.REJECTED,
                false,
                10,
                new LoadReport(0.0, Double.NaN, Double.NaN)); // an answer's report is older than a figure told now
        b.pass(1_100);
        assertNotEquals(0, b.sentTo(b.want(FREE, 4000)));
    }

    @Test
    void aSilentHostIsTakenUpAgainAsCold() {
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 60_000, false);
        b.pass(61_000);
        b.links(0.0, 0.8, 0.8);
        PlayId p = b.want(FREE, 4000);
        b.end(p, 0, 0, Outcome.TIMED_OUT, false);
        b.pass(2_100);
        PlayId trial = b.want(FREE, 0, 1, 4000);
        assertEquals(0, b.sentTo(trial));
        b.start(trial, 0, 0, 10);
        PlayId next = b.want(FREE, 0, 1, 4000);
        assertEquals(-1, b.sentTo(next), "sent at once to a host that may just have started");
    }

    @Test
    void aSlowHostIsJudgedByItsFellows() {
        Bench b = Bench.plain();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 4; i++) {
                PlayId p = b.want(FREE, i, 1, 4000);
                b.start(p, 0, i, i == 0 ? 900 : 80);
            }
        }
        b.pass(200);
        assertEquals(1, b.count("log host h0 suspect: slow"));
        assertEquals(1, b.count("log host"), "fellows are judged too");
    }

    @Test
    void movesOnlyOffAShortLinkAtTheRecheckAndOnceInThirtySeconds() {
        Bench b = Bench.plain();
        PlayId p = b.underWay(FREE, 0, 3);
        b.director.playInProgress(
                b.now,
                new PlayRequest(new PlayId(99), new ViewerId(99), Bench.TITLE, null, PAID, 0, 3, 3, true, 0, 4000),
                Bench.host(0)); // back from a move just now
        b.director.playInProgress(
                b.now,
                new PlayRequest(new PlayId(98), new ViewerId(98), Bench.TITLE, null, PAID, 0, 3, 3, false, 0, 4000),
                Bench.host(0));
        int when = 0;
        for (int i = 1; i <= 160; i++) {
            b.director.deliveredShareReported(b.now, Bench.host(0), 0.6);
            b.pass(100);
            when = when == 0 && b.count("move") > 0 ? i : when;
        }
        assertTrue(when >= 50 && when <= 150, "first move after " + when + " looks");
        assertEquals(0, b.count("move " + p.value()), "the play of a single holder has nowhere to go");
        assertEquals(0, b.count("move 99"));
        assertTrue(b.count("move 98") <= 2, "at re-checks only");
    }

    @Test
    void aHolderThatIsLittleKnownIsProbedBeforeItIsSentAPlay() {
        Bench b = Bench.amongMany(5, 0, true);
        b.links(Double.NaN, Double.NaN, Double.NaN, Double.NaN, 0.5);
        assertEquals(4, b.sentTo(b.want(FREE, 4, 1, 4000)), "heard just now");
        PlayId p = b.want(FREE, 0, 2, 4000);
        assertEquals(-1, b.sentTo(p));
        int first = b.out.contains("probe h0") ? 0 : 1;
        b.director.probeCompleted(
                b.now, Bench.host(first), Outcome.SERVED, 5, new LoadReport(0.9, Double.NaN, Double.NaN));
        assertEquals(1, b.count("probe h" + (1 - first)), "a full holder: the other is asked too");
        b.director.probeCompleted(
                b.now, Bench.host(1 - first), Outcome.SERVED, 5, new LoadReport(0.2, Double.NaN, Double.NaN));
        assertEquals(1 - first, b.sentTo(p));
        assertEquals(2, b.count("probe"));
    }

    @Test
    void aHolderThatDoesNotAnswerAProbeIsPassedOver() {
        Bench b = Bench.amongMany(5, 0, true);
        PlayId p = b.want(FREE, 0, 2, 4000);
        int first = b.out.contains("probe h0") ? 0 : 1;
        b.pass(100);
        b.director.probeCompleted(
                b.now, Bench.host(1 - first), Outcome.SERVED, 5, new LoadReport(0.9, Double.NaN, Double.NaN));
        assertEquals(1 - first, b.sentTo(p), b.out.toString());
    }

    @Test
    void aHostOfOwnPlaysIsProbedBeforeAStepUp() {
        Bench b = Bench.amongMany(5, 0, true);
        b.underWay(FREE, 0, 0);
        b.underWay(FREE, 0, 0);
        b.pass(4_000);
        assertEquals(1, b.count("probe h0"));
        assertEquals(0, b.count("rung"), "decided on a fresh figure only");
        b.director.probeCompleted(
                b.now, Bench.host(0), Outcome.SERVED, 5, new LoadReport(0.05, Double.NaN, Double.NaN));
        b.pass(200);
        assertTrue(b.count("rung") > 0);
    }

    @Test
    void aNewPlayTakesALowerRungWhereItsHostIsUnheard() {
        Bench heard = Bench.amongMany(5, 0, false);
        heard.links(0.35, 0.35, 0.35, 0.35, 0.35, 0.35);
        PlayId p = heard.want(FREE, 0, 1, 4000);
        assertEquals(1, heard.count("rung " + p.value() + " 3"), heard.out.toString());
        Bench unheard = Bench.amongMany(5, 0, false);
        unheard.links(Double.NaN, 0.35, 0.35, 0.35, 0.35, 0.35);
        PlayId q = unheard.want(FREE, 0, 1, 4000);
        assertEquals(1, unheard.count("rung " + q.value() + " 2"), unheard.out.toString());
    }

    @Test
    void aSuspectNothingWasHeardOfIsForgotten() { // else a gateway with few plays would never send it a paid one
        Bench b = Bench.plain();
        b.end(b.want(FREE, 0, 1, 4000), 0, 0, Outcome.FAILED, false);
        b.pass(18_900);
        assertEquals(-1, b.sentTo(b.want(PAID, 0, 1, 4000)));
        b.pass(200);
        assertEquals(0, b.sentTo(b.want(PAID, 0, 1, 4000)));
    }

    @Test
    void aGoodProbeIsNoProofThatSetUpsWork() { // the work runs, its answer is lost
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        b.end(b.want(FREE, 0, 1, 4000), 0, 0, Outcome.TIMED_OUT, false);
        for (int i = 0; i < 3; i++) {
            b.director.probeCompleted(
                    b.now, Bench.host(0), Outcome.SERVED, 5, new LoadReport(0.1, Double.NaN, Double.NaN));
        }
        assertEquals(-1, b.sentTo(b.want(PAID, 0, 1, 4000)));
    }

    @Test
    void wavesOfDrainsLeaveWhatIsNotListedSo() { // and come back only as a cold host of the next list
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 12_000, false);
        b.pass(13_000);
        for (int i = 0; i < 2; i++) {
            b.director.hostListUpdated(b.now, List.of(Bench.line(i, HostDescriptor.LifecycleState.DRAINING, 0)));
            PlayId p = b.want(FREE, 0, 3, 4000);
            assertTrue(b.sentTo(p) > i, b.out.toString());
        }
        b.director.hostListUpdated(b.now, List.of(Bench.line(0, HostDescriptor.LifecycleState.READY, b.now)));
        int burst = 0;
        for (int i = 0; i < 20; i++) {
            burst += b.sentTo(b.want(FREE, 0, 1, 300)) == 0 ? 1 : 0;
        }
        assertTrue(burst <= 1, "sent to a cold replacement at once: " + burst);
    }

    @Test
    void probesKeepToWhatPlaysEarn() { // two a play among many, four saved at most
        Bench b = Bench.amongMany(5, 0, true);
        for (int i = 0; i < 20; i++) {
            b.want(FREE, i % 6, 1, 4000);
            b.pass(2_000);
        }
        assertTrue(b.count("probe") > 0 && b.count("probe") <= 40, "probes: " + b.count("probe"));
        Bench alone = new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        alone.want(FREE, 4000);
        assertEquals(0, alone.count("probe"), "own plays tell all");
    }

    /** Each of 200 gateways has one play there: told use, its rung, and how many of 100 may change it. */
    @ParameterizedTest
    @CsvSource({"0.75, 0, 15, 60", "0.86, 0, 0, 0", "1.10, 3, 30, 75", "1.10, 1, 10, 50"})
    void partsOfAPlayAreTakenByChance(double use, int rung, int least, int most) {
        int changed = 0;
        for (int seed = 0; seed < 100; seed++) {
            Bench b = Bench.amongMany(seed, 0, false);
            PlayId p = b.underWay(FREE, 0, rung);
            b.pass(1_990);
            b.links(use);
            b.pass(100);
            changed += b.count("rung " + p.value()) > 0 ? 1 : 0;
        }
        assertTrue(changed >= least && changed <= most, "changed: " + changed);
    }

    @Test
    void gatewaysThatKnowNothingSpreadOverEqualHosts() {
        int[] sent = new int[6];
        for (int seed = 0; seed < 60; seed++) {
            Bench b = Bench.amongMany(seed, 0, false);
            sent[b.sentTo(b.want(FREE, 0, 6, 4000))]++;
        }
        for (int n : sent) {
            assertTrue(n >= 2 && n <= 20, java.util.Arrays.toString(sent));
        }
    }

    @Test
    void aColdHostIsSentASafePaceByAllGatewaysTogether() { // 40 slots / 12 s x 0.5 x 3 x 2 s = 10, 0.6 of it aimed at
        int early = 0;
        int late = 0;
        for (int seed = 0; seed < 200; seed++) {
            Bench b = Bench.amongMany(seed, 12_000, false);
            b.pass(20_000);
            b.director.hostListUpdated(b.now, List.of(Bench.line(0, HostDescriptor.LifecycleState.READY, b.now)));
            b.pass(seed * 50);
            PlayId p = b.want(FREE, 0, 1, 300);
            b.pass(400);
            early += seed < 40 && b.sentTo(p) == 0 ? 1 : 0;
            late += seed >= 40 && b.sentTo(p) == 0 ? 1 : 0;
        }
        assertTrue(early <= 10, "sent in 2 s: " + early);
        assertTrue(late >= 10 && late <= 60, "sent in the next 8 s: " + late);
    }

    /** Gateways that are restarted together know of a host that has just started, and each knows little of its own traffic. */
    @ParameterizedTest
    @CsvSource({"200, 30", "30, 30", "20, 10"})
    void gatewaysRestartedTogetherFellNoColdHost(
            int gateways, int plays) { // in 2 s it stands N = 40 slots / 12 s x 0.5 x 3 x 2 s = 10
        int sent = 0;
        for (int seed = 0; seed < gateways; seed++) {
            Bench b = new Bench(seed, gateways, new RetryPolicy(4, 0, -1, 0), 12_000, false);
            b.pass(5_000);
            List<HostDescriptor> known = b.fleet(0);
            known.set(0, Bench.line(0, HostDescriptor.LifecycleState.READY, b.now - 500));
            b.director.persistedHostListLoaded(b.now, known);
            for (int i = 0; i < plays; i++) {
                b.pass(2_000.0 / plays);
                PlayId p = b.want(FREE, 0, 1, 300);
                sent += b.sentTo(p) == 0 ? 1 : 0;
            }
        }
        assertTrue(sent <= 10 + 2 * Math.sqrt(10) + 2, "sent in 2 s: " + sent);
    }

    @Test
    void atTheEndEveryPlayWithoutAnAnswerGetsItOnceByWhatMayHaveRun() {
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, false);
        PlayId plays = b.want(PAID, 4000);
        b.start(plays, 0, b.sentTo(plays), 10);
        PlayId paid = b.want(PAID, 4000);
        PlayId free = b.want(FREE, 4000);
        b.director.hostListUpdated(
                b.now,
                b.fleet(0).stream()
                        .map(l -> new HostDescriptor(
                                l.host(),
                                l.place(),
                                l.maxStreams(),
                                l.cell(),
                                HostDescriptor.LifecycleState.DRAINING,
                                1,
                                0))
                        .toList());
        PlayId held = b.want(PAID, 4000);
        assertEquals(-1, b.sentTo(held));
        b.director.shutdownStarted(b.now);
        b.pass(5_000);
        assertEquals(
                List.of("error " + paid.value(), "shed " + free.value(), "shed " + held.value()),
                b.out.stream()
                        .filter(s -> s.startsWith("error") || s.startsWith("shed"))
                        .toList());
    }

    @Test
    void aGatewayThatStoodStillDoubtsNoHostForIt() {
        Bench b = Bench.plain();
        b.links(0.0, 0.5, 0.5);
        PlayId p = b.want(FREE, 4000);
        b.pass(100);
        b.stall(1_800);
        b.end(p, 0, 0, Outcome.TIMED_OUT, false);
        assertEquals(0, b.count("log host"));
        b.pass(100);
        assertEquals(0, b.sentTo(b.want(PAID, 4000)));
        PlayId q = b.want(FREE, 0, 1, 4000);
        b.pass(200);
        b.end(q, 0, 0, Outcome.TIMED_OUT, false);
        assertEquals(1, b.count("log host"), "but for what runs out later");
    }

    @Test
    void whatChangesForUsSinceAReportChangesForFellowsToo() { // 0.50 told; 2 x 900 of 24000 kB more by 3 fellows: 0.725
        Bench b = new Bench(4, new RetryPolicy(4, 0, -1, 0), 0, false);
        b.links(0.5, 0.0, 0.0, 0.0, 0.0, 0.0);
        b.pass(50);
        b.want(FREE, 1, 1, 4000);
        b.want(FREE, 3, 1, 4000);
        PlayId p = b.want(FREE, 0, 1, 4000);
        assertEquals(1, b.count("rung " + p.value() + " 1"), b.out.toString());
    }

    @Test
    void hostsOfARackShortTogetherSpeakForTheUplink() { // so the third host of that rack is no way out
        Bench b = Bench.plain();
        b.underWay(FREE, 0, 1);
        b.underWay(FREE, 2, 1);
        b.links(0.96, 0.9, 0.96, 0.9, 0.1, 0.9);
        b.pass(50);
        b.director.deliveredShareReported(b.now, Bench.host(0), 0.8);
        b.director.deliveredShareReported(b.now, Bench.host(2), 0.8);
        assertEquals(3, b.sentTo(b.want(FREE, 3, 2, 4000)));
    }

    @Test
    void playsBeyondACustomersShareAreSetUpAtTheFloor() { // five at least say something of a share
        Bench b = Bench.plain();
        for (int i = 0; i < 5; i++) {
            b.wantShared();
        }
        assertEquals(5, b.count("rung"));
        PlayId sixth = b.wantShared();
        assertEquals(0, b.count("rung " + sixth.value()));
        assertNotEquals(-1, b.sentTo(sixth));
    }

    @Test
    void theListIsAskedForAndAskedForAgainWhenItIsLost() {
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        b.pass(300);
        assertEquals(1, b.count("follow"));
        b.director.hostListUnavailable(b.now);
        b.pass(4_200);
        assertEquals(2, b.count("follow"));
    }

    @Test
    void aProbeThatIsNotAnsweredMakesAHostSuspect() {
        Bench b = new Bench(1, new RetryPolicy(4, 0, -1, 0), 0, true);
        b.links(0.0, 0.5, 0.5);
        b.director.probeCompleted(b.now, Bench.host(0), Outcome.TIMED_OUT, 250, LoadReport.NONE);
        assertNotEquals(0, b.sentTo(b.want(PAID, 4000)));
    }

    /** Wishes of the gateway's own add no further legs to the ration: 10 plays at a share of 0.2 allow 2. */
    @ParameterizedTest
    @CsvSource({"false, 4", "true, 2"})
    void theRationCountsPlaysOfViewersOnly(boolean own, int further) {
        Bench b = new Bench(1, new RetryPolicy(4, 0, 0.2, 10_000), 0, false);
        for (int i = 0; i < 10; i++) {
            b.director.playRequested(
                    b.now,
                    new PlayRequest(
                            new PlayId(100 + i),
                            new ViewerId(i),
                            Bench.TITLE,
                            null,
                            FREE,
                            0,
                            6,
                            3,
                            false,
                            0,
                            4000,
                            own));
        }
        List<PlayId> plays = new java.util.ArrayList<>();
        for (int i = 0; i < 10; i++) {
            plays.add(b.want(FREE, 0, 6, 4000));
        }
        long first = b.count("set up");
        plays.forEach(p -> b.end(p, 0, b.sentTo(p), Outcome.FAILED, false));
        assertEquals(further, b.count("set up") - first);
    }

    /** Gateways that have all just started and heard nothing spread over the hosts, from their first play on. */
    @ParameterizedTest
    @CsvSource({"1", "2", "5"})
    void gatewaysThatHeardNothingSpreadEvenly(int nth) {
        int[] taken = new int[6];
        for (long seed = 1; seed <= 600; seed++) {
            Bench b = Bench.amongMany(seed * 0x9E3779B97F4A7C15L, 0, false);
            PlayId p = null;
            for (int i = 0; i < nth; i++) {
                p = b.want(FREE, 0, 6, 4000);
            }
            taken[b.sentTo(p)]++;
        }
        for (int n : taken) {
            assertTrue(n > 60 && n < 140, java.util.Arrays.toString(taken));
        }
    }

    /** Use of the host here and of the one elsewhere, price of crossing, and which is taken. */
    @ParameterizedTest
    @CsvSource({"0.5, 0.4, 0, 1", "0.5, 0.4, 0.02, 0", "0.7, 0.35, 0.02, 1", "0.5, 0.5, 0.02, 0"})
    void spareRateElsewhereCountsLess(double here, double there, double price, int taken) {
        Bench b = new Bench(
                5,
                1,
                new RetryPolicy(4, 0, -1, 0),
                0,
                new LoadReportSettings(false, 0, 0, false, false),
                new MoveCosts(0.05, price));
        HostDescriptor l = Bench.line(1, HostDescriptor.LifecycleState.READY, 0);
        b.director.hostListUpdated(
                b.now, List.of(new HostDescriptor(l.host(), new PlaceId("q"), 40, 1, l.state(), 1, 0)));
        b.links(here, there, 0.9);
        assertEquals(taken, b.sentTo(b.want(FREE, 4000)));
    }

    /** How long ago the last share spoke for rack 1's uplink, and whether its host is still left: it fades in a minute. */
    @ParameterizedTest
    @CsvSource({"1000, 0", "25000, 0", "600000, 1"})
    void aNarrowUplinkIsRememberedLongerThanItsFigure(double later, int taken) {
        Bench b = Bench.plain();
        b.shortRack(30, 0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        b.pass(later);
        b.links(0.5, 0.45, 0.6, 0.45, 0.6, 0.45);
        assertEquals(taken, b.sentTo(b.want(FREE, 4000)));
    }

    /** With load told in answers too a play earns a quarter of the probes. */
    @ParameterizedTest
    @CsvSource({"false, 10, 60", "true, 1, 6"})
    void fewerProbesWhereAnswersTellLoad(boolean inAnswers, int least, int most) {
        Bench b = new Bench(
                7,
                200,
                new RetryPolicy(4, 0, -1, 0),
                0,
                new LoadReportSettings(true, 0.02, 0, false, inAnswers),
                new MoveCosts(0.05, 0));
        for (int i = 0; i < 60; i++) {
            PlayId p = b.want(FREE, 0, 6, 4000);
            for (int h = 0; h < 6; h++) { // each probe is answered
                b.director.probeCompleted(
                        b.now, Bench.host(h), Outcome.SERVED, 1, new LoadReport(0.5, Double.NaN, Double.NaN));
            }
            b.pass(2000);
            b.director.viewerLeft(b.now, p);
        }
        long sent = b.count("probe");
        assertTrue(sent >= least && sent <= most, "probes " + sent);
    }

    /** A share of so much: at 0.97 plays are stepped down, at 0.98 nothing is short. */
    @ParameterizedTest
    @CsvSource({"0.96, true", "0.98, false"})
    void aSmallShortageStepsPlaysDown(double share, boolean down) {
        Bench b = Bench.plain();
        PlayId p = b.underWay(FREE, 0, 3);
        b.pass(11_000);
        b.out.clear();
        for (int i = 0; i < 12; i++) {
            b.director.deliveredShareReported(b.now, Bench.host(0), share);
            b.pass(1000);
        }
        assertEquals(down, b.count("rung " + p.value()) > 0, b.out.toString());
    }
}
