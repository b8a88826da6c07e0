package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import walnutfield.loop.DeskThread;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipNode;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Overload;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipText;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;

/**
 * The front for video calls: a back-to-back user agent (RFC 3261, section 6) on UDP and TCP. Reads wishes out of INVITEs,
 * keeps the callers' dialogs, speaks to the media hosts. Decides nothing. On the desk's thread, but for what comes in.
 */
final class Calls implements SipNode.Receiver, Transactions.User, Plays.Prober, AutoCloseable {
    static final String ALLOW = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE";
    static final String PLAY = "Play-Id";
    static final String LEG = "Play-Leg";
    static final String BAND = "Play-Band";
    static final String GATEWAY = "Play-Gateway";
    static final String INSTANCE = "Host-Instance";
    static final String SHARE = "Delivered-Share";
    private static final double MIN_SESSION_S = 90; // RFC 4028, section 4
    private static final double GLARE_MS = 2000; // RFC 3261, section 14.1, of who did not choose the Call-ID
    private static final double OVERLOAD_MS = 1000; // what is told of overload is of the last second, and holds as long
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    /** One caller's dialog. */
    final class Caller {
        final CallViewing viewing;
        final Dialog dialog;
        final String name;
        private final InetAddress from;
        private ServerTransaction answered; // its INVITE, until the ACK comes
        private boolean inviting; // a re-INVITE of ours is out
        private boolean stale; // the session has changed since
        private double expiresAt = Double.POSITIVE_INFINITY;
        private boolean over;

        Caller(CallViewing viewing, Dialog dialog, String name, ServerTransaction answered) {
            this.viewing = viewing;
            this.dialog = dialog;
            this.name = name;
            this.answered = answered;
            from = answered.flow().remote().getAddress();
        }
    }

    final DeskThread thread;
    final Catalogue catalogue;
    final Inserts beside;
    final String name;
    private final Terms.Sip terms;
    private final Terms.Hosts hostTerms;
    private final Transactions transactions;
    private final SipNode node;
    private final SplittableRandom glare;
    private final Map<Viewing.Key, CallViewing> open = new HashMap<>(); // emptied as calls end
    private final Map<ServerTransaction, CallAsker> asking = new HashMap<>(); // emptied as INVITEs are answered
    private final Map<String, Caller> callers = new HashMap<>(); // by dialog; emptied as they hang up
    private final Map<String, CallViewing> hosted = new HashMap<>(); // by the host's Call-ID; emptied as calls leave it
    private final Map<InetSocketAddress, HostWatch> watches = new HashMap<>(); // emptied with the last call there
    private final Map<InetAddress, Integer> halfOpen =
            new HashMap<>(); // emptied as INVITEs are answered and acknowledged
    private final Fates fates = new Fates();
    private Plays plays;
    private Admission admission;
    private int port;
    private long branch;
    private double countedAt;
    private int asked;
    private int turnedAway;
    private int percent; // turned away of a hundred, in the last second that is over

    Calls(String name, DeskThread thread, Terms.Sip terms, Terms.Hosts hostTerms, Catalogue catalogue, Inserts beside)
            throws IOException {
        this.name = name;
        this.thread = thread;
        this.terms = terms;
        this.hostTerms = hostTerms;
        this.catalogue = catalogue;
        this.beside = beside;
        glare = new SplittableRandom(name.hashCode());
        node = new SipNode(name, terms.streams(), this);
        transactions = new Transactions(
                Timers.of(terms.t1Ms(), new Timers.Runner() {
                    @Override
                    public double now() {
                        return thread.now();
                    }

                    @Override
                    public void at(double time, Runnable what) {
                        thread.at(time, what);
                    }
                }),
                this);
    }

    /** Once, before anything else. */
    void over(Plays with, Admission door) {
        plays = with;
        admission = door;
    }

    long repeats() {
        return transactions.repeats();
    }

    Plays plays() {
        return plays;
    }

    int bind() throws IOException {
        port = node.bind(terms.port(), true);
        return port;
    }

    int port() {
        return port;
    }

    /** As the hosts know it, over all its lives. */
    String gateway() {
        return name.substring(0, name.lastIndexOf('.'));
    }

    String at() {
        return "127.0.0.1:" + port;
    }

    String contact() {
        return "sip:" + gateway() + "@" + at();
    }

    String via() {
        return "SIP/2.0/UDP " + at() + ";branch=z9hG4bK" + name + "." + ++branch + ";oc;oc-algo=\"loss\"";
    }

    private String via(Flow way) {
        return way.isReliable() ? via().replace("/UDP", "/TCP") : via();
    }

