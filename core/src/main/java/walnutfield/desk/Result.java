package walnutfield.desk;

import java.util.List;
import walnutfield.play.Band;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Something that was decided: each call of {@link Gateway} as a fact that can be kept and compared. */
public sealed interface Result {
    /** Carries it out where it is the module's; what was decided beside it does nothing here. */
    default void carryOut(Gateway by) {}

    /** The same for what was decided beside the module. */
    default void carryOut(Carrier by) {}

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

    /** A viewing's inserts, a slot's number being its place in the list. */
    record Planned(PlayId viewing, List<Insert> inserts) implements Result {
        public Planned {
            inserts = List.copyOf(inserts);
        }

        @Override
        public void carryOut(Carrier by) {
            by.planned(viewing, inserts);
        }
    }

    /** Take a wish for an insert to the module. */
    record AskFor(PlayId viewing, int slot, Band band) implements Result {
        @Override
        public void carryOut(Carrier by) {
            by.askFor(viewing, slot, band);
        }
    }

    /** Say at that time that an insert is due. */
    record AskAgain(PlayId viewing, int slot, double time) implements Result {
        @Override
        public void carryOut(Carrier by) {
            by.askAgain(viewing, slot, time);
        }
    }

    /** What an insert came to. */
    record Reported(PlayId viewing, int slot, InsertId insert, String what) implements Result {
        @Override
        public void carryOut(Carrier by) {
            by.reported(viewing, slot, insert, what);
        }
    }

    /** Whether a play whose host was lost is wished for anew. */
    record ComesBack(PlayId play, boolean back) implements Result {
        @Override
        public void carryOut(Carrier by) {
            by.comesBack(play, back);
        }
    }
}
