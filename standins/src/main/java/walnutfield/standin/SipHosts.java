package walnutfield.standin;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipNode;
import walnutfield.orca.LoadField;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Overload;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipText;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;
import walnutfield.standin.audit.Auditor;

/** The same media hosts over SIP, on datagrams of the same port numbers, with all that befalls them and their datagrams. */
public final class SipHosts implements AutoCloseable {
    private static final double SHORT = 0.98;
    private static final double RINGS = 0.3; // part of set-ups that say 183 first, by their number

    /** One life of one host. */
    private final class Life implements Transactions.User {
        private final MediaHosts.Door door;
        private final double began;
        private final Transactions transactions;

        Life(MediaHosts.Door door, double began) {
            this.door = door;
            this.began = began;
            transactions = new Transactions(Timers.of(t1Ms, thread), this);
        }

        private boolean lives() {
            return door.isReachable() && lives.get(door.port()) == this;
        }

        /** Sends an answer, unless the host is lost by now; one that stands sends it later. */
        private void answer(ServerTransaction t, SIPResponse r) {
            if (lives() && !door.standsUntil(() -> thread.run(() -> answer(t, r)))) {
                SipText.add(r, "Host-Instance", door.name() + "." + (long) began);
                SipText.add(r, LoadField.NAME, LoadField.write(door.load()));
                t.answer(r);
            }
        }

        private SIPResponse response(ServerTransaction t, int status) {
            return Transactions.response(t.request(), status, door.name());
        }

        @Override
        public void request(ServerTransaction t) {
            SIPRequest r = t.request();
            String play = play(r);
            switch (r.getMethod()) {
                case "INVITE" -> setUp(t, play);
                case "UPDATE" -> {
                    String band = door.band(play);
                    double kbit = kbit(r);
                    if (band == null) {
                        answer(t, response(t, 481));
                    } else {
                        int rung = door.rungOf(band, kbit);
                        door.rung(play, rung);
                        answer(t, described(t, kbit));
                    }
                }
                case "BYE" -> {
                    boolean known = door.band(play) != null;
                    door.over(play);
                    answer(t, response(t, known ? 200 : 481));
                }
                case "OPTIONS" -> {
                    String id = r.getCallId().getCallId();
                    door.heardOf(id.contains(".o.") ? id.substring(0, id.lastIndexOf(".o.")) : id);
                    SIPResponse ok = response(t, 200);
                    double share = door.share();
                    if (share < SHORT || wasShort.remove(door.name())) {
                        SipText.add(ok, "Delivered-Share", String.format(Locale.ROOT, "%.4f", Math.min(1, share)));
                    }
                    if (share < SHORT) {
                        wasShort.add(door.name());
                    }
                    if (Overload.isAsked(r.getTopmostVia())) {
                        new Overload((int) Math.round(100 * (1 - Math.min(1, share))), 500, Clock.now() / 1000)
                                .write(ok.getTopmostVia());
                    }
                    answer(t, ok);
                }
                default -> answer(t, response(t, 405));
            }
        }

        private void setUp(ServerTransaction t, String play) {
            SIPRequest r = t.request();
            String band = SipText.field(r, "Play-Band");
            String gateway = SipText.field(r, "Play-Gateway");
            int leg = (int) SipText.whole(r, "Play-Leg", 0);
            double kbit = kbit(r);
            int rung = door.rungOf(band, kbit);
            String to = r.getRequestURI().toString();
            long title = Long.parseLong(to.substring(4, to.indexOf('@')));
            auditor.legCame(gateway, play, leg, door.name(), band, title, rung, arrived, Clock.now(), wireMs);
            double work = door.admit(play, gateway, band, title, rung);
            if (work >= 0) {
                if (Math.floorMod(play.hashCode(), 100) < 100 * RINGS) {
                    answer(t, response(t, 183));
                }
                thread.at(thread.now() + work, () -> through(t, play, kbit));
            } else if (work < -1) {
                answer(t, response(t, (int) -work));
            }
        }