    Flow way(InetSocketAddress host) {
        return node.datagrams(port, host);
    }

    // ---- What comes in, on the sockets' threads

    @Override
    public void came(byte[] bytes, Flow from, int localPort) {
        double at = Clock.now();
        SIPMessage m;
        try {
            m = SipText.read(bytes);
        } catch (Malformed e) {
            byte[] refusal = SipText.refusal(bytes, e);
            if (refusal != null) {
                from.send(refusal);
            }
            return;
        }
        boolean first = m instanceof SIPRequest r
                && r.getToTag() == null
                && !r.getMethod().equals("CANCEL")
                && !r.getMethod().equals("ACK");
        if (!first) { // of what is open there is only so much
            thread.post(() -> transactions.received(m, from));
        } else {
            SIPRequest request = (SIPRequest) m;
            String key = Transactions.key(request);
            Untaken asker = new Untaken(request, from, key, fates);
            admission.take(asker, at, () -> {
                if (isCrowded(request, from) && fates.turnAway(key) || !fates.take(key)) {
                    admission.turnAway(asker);
                } else {
                    transactions.received(m, from);
                }
            });
        }
    }

    /** A request that did not get to the desk's thread: answered without a transaction (RFC 3261, section 8.2.7). */
    private record Untaken(SIPRequest request, Flow from, String key, Fates fates) implements Asker {
        @Override
        public boolean isDone() {
            return false;
        }

        @Override
        public void onGone(Runnable what) {}

        @Override
        public void serve(String play, String body) {
            throw new IllegalStateException("it is not taken");
        }

        @Override
        public void refuse(int status, String play, double holdOffMs) {
            if (!fates.turnAway(key)) {
                return; // a copy of it was taken, and is answered
            }
            SIPResponse r = Transactions.response(request, status, "untaken");
            SipText.add(r, "Retry-After", Long.toString((long) Math.ceil(holdOffMs / 1000)));
            from.send(SipText.write(r));
        }
    }

    @Override
    public void broken(Flow flow) {
        thread.post(() -> transactions.broken(flow));
    }

    // ---- What the transactions tell

    @Override
    public void request(ServerTransaction t) {
        SIPRequest r = t.request();
        if (r.getToTag() != null) {
            within(t);
            return;
        }
        switch (r.getMethod()) {
            case "INVITE" -> wish(t);
            case "OPTIONS" -> {
                SIPResponse ok = response(t, 200, "options");
                SipText.add(ok, "Allow", ALLOW);
                SipText.add(ok, "Accept", "application/sdp");
                t.answer(ok);
            }
            case "BYE", "UPDATE" -> t.answer(response(t, 481, "none"));
            default -> {
                SIPResponse no = response(t, 405, "none");
                SipText.add(no, "Allow", ALLOW);
                t.answer(no);
            }
        }
    }

    /** Reads a wish out of an INVITE, or refuses it. */
    private void wish(ServerTransaction t) {
        SIPRequest r = t.request();
        count(false);
        String require = SipText.field(r, "Require");
        if (require != null && !require.equalsIgnoreCase("timer")) {
            refuse(t, 420, "Unsupported", require);
            return;
        }
        double session = SipText.whole(r, "Session-Expires", Integer.MAX_VALUE);
        if (session < MIN_SESSION_S) {
            refuse(t, 422, "Min-SE", Integer.toString((int) MIN_SESSION_S));
            return;
        }
        Matcher target = TARGET.matcher(r.getRequestURI().toString());
        TitleId title = target.matches() && NUMBER.matcher(target.group(1)).matches()
                ? new TitleId(Long.parseLong(target.group(1)))
                : null;
        if (title == null || !catalogue.titles().containsKey(title)) {
            refuse(t, 404, null, null);
            return;
        }
        TrafficClass band = catalogue.bands().get(parameter(target.group(2), "band", ""));
        Matcher who = USER.matcher(r.getFrom().getAddress().getURI().toString());
        if (band == null || !who.matches()) {
            refuse(t, 400, null, null);
            return;
        }
        Sdp offer = offer(t);
        if (offer == null) {
            return;
        }
        int best = Double.isNaN(offer.kbitS()) ? Integer.MAX_VALUE : catalogue.rungWithin(band, (long) offer.kbitS());
        String customer = parameter(target.group(2), "customer", null);
        Viewing.Asked wish = new Viewing.Asked(
                Front.viewer(who.group(1)), title, band, customer == null ? null : new TenantId(customer), best);
        Viewing.Key key = new Viewing.Key(CallViewing.FRONT, wish.viewer(), title);
        CallAsker asker = new CallAsker(this, t, key, tag());
        asking.put(t, asker);
        halfOpen.merge(t.flow().remote().getAddress(), 1, Integer::sum);
        double at = thread.now();
        int hops =
                r.getMaxForwards() == null ? 70 : Math.max(0, r.getMaxForwards().getMaxForwards() - 1);
        plays.asked(asker, key, at, () -> {
            CallViewing v = new CallViewing(this, wish, offer, hops, at);
            open.put(key, v);
            return v;
        });
    }

