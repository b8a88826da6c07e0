package walnutfield.decide;

import java.util.ArrayList;
import java.util.List;
import walnutfield.play.Ladder;
import walnutfield.play.PlayRequest;

/** State of a play, from its request until it is over and its leg has ended. */
final class Play {
    final PlayRequest request;
    final double admittedAt;
    final double deadline;
    /** Hosts that did not serve the play: at most one for each of its legs. */
    final List<Host> triedHosts = new ArrayList<>();

    final double randomDraw; // from 0 to below 1, drawn once for each play
    Host host;
    Host probedHost; // host that is probed before the play is sent there
    int rung;
    int announcedRung; // the rung that was last given out for the play
    double rungChangedAt;
    double legSentAt;
    double startedAt;
    int legCount;
    boolean legPending; // from the set-up of the latest leg until its end
    boolean mayHaveRun; // whether an earlier leg may have run on a host
    boolean playing;
    boolean answered;
    double weightFactor = 1; // part of the weight that counts: below 1 over the tenant's quota

    Play(PlayRequest request, double admittedAt, double now, double randomDraw) {
        this.request = request;
        this.admittedAt = admittedAt;
        this.randomDraw = randomDraw;
        deadline = now + request.remainingWaitMs();
        rung = announcedRung = request.trafficClass().minRung();
    }

    /** Weight that the upgrade to a rung adds for each kB/s of added rate. */
    double weightPerKb(Ladder ladder, int atRung) {
        return ladder.addedWeightPerKb(request.trafficClass(), atRung) * weightFactor;
    }

    /** Whether the play is playing and its rung has not changed after the given time. */
    boolean canChangeRung(double since) {
        return playing && rungChangedAt <= since;
    }

    double rateKb(Ladder ladder, int atRung) {
        return ladder.rateKb(request.trafficClass(), atRung);
    }
}
