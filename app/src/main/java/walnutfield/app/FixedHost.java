package walnutfield.app;

import walnutfield.desk.Call;
import walnutfield.desk.Taker;
import walnutfield.play.Gateway;
import walnutfield.play.HostId;

/** The baseline of measurements: each play goes to the host that was listed first, at its band's top, and nothing is decided. */
final class FixedHost implements Taker {
    private final Gateway out;
    private HostId host;

    FixedHost(Gateway out) {
        this.out = out;
    }

    @Override
    public void take(double time, Call call) {
        if (call instanceof Call.ListRemembered l && !l.lines().isEmpty()) {
            host = l.lines().get(0).host();
        } else if (call instanceof Call.ListWhole l && !l.lines().isEmpty()) {
            host = l.lines().get(0).host();
        } else if (call instanceof Call.WishTaken w) {
            if (host == null) {
                out.shed(w.wish().play(), 1000);
                return;
            }
            out.setRung(w.wish().play(), w.wish().band().top());
            out.setUp(w.wish().play(), host, w.wish().band().hardStopMs());
        } else if (call instanceof Call.Ended e && !e.over()) {
            out.error(e.play());
        }
    }
}