    private static final Pattern TARGET = Pattern.compile("sips?:([^@;?]{1,64})(?:@[^;?]*)?((?:;[^?]*)?)(?:\\?.*)?");
    private static final Pattern USER = Pattern.compile("(?:sips?|tel):([^@;?:]{1,64})(?:[@;:].*)?");

    private static String parameter(String all, String name, String otherwise) {
        for (String p : all.split(";")) {
            if (p.toLowerCase(Locale.ROOT).startsWith(name + "=")) {
                return p.substring(name.length() + 1);
            }
        }
        return otherwise;
    }

    /** The offer of video that an INVITE carries; null where it was refused for want of one. */
    private Sdp offer(ServerTransaction t) {
        SIPRequest r = t.request();
        String type = SipText.field(r, "Content-Type");
        if (type != null && !type.toLowerCase(Locale.ROOT).startsWith("application/sdp")) {
            refuse(t, 415, "Accept", "application/sdp");
            return null;
        }
        try {
            Sdp offer = Sdp.read(SipText.body(r));
            if (offer.video()) {
                return offer;
            }
            refuse(t, 488, null, null);
        } catch (Malformed e) { // an INVITE without an offer too: a host's answer must come before ours
            refuse(t, SipText.body(r).isEmpty() ? 488 : e.status(), null, null);
        }
        return null;
    }

    private void refuse(ServerTransaction t, int status, String field, String value) {
        SIPResponse r = response(t, status, tag());
        if (field != null) {
            SipText.add(r, field, value);
        }
        finalAnswer(t, r);
    }

    @Override
    public void cancelled(ServerTransaction invite) {
        CallAsker a = asking.get(invite);
        if (a != null) {
            a.cancelled();
        }
    }

    @Override
    public void acked(SIPRequest ack) {
        Caller c = callers.get(Dialog.name(ack.getCallId().getCallId(), ack.getToTag()));
        if (c != null && c.answered != null) {
            c.answered = null;
            closed(c.from);
        }
    }

    /**
     * Guards against one address that holds everything half open: what it sends beyond its part is answered without a
     * transaction, so that it costs neither memory nor copies of the answer. It harms many callers behind one address.
     */
    private boolean isCrowded(SIPRequest r, Flow from) {
        return r.getMethod().equals("INVITE")
                && halfOpen.getOrDefault(from.remote().getAddress(), 0) >= terms.halfOpen();
    }

    private void closed(InetAddress from) {
        halfOpen.computeIfPresent(from, (k, n) -> n > 1 ? n - 1 : null);
    }

    // ---- Requests within dialogs

    private void within(ServerTransaction t) {
        SIPRequest r = t.request();
        CallViewing host = hosted.get(r.getCallId().getCallId());
        if (host != null) {
            boolean bye = r.getMethod().equals("BYE");
            t.answer(response(t, bye ? 200 : 405, null));
            if (bye) {
                plays.hostEnded(host, host.play, true);
            }
            return;
        }
        Caller c = callers.get(Dialog.name(r.getCallId().getCallId(), r.getToTag()));
        if (c == null) {
            t.answer(response(t, 481, null));
        } else if (!c.dialog.takes(r)) {
            t.answer(response(t, 500, null));
        } else {
            switch (r.getMethod()) {
                case "BYE" -> {
                    t.answer(response(t, 200, null));
                    gone(c, "viewer-gone");
                }
                case "INVITE", "UPDATE" -> again(t, c);
                case "OPTIONS" -> t.answer(response(t, 200, null));
                default -> t.answer(response(t, 405, null));
            }
        }
    }

    /** A caller's re-INVITE or UPDATE: the session stays as it is, and its timer begins anew. */
    private void again(ServerTransaction t, Caller c) {
        if (c.inviting) {
            t.answer(response(t, 491, null)); // RFC 3261, section 14.2
            return;
        }
        SIPResponse ok = response(t, 200, null);
        if (!SipText.body(t.request()).isEmpty() || t.request().getMethod().equals("INVITE")) {
            SipText.describe(ok, c.viewing.description());
        }
        timed(c, t.request(), ok);
        if (t.request().getMethod().equals("INVITE")) {
            transactions.awaitsAck(t, c.name.substring(c.name.indexOf(' ') + 1));
        }
        t.answer(ok);
    }

