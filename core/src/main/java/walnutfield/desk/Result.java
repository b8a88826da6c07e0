package walnutfield.desk;

import java.util.List;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.play.PrintedName;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Something that was decided: each call of {@link GatewayActions} as a fact that can be kept and compared. */
public sealed interface Result {
    /** Carries it out where it is the module's; what was decided beside it does nothing here. */
    default void carryOut(GatewayActions by) {}

    /** The same for what was decided beside the module. */
    default void carryOut(InsertActions by) {}

    /** Send the play's next leg there and wait so long for it. */
    @PrintedName("SetUp")
    record SetUpLeg(
            PlayId play,
            HostId host,
            @PrintedName("patienceMs") double timeoutMs) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.setUpLeg(play, host, timeoutMs);
        }
    }

    /** The play's rung from now on; before its set-up the rung that it starts at. */
    record SetRung(PlayId play, int rung) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.setRung(play, rung);
        }
    }

    /** Take the play off its host; it comes back as a moved wish. */
    @PrintedName("Move")
    record MovePlay(PlayId play) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.movePlay(play);
        }
    }

    /** Final answer: not now, come back after so long. */
    @PrintedName("Shed")
    record ShedPlay(PlayId play, @PrintedName("holdOffMs") double retryAfterMs) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.shedPlay(play, retryAfterMs);
        }
    }

    /** Final answer: it failed. */
    @PrintedName("Errored")
    record FailPlay(PlayId play) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.failPlay(play);
        }
    }

    /** Ask a host for its load. */
    @PrintedName("Probe")
    record ProbeHost(HostId host) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.probeHost(host);
        }
    }

    /** Ask to be told changes of the list. */
    @PrintedName("FollowList")
    record WatchHostList() implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.watchHostList();
        }
    }

    /** Call back at this time. */
    @PrintedName("Wake")
    record SetTimer(double time, @PrintedName("mark") String timer) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.setTimer(time, timer);
        }
    }

    /** A line for the log. */
    @PrintedName("Noted")
    record WriteLog(String line) implements Result {
        @Override
        public void carryOut(GatewayActions by) {
            by.log(line);
        }
    }

    /** A viewing's inserts, a slot's number being its place in the list. */
    @PrintedName("Planned")
    record InsertsPlanned(PlayId viewing, List<Insert> inserts) implements Result {
        public InsertsPlanned {
            inserts = List.copyOf(inserts);
        }

        @Override
        public void carryOut(InsertActions by) {
            by.insertsPlanned(viewing, inserts);
        }
    }

    /** Take a wish for an insert to the module. */
    @PrintedName("AskFor")
    record RequestInsert(
            PlayId viewing, int slot, @PrintedName("band") TrafficClass trafficClass) implements Result {
        @Override
        public void carryOut(InsertActions by) {
            by.requestInsert(viewing, slot, trafficClass);
        }
    }

    /** Say at that time that an insert is due. */
    @PrintedName("AskAgain")
    record RetryInsert(PlayId viewing, int slot, double time) implements Result {
        @Override
        public void carryOut(InsertActions by) {
            by.retryInsert(viewing, slot, time);
        }
    }

    /** What an insert came to. */
    @PrintedName("Reported")
    record InsertReported(PlayId viewing, int slot, InsertId insert, String what) implements Result {
        @Override
        public void carryOut(InsertActions by) {
            by.insertReported(viewing, slot, insert, what);
        }
    }

    /** Whether a play whose host was lost is wished for anew. */
    @PrintedName("ComesBack")
    record PlayRecovery(PlayId play, boolean back) implements Result {
        @Override
        public void carryOut(InsertActions by) {
            by.playRecovery(play, back);
        }
    }
}
