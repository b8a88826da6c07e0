package walnutfield.decide;

import java.util.ArrayList;
import java.util.List;
import walnutfield.play.Wanted;

/** State of a play, from being taken until it is over and its leg is in. */
final class Play {
    final Wanted wish;
    final double takenAt;
    final double hardStop;
    /** Hosts that did not serve it, as many as its legs at most. */
    final List<Host> tried = new ArrayList<>();
    Host host;
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
    boolean beyondShare;

    Play(Wanted wish, double now) {
        this.wish = wish;
        takenAt = now;
        hardStop = now + wish.leftMs();
        rung = rungTold = wish.band().floor();
    }
}