    private void gone(Caller c, String how) {
        forget(c);
        c.viewing.left(c, how);
    }

    private void forget(Caller c) {
        c.over = true;
        callers.remove(c.name);
        if (c.answered != null) {
            c.answered = null;
            closed(c.from);
        }
    }

    // ---- Session timers (RFC 4028)

    /** The caller refreshes where it can; else we do. */
    private void timed(Caller c, SIPRequest r, SIPResponse ok) {
        String supported = SipText.field(r, "Supported");
        boolean can = supported != null && supported.toLowerCase(Locale.ROOT).contains("timer");
        double s = Math.max(
                MIN_SESSION_S,
                Math.min(SipText.whole(r, "Session-Expires", Integer.MAX_VALUE), terms.sessionMs() / 1000));
        if (can) {
            SipText.add(ok, "Require", "timer");
            SipText.add(ok, "Session-Expires", (long) s + ";refresher=uac");
        }
        boolean first = c.expiresAt == Double.POSITIVE_INFINITY;
        double wait = Math.min(terms.sessionMs(), s * 1000);
        c.expiresAt = thread.now() + wait;
        if (first) {
            thread.at(can ? c.expiresAt : thread.now() + wait / 2, () -> expires(c, can, wait));
        }
    }

    private void expires(Caller c, boolean refreshes, double waitMs) {
        if (c.over) {
            return;
        }
        if (!refreshes) { // an answer proves the caller alive; none ends the call
            invite(c);
            thread.at(thread.now() + waitMs / 2, () -> expires(c, false, waitMs));
        } else if (thread.now() < c.expiresAt) {
            thread.at(c.expiresAt, () -> expires(c, true, waitMs));
        } else {
            hangUp(c, "SIP;cause=408");
            c.viewing.left(c, "viewer-idle");
        }
    }

    // ---- What calls ask for

    /** Answers a caller with what its host described, and so makes a dialog of it. */
    void confirm(CallAsker x, String tag, String play, String description) {
        CallViewing v = open.get(x.key);
        SIPRequest r = x.invite.request();
        Dialog d = Dialog.answering(r, tag, x.invite.flow());
        Caller c = new Caller(v, d, Dialog.name(r.getCallId().getCallId(), tag), x.invite);
        asking.remove(x.invite);
        callers.put(c.name, c);
        v.joined(c);
        SIPResponse ok = response(x.invite, 200, tag);
        SipText.add(ok, PLAY, play);
        SipText.add(ok, "Allow", ALLOW);
        SipText.add(ok, "Contact", "<" + contact() + ">");
        SipText.describe(ok, description);
        timed(c, r, ok);
        overload(r, ok);
        transactions.awaitsAck(x.invite, tag);
        x.invite.onUnacked(() -> {
            if (!c.over) { // RFC 3261, section 13.3.1.4
                hangUp(c, "SIP;cause=408");
                c.viewing.left(c, "unacknowledged");
            }
        });
        x.invite.answer(ok);
    }

    /** The final response of an INVITE that makes no dialog. */
    void finalAnswer(ServerTransaction invite, SIPResponse r) {
        if (asking.remove(invite) != null) {
            closed(invite.flow().remote().getAddress());
        }
        if (r.getStatusCode() == 503) {
            count(true);
        }
        overload(invite.request(), r);
        invite.answer(r);
    }

    SIPResponse response(ServerTransaction t, int status, String tag) {
        return Transactions.response(t.request(), status, tag);
    }

    ClientTransaction send(SIPRequest r, Flow way, ClientTransaction.User who) {
        return transactions.send(r, way, who);
    }

    void cancel(ClientTransaction invite) {
        transactions.cancel(invite);
    }

    void bye(Dialog d, String reason) {
        SIPRequest bye = d.request("BYE", via(d.flow()), null, "");
        if (reason != null) {
            SipText.add(bye, "Reason", reason);
        }
        send(bye, d.flow(), ClientTransaction.User.NONE);
    }

    void hangUp(Caller c, String reason) {
        if (!c.over) {
            forget(c);
            bye(c.dialog, reason);
        }
    }

