package walnutfield.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import walnutfield.net.Client;
import walnutfield.net.Exchange;
import walnutfield.play.Band;
import walnutfield.play.CustomerId;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.stitch.Insert;

/** State of one viewing: a viewer's request for a title, and the plays that serve it one after another. */
final class Viewing {
    /** Where a viewing stands. */
    enum Phase { ASKED, PLAYING, OVER }

    /**
     * What the viewer asked for.
     *
     * @param bestRung highest rung that the viewer can use
     */
    record Asked(ViewerId viewer, TitleId title, Band band, CustomerId customer, int bestRung) {
        Key key() {
            return new Key(viewer, title);
        }
    }

    /** A second try of the same viewer for the same title belongs to the viewing that is open. */
    record Key(ViewerId viewer, TitleId title) { }

    final Asked asked;
    final String id;                 // in the viewer's URIs
    final double takenAt;
    final List<Exchange> waiting = new ArrayList<>(); // emptied by the answer, or as viewers go
    final SessionPlaylist playlist;
    Phase phase = Phase.ASKED;
    PlayId first;                    // names the viewing to the desk
    PlayId play;                     // the present one
    double playTakenAt;
    String session;                  // the present play's name at its host
    int legs;
    int rung;                        // as decided
    int servedRung;                  // as the host last confirmed it
    HostId host;
    InetSocketAddress address;
    double sentAt;
    double startedAt;
    double heardAt;
    boolean legOut;
    Client.Sent leg;
    Client.Sent stream;
    int comebacks;
    Inserts.Stitched stitched;       // of a programme; null before it is served
    boolean grew;                    // its programme was not at its end when it was served, and its end is not told yet
    boolean answered;                // its viewers were told the playlist
    Viewing main;                    // of an insert: the viewing that it is stitched into; null for a programme
    Insert insert;                   // of an insert
    int slot;                        // of an insert: its number in its viewing

    Viewing(Asked asked, String id, double takenAt, double aheadS) {
        this.asked = asked;
        this.id = id;
        this.takenAt = takenAt;
        playlist = new SessionPlaylist(id, takenAt, aheadS);
    }
}
