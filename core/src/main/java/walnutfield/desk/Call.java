package walnutfield.desk;

import java.util.List;
import java.util.Set;
import walnutfield.decide.Director;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.PrintedName;
import walnutfield.play.TenantId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher;

/** An event of a gateway, as it is passed to the desk. Its time is passed separately. */
public sealed interface Call {
    /** Passes the event to the Director; only the desk calls this. Events of no concern to the Director do nothing. */
    default void applyTo(Director director, double now) {}

    /** Passes the event to the insert coordinator; only the desk calls this. Other events do nothing. */
    default void applyTo(InsertCoordinator inserts, double now) {}

    /** The host list persisted before this start was loaded; it does not prove that its hosts still exist. */
    @PrintedName("ListRemembered")
    record PersistedHostListLoaded(@PrintedName("lines") List<HostDescriptor> hosts) implements Call {
        public PersistedHostListLoaded {
            hosts = List.copyOf(hosts);
        }

        @Override
        public void applyTo(Director director, double now) {
            director.persistedHostListLoaded(now, hosts);
        }
    }

    /** A complete host list arrived: a host that is not in it is gone. */
    @PrintedName("ListWhole")
    record HostListReplaced(@PrintedName("lines") List<HostDescriptor> hosts) implements Call {
        public HostListReplaced {
            hosts = List.copyOf(hosts);
        }

        @Override
        public void applyTo(Director director, double now) {
            director.hostListReplaced(now, hosts);
        }
    }

    /** Changes to the present host list arrived. */
    @PrintedName("ListChanged")
    record HostListUpdated(@PrintedName("lines") List<HostDescriptor> hosts) implements Call {
        public HostListUpdated {
            hosts = List.copyOf(hosts);
        }

        @Override
        public void applyTo(Director director, double now) {
            director.hostListUpdated(now, hosts);
        }
    }

