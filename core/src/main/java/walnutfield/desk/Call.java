package walnutfield.desk;

import java.util.List;
import java.util.Set;
import walnutfield.decide.Director;
import walnutfield.play.Band;
import walnutfield.play.CustomerId;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Learnt;
import walnutfield.play.Load;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher;

/** Something that happened to a gateway, as its decisions are told of it. The time is the desk's to add. */
public sealed interface Call {
    /** Tells the module; only the desk calls this. Calls that are not the module's do nothing. */
    default void tell(Director director, double now) {}

    /** Tells what decides beside the module; only the desk calls this. */
    default void tell(Stitching stitching, double now) {}

    /** The list kept from before the start: it proves nothing of now. */
    record ListRemembered(List<HostLine> lines) implements Call {
        public ListRemembered {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.listRemembered(now, lines);
        }
    }

    /** A whole list: a host that is not in it is gone. */
    record ListWhole(List<HostLine> lines) implements Call {
        public ListWhole {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.listWhole(now, lines);
        }
    }

    /** Changes on top of the list as it stands. */
    record ListChanged(List<HostLine> lines) implements Call {
        public ListChanged {
            lines = List.copyOf(lines);
        }

        @Override
        public void tell(Director director, double now) {
            director.listChanged(now, lines);
        }
    }

    /** What an earlier life of this gateway had learnt; told after a list, as it speaks of its hosts. */
    record LearntTaken(Learnt learnt) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.learntTaken(now, learnt);
        }
    }

    /** The list service cannot be heard. */
    record ListLost() implements Call {
        @Override
        public void tell(Director director, double now) {
            director.listLost(now);
        }
    }

    /** A viewer wants to play. */
    record WishTaken(Wanted wish) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.wanted(now, wish);
        }
    }

    /** A play that was under way when this gateway started. */
    record UnderWay(Wanted wish, HostId host) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.playing(now, wish, host);
        }
    }

    /** The rung at which such a play plays. */
    record RungTold(PlayId play, int rung) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.rungTold(now, play, rung);
        }
    }

    /**
     * A leg was served and its play plays.
     *
     * @param leg    number of the leg, from 0
     * @param tookMs time from sending to the answer
     */
    record Started(PlayId play, int leg, HostId on, double tookMs) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.started(now, play, leg, on, tookMs);
        }
    }

    /**
     * A leg is over.
     *
     * @param over   the play has had its final answer, by this or before it
     * @param tookMs time from sending
     * @param load   what the answer told of the host's load
     */
    record Ended(PlayId play, int leg, HostId on, Outcome how, boolean over, double tookMs, Load load) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.ended(now, play, leg, on, how, over, tookMs, load);
        }
    }

    /** The viewer waits no longer. */
    record GaveUp(PlayId play) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.gaveUp(now, play);
        }
    }

    /** This gateway ends now: no play waits any longer for its final answer. */
    record Ending() implements Call {
        @Override
        public void tell(Director director, double now) {
            director.ending(now);
        }
    }

    /** The share of its plays' rates that a host delivers, from 0 to 1. */
    record ShareTold(HostId host, double share) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.shareTold(now, host, share);
        }
    }

    /** Figures about a host's playing plays. */
    record LoadTold(HostId host, Load load) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.loadTold(now, host, load);
        }
    }

    /** A probe was answered, or was not. */
    record Probed(HostId host, Outcome how, double tookMs, Load load) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.probed(now, host, how, tookMs, load);
        }
    }

    /** The time asked for by {@link Result.Wake} has come. */
    record Woke(String mark) implements Call {
        @Override
        public void tell(Director director, double now) {
            director.woke(now, mark);
        }
    }

    /** The schedule of inserts from now on. */
    record ScheduleTaken(Schedule schedule) implements Call {
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
    record ViewingBegan(
            PlayId viewing, ViewerId viewer, CustomerId customer, Band band, double startBy, double lengthMs)
            implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.began(now, this);
        }
    }

    /** It is time to ask for an insert. */
    record InsertDue(PlayId viewing, int slot, Band band) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.due(now, viewing, slot, band);
        }
    }

    /** No host took it, or what it serves cannot be stitched in. */
    record InsertNotTaken(PlayId viewing, int slot, Stitcher.Why why) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.notTaken(now, viewing, slot, why);
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
    record InsertBegun(PlayId viewing, int slot, ViewerId viewer) implements Call {
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
    record ViewingOver(PlayId viewing, Set<Integer> fetched) implements Call {
        public ViewingOver {
            fetched = Set.copyOf(fetched);
        }

        @Override
        public void tell(Stitching stitching, double now) {
            stitching.over(viewing, fetched);
        }
    }

    /** A minute has passed: what is too old to count may be forgotten. */
    record MinutePassed() implements Call {
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
    record PlayBroke(PlayId play, Band band, int before, double sinceMs, double unlistedMs) implements Call {
        @Override
        public void tell(Stitching stitching, double now) {
            stitching.broke(this);
        }
    }
}
