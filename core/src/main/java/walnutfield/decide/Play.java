package walnutfield.decide;

import java.util.ArrayList;
import java.util.List;
import walnutfield.play.Ladder;
import walnutfield.play.PlayRequest;

/** State of a play, from being taken until it is over and its leg is in. */
final class Play {
    final PlayRequest wish;
    final double takenAt;
    final double hardStop;
    /** Hosts that did not serve it, as many as its legs at most. */
    final List<Host> tried = new ArrayList<>();

    final double luck; // from 0 up to 1, drawn once
    Host host;
    Host asked; // host that is probed before this play is sent there
    int rung;
    int rungTold;
    double rungAt;
    double sentAt;
    double startedAt;
    int legs;
    boolean legOut;
    boolean mayHaveRun;
    boolean plays;
    boolean answered;
    double part = 1; // of its credit that counts: less beyond its customer's share

    Play(PlayRequest wish, double takenAt, double now, double luck) {
        this.wish = wish;
        this.takenAt = takenAt;
        this.luck = luck;
        hardStop = now + wish.remainingWaitMs();
        rung = rungTold = wish.trafficClass().minRung();
    }

    /** What the step up to a rung earns for each kB of its rate. */
    double earnsAKb(Ladder ladder, int atRung) {
        return ladder.creditAKb(wish.trafficClass(), atRung) * part;
    }

    /** Whether it plays and has not changed rung since. */
    boolean mayChange(double since) {
        return plays && rungAt <= since;
    }

    double kb(Ladder ladder, int atRung) {
        return ladder.rate(wish.trafficClass(), atRung);
    }
}
