package walnutfield.desk;

import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;

/** Something that was decided: each call of {@link Gateway} as a fact that can be kept and compared. */
public sealed interface Result {
    /** Carries it out. */
    void carryOut(Gateway by);

    /** Send the play's next leg there and wait so long for it. */
    record SetUp(PlayId play, HostId host, double patienceMs) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.setUp(play, host, patienceMs);
        }
    }

    /** The play's rung from now on; before its set-up the rung that it starts at. */
    record SetRung(PlayId play, int rung) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.setRung(play, rung);
        }
    }

    /** Take the play off its host; it comes back as a moved wish. */
    record Move(PlayId play) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.move(play);
        }
    }

    /** Final answer: not now, come back after so long. */
    record Shed(PlayId play, double holdOffMs) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.shed(play, holdOffMs);
        }
    }

    /** Final answer: it failed. */
    record Errored(PlayId play) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.error(play);
        }
    }

    /** Ask a host for its load. */
    record Probe(HostId host) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.probe(host);
        }
    }

    /** Ask to be told changes of the list. */
    record FollowList() implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.followList();
        }
    }

    /** Call back at this time. */
    record Wake(double time, String mark) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.wake(time, mark);
        }
    }

    /** A line for the log. */
    record Noted(String line) implements Result {
        @Override
        public void carryOut(Gateway by) {
            by.log(line);
        }
    }
}
