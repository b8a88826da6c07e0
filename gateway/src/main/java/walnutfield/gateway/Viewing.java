package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlayId;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/**
 * State of one viewing: a viewer's request for a title, and the plays that serve it one after another. What differs from
 * front to front is told to it as it happens, all on the desk's thread.
 */
abstract class Viewing {
    /** Where a viewing stands. */
    enum Phase {
        ASKED,
        PLAYING,
        OVER
    }

    /**
     * What the viewer asked for.
     *
     * @param bestRung highest rung that the viewer can use
     */
    record Asked(ViewerId viewer, TitleId title, TrafficClass band, TenantId customer, int bestRung) {}

    /** A second try of the same viewer for the same title over the same front belongs to the viewing that is open. */
    record Key(String front, ViewerId viewer, TitleId title) {}

    /** What the wish tells of the title. */
    record Piece(double lengthMs, int firstCell, int holders) {}

    /** A leg on its way. */
    interface Leg {
        void callOff();

        /** Takes it back where it has not gone out; false where it has. */
        boolean callOffUnsent();

        boolean wentOut();
    }

    /**
     * What became of a leg.
     *
     * @param why   for the log; empty where SERVED
     * @param carry carries out what was served; false where it cannot be
     */
    record Came(Outcome how, LoadReport load, String why, BooleanSupplier carry) {
        static Came not(Outcome how, String why) {
            return new Came(how, LoadReport.NONE, why, () -> false);
        }
    }

    final Asked asked;
    final double takenAt;
    final List<Asker> waiting = new ArrayList<>(); // emptied by the answer, or as viewers go
    Phase phase = Phase.ASKED;
    PlayId first; // names the viewing to the desk
    PlayId play; // the present one
    String session; // the present play's name at its host
    int legs;
    int rung; // as decided
    int servedRung; // as the host last confirmed it
    HostId host;
    InetSocketAddress address;
    double sentAt;
    double startedAt;
    boolean legOut;
    Leg leg;
    int comebacks;
    boolean answered; // its viewers were told that it plays

    Viewing(Asked asked, double takenAt) {
        this.asked = asked;
        this.takenAt = takenAt;
    }

    /** What its request is known by; a wish of the gateway's own has none. */
    abstract Key key();

    /** Whether the gateway itself wishes it, as a part of another viewing. */
    boolean isOwn() {
        return false;
    }

    /** What is still to be played. */
    abstract Piece piece();

    /** Sends a leg to the host's address; what becomes of it is told once, on any thread. */
    abstract Leg send(int number, Consumer<Came> to);

    /** Follows the session that plays on its host from now on. */
    abstract void listen();

    /** Whether it follows a session. */
    abstract boolean isListening();

    /**
     * Follows it no more.
     *
     * @param tell the host is told that the session is over
     */
    abstract void leave(boolean tell);

    /** Its host serves it; the desk is told next. */
    abstract void started(boolean again, double tookMs);

    /** Its host is to go on at {@link #rung}; what came of it is told to {@link Plays#rungServed}. */
    abstract void change();

    /** Tells one who asked that it plays. */
    abstract void answer(Asker x);

    /** No host takes it. True where nobody waits for that answer and all is done. */
    boolean refused() {
        return false;
    }

    /** It can be told no more: status and hold-off as for {@link Asker#refuse}. */
    abstract void ended(int status, double holdOffMs);

    /** Its host is lost, or it moves: nothing more comes from there. */
    void paused() {}

    /** Whether it goes on as a new play. */
    abstract boolean comesBack(boolean moved);

    /** It does not, and the desk was told. */
    abstract void brokenOff();

    /** Its host says that the viewer has had all of it, or has gone. */
    abstract void hostEnded(boolean whole);

    /** Its last line was written. */
    void over() {}
}
