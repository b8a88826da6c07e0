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

/** Something that happened to a gateway, as its decisions are told of it. The time is the desk's to add. */
public sealed interface Call {
    /** Tells the module; only the desk calls this. Calls that are not the module's do nothing. */
    default void tell(Director director, double now) {}

    /** Tells what decides beside the module; only the desk calls this. */
    default void tell(Stitching stitching, double now) {}

    /** The list kept from before the start: it proves nothing of now. */
    @PrintedName("ListRemembered")
    record PersistedHostListLoaded(List<HostDescriptor> lines) implements Call {
        public PersistedHostListLoaded {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.persistedHostListLoaded(now, lines);
        }
    }

    /** A whole list: a host that is not in it is gone. */
    @PrintedName("ListWhole")
    record HostListReplaced(List<HostDescriptor> lines) implements Call {
        public HostListReplaced {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.hostListReplaced(now, lines);
        }
    }

    /** Changes on top of the list as it stands. */
    @PrintedName("ListChanged")
    record HostListUpdated(List<HostDescriptor> lines) implements Call {
        public HostListUpdated {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.hostListUpdated(now, lines);
        }
    }

    /** What an earlier life of this gateway had learnt; told after a list, as it speaks of its hosts. */
    @PrintedName("LearntTaken")
    record LearnedStateRestored(@PrintedName("learnt") LearnedState state) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.learnedStateRestored(now, state);
        }
    }

    /** The list service cannot be heard. */
    @PrintedName("ListLost")
    record HostListUnavailable() implements Call {
        @Override
        public void tell(Director director, double now) {
            director.hostListUnavailable(now);
        }
    }

    /** A viewer wants to play. */
    @PrintedName("WishTaken")
    record PlayRequested(@PrintedName("wish") PlayRequest request) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.playRequested(now, request);
        }
    }

    /** A play that was under way when this gateway started. */
    @PrintedName("UnderWay")
    record PlayInProgress(@PrintedName("wish") PlayRequest request, HostId host) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.playInProgress(now, request, host);
        }
    }

    /** The rung at which such a play plays. */
    @PrintedName("RungTold")
    record RungReported(PlayId play, int rung) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.rungReported(now, play, rung);
        }
    }

    /**
     * A leg was served and its play plays.
     *
     * @param leg    number of the leg, from 0
     * @param tookMs time from sending to the answer
     */
    @PrintedName("Started")
    record LegStarted(
            PlayId play,
            int leg,
            @PrintedName("on") HostId host,
            @PrintedName("tookMs") double elapsedMs) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.legStarted(now, play, leg, host, elapsedMs);
        }
    }

    /**
     * A leg is over.
     *
     * @param over   the play has had its final answer, by this or before it
     * @param tookMs time from sending
     * @param load   what the answer told of the host's load
     */
    @PrintedName("Ended")
    record LegEnded(
            PlayId play,
            int leg,
            @PrintedName("on") HostId host,
            @PrintedName("how") Outcome outcome,
            boolean over,
            @PrintedName("tookMs") double elapsedMs,
            LoadReport load)
            implements Call {
        @Override
        public void tell(Director director, double now) {
            director.legEnded(now, play, leg, host, outcome, over, elapsedMs, load);
        }
    }

    /** The viewer waits no longer. */
    @PrintedName("GaveUp")
    record ViewerLeft(PlayId play) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.viewerLeft(now, play);
        }
    }

    /** This gateway ends now: no play waits any longer for its final answer. */
    @PrintedName("Ending")
    record ShutdownStarted() implements Call {
        @Override
        public void tell(Director director, double now) {
            director.shutdownStarted(now);
        }
    }

    /** The share of its plays' rates that a host delivers, from 0 to 1. */
    @PrintedName("ShareTold")
    record DeliveredShareReported(HostId host, double share) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.deliveredShareReported(now, host, share);
        }
    }

    /** Figures about a host's playing plays. */
    @PrintedName("LoadTold")
    record LoadReported(HostId host, LoadReport load) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.loadReported(now, host, load);
        }
    }

    /** A probe was answered, or was not. */
    @PrintedName("Probed")
    record ProbeCompleted(
            HostId host,
            @PrintedName("how") Outcome outcome,
            @PrintedName("tookMs") double elapsedMs,
            LoadReport load) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.probeCompleted(now, host, outcome, elapsedMs, load);
        }
    }

    /** The time asked for by {@link Result.Wake} has come. */
    @PrintedName("Woke")
    record TimerFired(@PrintedName("mark") String timer) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.timerFired(now, timer);
        }
    }

    /** The schedule of inserts from now on. */
    @PrintedName("ScheduleTaken")
    record ScheduleUpdated(Schedule schedule) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.schedule(schedule);
        }
    }

    /**
     * A viewing's programme is served.
     *
     * @param viewing  its first play
     * @param startBy  its viewer wants to see something by then
     * @param lengthMs of the programme
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
        public void tell(Stitching stitching, double now) {
            stitching.began(now, this);
        }
    }

    /** It is time to ask for an insert. */
    record InsertDue(
            PlayId viewing, int slot, @PrintedName("band") TrafficClass trafficClass) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.due(now, viewing, slot, trafficClass);
        }
    }

    /** No host took it, or what it serves cannot be stitched in. */
    @PrintedName("InsertNotTaken")
    record InsertRejected(
            PlayId viewing, int slot, @PrintedName("why") Stitcher.SkipReason reason) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.notTaken(now, viewing, slot, reason);
        }
    }

    /** A host serves it. */
    record InsertPlaced(PlayId viewing, int slot) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.placed(viewing, slot);
        }
    }

    /** Its first segment was listed. */
    @PrintedName("InsertBegun")
    record InsertStarted(PlayId viewing, int slot, ViewerId viewer) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.begun(now, viewing, slot, viewer);
        }
    }

    /** Its host says that its viewer has had all of it, or fetches no more. */
    record InsertEnded(PlayId viewing, int slot, boolean whole) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.ended(viewing, slot, whole);
        }
    }

    /** Its host was lost; so much of it is not listed yet. */
    record InsertLost(PlayId viewing, int slot, double leftMs) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.lost(now, viewing, slot, leftMs);
        }
    }

    /** Its viewer must be answered now. */
    record InsertLate(PlayId viewing, int slot) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.late(viewing, slot);
        }
    }

    /** The programme of a viewing, which grew until now, turns out to be so long. */
    record ProgrammeEnded(PlayId viewing, double lengthMs) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.programmeEnded(viewing, lengthMs);
        }
    }

    /** A viewing is over; of these inserts all is listed and the viewer still fetches. */
    @PrintedName("ViewingOver")
    record ViewingEnded(PlayId viewing, Set<Integer> fetched) implements Call {
        public ViewingEnded {
            fetched = Set.copyOf(fetched);
        }

        @Override
        public void tell(Stitching stitching, double now) {
            stitching.over(viewing, fetched);
        }
    }

    /** A minute has passed: what is too old to count may be forgotten. */
    @PrintedName("MinutePassed")
    record MinuteElapsed() implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.tidy(now);
        }
    }

    /**
     * A play's host was lost while it played.
     *
     * @param before     times that it came back before
     * @param sinceMs    since it last began
     * @param unlistedMs what of it is not listed yet
     */
    @PrintedName("PlayBroke")
    record PlayInterrupted(
            PlayId play,
            @PrintedName("band") TrafficClass trafficClass,
            @PrintedName("before") int priorRecoveries,
            double sinceMs,
            double unlistedMs)
            implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.broke(this);
        }
    }
}