        private void through(ServerTransaction t, String play, double kbit) {
            if (t.finalStatus() != 0 || door.standsUntil(() -> thread.run(() -> through(t, play, kbit)))) {
                return;
            }
            if (lives() && door.started(play)) {
                transactions.awaitsAck(t, door.name());
                t.onUnacked(() -> door.over(play));
                answer(t, described(t, kbit));
            }
        }

        private SIPResponse described(ServerTransaction t, double kbit) {
            SIPResponse ok = response(t, 200);
            SipText.add(ok, "Contact", "<sip:" + door.name() + "@127.0.0.1:" + door.port() + ">");
            SipText.describe(ok, Sdp.of("127.0.0.1", door.port(), (long) Clock.now(), kbit));
            return ok;
        }

        @Override
        public void cancelled(ServerTransaction invite) {
            String play = play(invite.request());
            door.over(play);
            answer(invite, response(invite, 487));
        }

        @Override
        public void acked(SIPRequest ack) {}
    }

    private static String play(SIPRequest r) {
        String id = r.getCallId().getCallId();
        return id.contains(".") ? id.substring(0, id.lastIndexOf('.')) : id;
    }

    private static double kbit(SIPRequest r) {
        try {
            double kbit = Sdp.read(SipText.body(r)).kbitS();
            return Double.isNaN(kbit) ? 0 : kbit;
        } catch (Malformed e) {
            return 0;
        }
    }

    private static final int COPIES = 3; // of round trips: two losses in a row

    private final double t1Ms;
    private final double wireMs; // from a host's taking up an INVITE to its being called off, at worst
    private double arrived; // what is taken up just now, at its socket
    private final Auditor auditor;
    private final Weather weather;
    private final StandinThread thread;
    private final SipNode node;
    private final Map<Integer, MediaHosts.Door> doors = new HashMap<>();
    private final Map<Integer, Life> lives = new HashMap<>(); // by port
    private final Set<String> wasShort = new HashSet<>(); // hosts, at their last report

    public SipHosts(MediaHosts hosts, double t1Ms, Weather.Sky sky, long seed, Auditor auditor) throws IOException {
        this.t1Ms = t1Ms;
        wireMs = 2 * sky.lateMs() + (sky.loss() > 0 ? COPIES * t1Ms : 0);
        this.auditor = auditor;
        thread = new StandinThread("sip-hosts");
        weather = new Weather(sky, seed, thread);
        node = new SipNode("sip-hosts", 1, new SipNode.Receiver() {
            @Override
            public void came(byte[] message, Flow from, int localPort) {
                take(message, from, localPort);
            }

            @Override
            public void broken(Flow flow) {}
        });
        for (MediaHosts.Door d : hosts.doors()) {
            doors.put(d.port(), d);
            node.bind(d.port(), false);
        }
    }

    /** What the auditor makes of a CANCEL or BYE is of its coming to the socket: what is lost after it is no fault of the sender. */
    private void take(byte[] message, Flow from, int port) {
        SIPMessage m;
        try {
            m = SipText.read(message);
        } catch (Malformed e) {
            return;
        }
        MediaHosts.Door door = doors.get(port);
        if (m instanceof SIPRequest r
                && (r.getMethod().equals("CANCEL") || r.getMethod().equals("BYE"))) {
            auditor.legOver(play(r), door.name(), Auditor.Fate.CLOSED, Clock.now());
            auditor.sessionOver(play(r), door.name(), Clock.now());
        }
        double at = Clock.now();
        weather.pass(() -> thread.run(() -> received(door, m, at, weather.over(from))));
    }

    private void received(MediaHosts.Door door, SIPMessage m, double at, Flow from) {
        if (!door.isReachable() || door.standsUntil(() -> thread.run(() -> received(door, m, at, from)))) {
            return;
        }
        double began = door.life();
        Life life = lives.get(door.port());
        if (life == null || life.began != began) { // it has started since: it knows nothing of before
            life = new Life(door, began);
            lives.put(door.port(), life);
        }
        arrived = at;
        life.transactions.received(m, from);
    }

    @Override
    public void close() throws IOException {
        thread.close();
        node.close();
    }
}