    /** The state learned in an earlier process lifetime was loaded. Sent after a host list, as it refers to hosts. */
    @PrintedName("LearntTaken")
    record LearnedStateRestored(@PrintedName("learnt") LearnedState state) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.learnedStateRestored(now, state);
        }
    }

    /** The discovery service cannot be reached. */
    @PrintedName("ListLost")
    record HostListUnavailable() implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.hostListUnavailable(now);
        }
    }

    /** A viewer requested a play. */
    @PrintedName("WishTaken")
    record PlayRequested(@PrintedName("wish") PlayRequest request) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.playRequested(now, request);
        }
    }

    /** A play was already in progress on this host when the gateway started. */
    @PrintedName("UnderWay")
    record PlayInProgress(@PrintedName("wish") PlayRequest request, HostId host) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.playInProgress(now, request, host);
        }
    }

    /** The current rung of a play that was in progress when the gateway started. */
    @PrintedName("RungTold")
    record RungReported(PlayId play, int rung) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.rungReported(now, play, rung);
        }
    }

    /**
     * The host accepted a leg and its play is playing.
     *
     * @param leg       number of the leg, from 0
     * @param elapsedMs time from sending the leg to the answer
     */
    @PrintedName("Started")
    record LegStarted(
            PlayId play,
            int leg,
            @PrintedName("on") HostId host,
            @PrintedName("tookMs") double elapsedMs) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.legStarted(now, play, leg, host, elapsedMs);
        }
    }

    /**
     * A leg ended.
     *
     * @param playFinished whether the play has had its final answer, by this event or before it
     * @param elapsedMs    time since the leg was sent
     * @param load         the host's load as reported in the answer
     */
    @PrintedName("Ended")
    record LegEnded(
            PlayId play,
            int leg,
            @PrintedName("on") HostId host,
            @PrintedName("how") Outcome outcome,
            @PrintedName("over") boolean playFinished,
            @PrintedName("tookMs") double elapsedMs,
            LoadReport load)
            implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.legEnded(now, play, leg, host, outcome, playFinished, elapsedMs, load);
        }
    }

    /** The viewer stopped waiting for the play. */
    @PrintedName("GaveUp")
    record ViewerLeft(PlayId play) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.viewerLeft(now, play);
        }
    }

    /** The gateway is shutting down: every play that still waits must get its final answer now. */
    @PrintedName("Ending")
    record ShutdownStarted() implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.shutdownStarted(now);
        }
    }

    /** The share of the rates of its plays that a host delivers, from 0 to 1. */
    @PrintedName("ShareTold")
    record DeliveredShareReported(HostId host, double share) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.deliveredShareReported(now, host, share);
        }
    }

    /** A load report of a host, based on the plays that it is serving. */
    @PrintedName("LoadTold")
    record LoadReported(HostId host, LoadReport load) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.loadReported(now, host, load);
        }
    }

    /** A probe was answered or failed. */
    @PrintedName("Probed")
    record ProbeCompleted(
            HostId host,
            @PrintedName("how") Outcome outcome,
            @PrintedName("tookMs") double elapsedMs,
            LoadReport load) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.probeCompleted(now, host, outcome, elapsedMs, load);
        }
    }

    /** A timer set by {@link Result.SetTimer} fired. */
    @PrintedName("Woke")
    record TimerFired(@PrintedName("mark") String timer) implements Call {
        @Override
        public void applyTo(Director director, double now) {
            director.timerFired(now, timer);
        }
    }

    /** The schedule of inserts that applies from now on. */
    @PrintedName("ScheduleTaken")
    record ScheduleUpdated(Schedule schedule) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.updateSchedule(schedule);
        }
    }

    /**
     * The programme of a viewing is being served.
     *
     * @param viewing       first play of the viewing, which identifies it
     * @param startDeadline time by which the viewer should see the first picture
     * @param lengthMs      length of the programme
     */
    @PrintedName("ViewingBegan")
    record ViewingStarted(
            PlayId viewing,
            ViewerId viewer,
            @PrintedName("customer") TenantId tenant,
            @PrintedName("band") TrafficClass trafficClass,
            @PrintedName("startBy") double startDeadline,
            double lengthMs)
            implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.viewingStarted(now, this);
        }
    }

    /** It is time to request an insert. */
    record InsertDue(
            PlayId viewing, int slot, @PrintedName("band") TrafficClass trafficClass) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertDue(now, viewing, slot, trafficClass);
        }
    }

    /** No host accepted the insert, or what its host serves cannot be stitched in. */
    @PrintedName("InsertNotTaken")
    record InsertRejected(
            PlayId viewing, int slot, @PrintedName("why") Stitcher.SkipReason reason) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertRejected(now, viewing, slot, reason);
        }
    }

    /** A host serves the insert. */
    record InsertPlaced(PlayId viewing, int slot) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertPlaced(viewing, slot);
        }
    }

    /** The first segment of the insert was listed in the viewer's playlist. */
    @PrintedName("InsertBegun")
    record InsertStarted(PlayId viewing, int slot, ViewerId viewer) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertStarted(now, viewing, slot, viewer);
        }
    }

    /**
     * The host of the insert reported that the viewer is through with it.
     *
     * @param complete true if the viewer fetched all of it, false if the viewer stopped fetching before
     */
    record InsertEnded(
            PlayId viewing, int slot, @PrintedName("whole") boolean complete) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertEnded(viewing, slot, complete);
        }
    }

    /**
     * The host of the insert was lost.
     *
     * @param unlistedMs length of the rest that is not listed yet
     */
    record InsertLost(
            PlayId viewing, int slot, @PrintedName("leftMs") double unlistedMs) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertLost(now, viewing, slot, unlistedMs);
        }
    }

    /** The viewer must be answered now, whether the insert is placed or not. */
    record InsertLate(PlayId viewing, int slot) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.insertLate(viewing, slot);
        }
    }

    /** The programme of a viewing, which was growing until now, ended; its length is now known. */
    record ProgrammeEnded(PlayId viewing, double lengthMs) implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.programmeEnded(viewing, lengthMs);
        }
    }

    /**
     * A viewing ended.
     *
     * @param stillFetched slots whose insert is listed completely and still being fetched by the viewer
     */
    @PrintedName("ViewingOver")
    record ViewingEnded(
            PlayId viewing, @PrintedName("fetched") Set<Integer> stillFetched) implements Call {
        public ViewingEnded {
            stillFetched = Set.copyOf(stillFetched);
        }

        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.viewingEnded(viewing, stillFetched);
        }
    }

    /** A minute passed: history that is too old to count may be dropped. */
    @PrintedName("MinutePassed")
    record MinuteElapsed() implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.minuteElapsed(now);
        }
    }

    /**
     * The host of a play was lost while the play was playing.
     *
     * @param priorRecoveries number of recoveries of this play so far
     * @param sinceStartMs    time since the play last started
     * @param unlistedMs      length of the rest that is not listed yet
     */
    @PrintedName("PlayBroke")
    record PlayInterrupted(
            PlayId play,
            @PrintedName("band") TrafficClass trafficClass,
            @PrintedName("before") int priorRecoveries,
            @PrintedName("sinceMs") double sinceStartMs,
            double unlistedMs)
            implements Call {
        @Override
        public void applyTo(InsertCoordinator inserts, double now) {
            inserts.playInterrupted(this);
        }
    }
}