    /** Tells a caller by re-INVITE what its session is by now; a later one waits for the one that is out. */
    void invite(Caller c) {
        c.stale = c.inviting;
        if (c.inviting) {
            return;
        }
        c.inviting = true;
        SIPRequest r = c.dialog.request("INVITE", via(c.dialog.flow()), contact(), c.viewing.description());
        long number = r.getCSeq().getSeqNumber();
        send(r, c.dialog.flow(), new ClientTransaction.User() {
            @Override
            public void done(SIPResponse answer) {
                c.inviting = false;
                int status = answer.getStatusCode();
                if (status < 300) {
                    again(answer);
                }
                if (c.over) {
                    return;
                }
                if (status == 481
                        || status == 408) { // it knows nothing of the dialog any more (RFC 3261, section 12.2.1.2)
                    gone(c, "viewer-gone");
                } else if (status == 491) {
                    thread.at(thread.now() + glare.nextInt((int) (GLARE_MS / 10)) * 10, () -> {
                        if (!c.over) {
                            invite(c);
                        }
                    });
                } else if (c.stale) {
                    invite(c);
                }
            }

            @Override
            public void again(SIPResponse answer) {
                c.dialog.flow().send(SipText.write(c.dialog.ack(number, via(c.dialog.flow()))));
            }

            @Override
            public void failed(boolean heard) {
                c.inviting = false;
                if (!c.over) {
                    hangUp(c, "SIP;cause=408");
                    c.viewing.left(c, "viewer-gone");
                }
            }
        });
    }

    void options(InetSocketAddress host, ClientTransaction.User who) {
        String to = host.getHostString() + ":" + host.getPort();
        String own = via();
        send(
                (SIPRequest) SipText.own(
                        "OPTIONS sip:" + to + " SIP/2.0\r\nVia: " + own + "\r\nMax-Forwards: 70\r\nFrom: <" + contact()
                                + ">;tag=o\r\nTo: <sip:" + to + ">\r\nCall-ID: " + name + ".o." + branch
                                + "\r\nCSeq: 1 OPTIONS\r\n" + GATEWAY + ": "
                                + gateway() + "\r\n" + SipText.end("")),
                way(host),
                who);
    }

    @Override
    public void probe(InetSocketAddress host, Consumer<Viewing.Came> to) {
        options(host, new ClientTransaction.User() {
            @Override
            public void done(SIPResponse r) {
                to.accept(new Viewing.Came(
                        r.getStatusCode() / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                        load(r),
                        "status " + r.getStatusCode(),
                        () -> true));
            }

            @Override
            public void failed(boolean heard) {
                to.accept(Viewing.Came.not(Outcome.TIMED_OUT, "no answer"));
            }
        });
    }

    void follow(CallViewing v) {
        hosted.put(v.callId(), v);
        watches.computeIfAbsent(v.address, a -> new HostWatch(this, a, hostTerms.silentMs()))
                .add(v);
    }

    void unfollow(CallViewing v) {
        hosted.remove(v.callId(), v);
        HostWatch w = watches.get(v.address);
        if (w != null && w.remove(v)) {
            watches.remove(v.address);
        }
    }

    void over(CallViewing v) {
        open.remove(v.key(), v);
    }

    private String tag() {
        return Long.toString(glare.nextLong() >>> 1, 36);
    }

    // ---- Fields

    /** A host's load: as ORCA has it, or what overload control (RFC 7339) says of its use. */
    static LoadReport load(SIPResponse r) {
        LoadReport told = LoadField.read(SipText.field(r, LoadField.NAME));
        Overload o = told == LoadReport.NONE ? Overload.read(r.getTopmostVia()) : null;
        return o == null || Double.isNaN(o.use()) ? told : new LoadReport(o.use(), Double.NaN, Double.NaN);
    }

    /** The share of their rates that a host's plays get; NaN where it does not tell. */
    static double share(SIPResponse r) {
        String v = SipText.field(r, SHARE);
        return v != null && v.matches("(0(\\.[0-9]{1,9})?|1(\\.0{1,9})?)") ? Double.parseDouble(v) : Double.NaN;
    }

    // ---- What callers' proxies are told of overload

    private void count(boolean away) {
        if (thread.now() - countedAt >= OVERLOAD_MS) {
            percent = asked == 0 ? 0 : Math.min(100, 100 * turnedAway / asked);
            countedAt = thread.now();
            asked = 0;
            turnedAway = 0;
        }
        if (away) {
            turnedAway++;
        } else {
            asked++;
        }
    }

    private void overload(SIPRequest r, SIPResponse answer) {
        if (Overload.isAsked(r.getTopmostVia())) {
            new Overload(percent, OVERLOAD_MS, countedAt / 1000).write(answer.getTopmostVia());
        }
    }

    @Override
    public void close() throws IOException {
        node.close();
    }
}
