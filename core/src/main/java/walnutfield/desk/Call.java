package walnutfield.desk;

import java.util.List;
import walnutfield.decide.Director;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Load;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.Wanted;

/** Something that happened to a gateway, as its decisions are told of it. The time is the desk's to add. */
public sealed interface Call {
    /** Tells the module; only the desk calls this. */
    void tell(Director director, double now);

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
    record Ended(PlayId play, int leg, HostId on, Outcome how, boolean over, double tookMs, Load load)
        implements Call {
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
}
