package walnutfield.desk;

import java.util.List;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.play.PrintedName;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/**
 * A decision as a value that can be recorded and compared: one record for each method of {@link GatewayActions} and
 * {@link InsertActions}.
 */
public sealed interface Result {
    /** Carries out a decision of the Director; the other decisions do nothing here. */
    default void applyTo(GatewayActions actions) {}

    /** Carries out a decision on inserts or on recovery; the other decisions do nothing here. */
    default void applyTo(InsertActions actions) {}

    /**
     * Send the play's next leg to this host.
     *
     * @param timeoutMs how long to wait for the host's answer
     */
    @PrintedName("SetUp")
    record SetUpLeg(
            PlayId play,
            HostId host,
            @PrintedName("patienceMs") double timeoutMs) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.setUpLeg(play, host, timeoutMs);
        }
    }

    /** The play's rung from now on, or the rung that it starts at if it is not set up yet. */
    record SetRung(PlayId play, int rung) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.setRung(play, rung);
        }
    }

    /** Take the play off its host; the play is then requested again, marked as moved. */
    @PrintedName("Move")
    record MovePlay(PlayId play) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.movePlay(play);
        }
    }

    /** Final answer: the play is shed; the viewer may retry after {@code retryAfterMs}. */
    @PrintedName("Shed")
    record ShedPlay(PlayId play, @PrintedName("holdOffMs") double retryAfterMs) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.shedPlay(play, retryAfterMs);
        }
    }

    /** Final answer: the play failed. */
    @PrintedName("Errored")
    record FailPlay(PlayId play) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.failPlay(play);
        }
    }

    /** Probe a host for its load. */
    @PrintedName("Probe")
    record ProbeHost(HostId host) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.probeHost(host);
        }
    }

    /** Subscribe to changes of the host list. */
    @PrintedName("FollowList")
    record WatchHostList() implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.watchHostList();
        }
    }

    /** Send a {@link Call.TimerFired} with this timer's name at this time. */
    @PrintedName("Wake")
    record SetTimer(double time, @PrintedName("mark") String timer) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.setTimer(time, timer);
        }
    }

    /** A line for the log. */
    @PrintedName("Noted")
    record WriteLog(String line) implements Result {
        @Override
        public void applyTo(GatewayActions actions) {
            actions.log(line);
        }
    }

    /** The inserts of a viewing; a slot's number is its index in the list. */
    @PrintedName("Planned")
    record InsertsPlanned(PlayId viewing, List<Insert> inserts) implements Result {
        public InsertsPlanned {
            inserts = List.copyOf(inserts);
        }

        @Override
        public void applyTo(InsertActions actions) {
            actions.insertsPlanned(viewing, inserts);
        }
    }

    /** Request a play of an insert from the Director, in this traffic class. */
    @PrintedName("AskFor")
    record RequestInsert(
            PlayId viewing, int slot, @PrintedName("band") TrafficClass trafficClass) implements Result {
        @Override
        public void applyTo(InsertActions actions) {
            actions.requestInsert(viewing, slot, trafficClass);
        }
    }

    /** Send a {@link Call.InsertDue} for the slot at this time. */
    @PrintedName("AskAgain")
    record RetryInsert(PlayId viewing, int slot, double time) implements Result {
        @Override
        public void applyTo(InsertActions actions) {
            actions.retryInsert(viewing, slot, time);
        }
    }

    /**
     * An insert started, completed or was dropped.
     *
     * @param slot   -1 for an insert that was never planned
     * @param report "started", "completed", or "dropped-" followed by the reason
     */
    @PrintedName("Reported")
    record InsertReported(
            PlayId viewing,
            int slot,
            InsertId insert,
            @PrintedName("what") String report) implements Result {
        @Override
        public void applyTo(InsertActions actions) {
            actions.insertReported(viewing, slot, insert, report);
        }
    }

    /**
     * Whether the gateway requests a play anew whose host was lost.
     *
     * @param recover true where it does
     */
    @PrintedName("ComesBack")
    record PlayRecovery(PlayId play, @PrintedName("back") boolean recover) implements Result {
        @Override
        public void applyTo(InsertActions actions) {
            actions.playRecovery(play, recover);
        }
    }
}
