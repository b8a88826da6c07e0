package walnutfield.standin;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipNode;
import walnutfield.play.Ladder;
import walnutfield.play.TrafficClass;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipText;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Verdict;

/** Callers of video calls, half over datagrams, half over streams: they call, talk, hang up, come again; some misbehave. */
public final class Callers implements Transactions.User, AutoCloseable {
    /** How callers behave; shares of them all. */
    public record Habits(double returns, double twice, double impatient, double mute, double hammers, double callMs) {}

    private static final int FAULTS_MOST = 100;
    private static final double GLARES = 0.1; // of the gateway's re-INVITEs, met by one of the caller's own
    private static final int HAMMERS = 4;

    private final Auditor auditor;
    private final Habits habits;
    private final Ladder ladder;
    private final Supplier<Viewers.Gate> gates;
    private final SplittableRandom random;
    private final StandinThread thread;
    private final Weather weather;
    private final Transactions transactions;
    private final SipNode node;
    private final int port;
    private final Map<String, Call> calls = new HashMap<>(); // by Call-ID; emptied as they end
    private final Map<String, Ask> asks = new HashMap<>(); // by Call-ID of what is not answered
    private final Map<Integer, Flow> streams = new HashMap<>(); // one to each gateway's port; emptied as they break
    private final AtomicLong requests = new AtomicLong(1L << 40); // apart from those of viewers
    private final AtomicLong ids = new AtomicLong(1L << 40);
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong talked = new AtomicLong();
    private final AtomicLong cutOff = new AtomicLong();
    private final AtomicLong changes = new AtomicLong();
    private final AtomicLong finals = new AtomicLong();
    private final List<String> faults = new ArrayList<>();
    private volatile boolean closing;
    private long branch;

    /** An INVITE as the auditor knows it: asked when its first copy arrives, answered when the answer leaves. */
    private final class Ask {
        private final long request;
        private final String gateway;
        private final TrafficClass band;
        private boolean asked;
        private int status;

        Ask(long request, String gateway, TrafficClass band) {
            this.request = request;
            this.gateway = gateway;
            this.band = band;
        }

        synchronized void arrived() {
            if (!asked) {
                asked = true;
                auditor.asked(request, gateway, band.name(), Clock.now());
            }
        }

        synchronized void answered(SIPResponse r) {
            int is = r.getStatusCode();
            if (is >= 200 && is != status) { // a copy is no second answer, another status is
                status = is;
                finals.incrementAndGet();
                auditor.answered(request, is, SipText.field(r, "Play-Id"), Clock.now());
            }
        }

        synchronized void over() {
            if (status == 0 && asked) {
                auditor.unanswered(request, Clock.now());
            }
        }
    }

    /** A call that plays. */
    private static final class Call {
        Dialog dialog;
        String description;
        boolean over;
    }

    public Callers(
            Habits habits,
            Ladder ladder,
            double t1Ms,
            Weather.Sky sky,
            long seed,
            Supplier<Viewers.Gate> gates,
            Auditor auditor)
            throws IOException {
        this.habits = habits;
        this.ladder = ladder;
        this.gates = gates;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        thread = new StandinThread("callers");
        weather = new Weather(sky, seed + 1, thread);
        transactions = new Transactions(Timers.of(t1Ms, thread), this);
        node = new SipNode("callers", 10_000, new SipNode.Receiver() {
            @Override
            public void came(byte[] message, Flow from, int localPort) {
                take(message, from);
            }

            @Override
            public void broken(Flow flow) {
                thread.run(() -> {
                    streams.values().remove(flow);
                    transactions.broken(flow);
                });
            }
        });
        port = node.bind(0, false);
    }

    /** Calls that were talked out, that were cut off, re-INVITEs that came, final answers. */
    public List<Long> figures() {
        return List.of(talked.get(), cutOff.get(), changes.get(), finals.get());
    }

    public int open() {
        return open.get();
    }

    /** Messages that callers had to send again. */
    public long repeats() {
        return transactions.repeats();
    }

    public void lastCall() {
        closing = true;
    }

    /** Whether every answer and re-INVITE described a session that a caller could follow. */
    public Verdict sessions() {
        synchronized (faults) {
            return new Verdict(
                    "sessions described as callers can follow", finals.get() + changes.get(), List.copyOf(faults));
        }
    }

    private void wrong(String what) {
        synchronized (faults) {
            if (faults.size() < FAULTS_MOST) {
                faults.add(what);
            }
        }
    }

    private void take(byte[] message, Flow from) {
        SIPMessage m;
        try {
            m = SipText.read(message);
        } catch (Malformed e) {
            wrong("malformed: " + e.getMessage());
            return;
        }
        if (m instanceof SIPResponse r && r.getCSeq().getMethod().equals("INVITE")) {
            Ask a;
            synchronized (asks) {
                a = asks.get(r.getCallId().getCallId());
            }
            if (a != null) {
                a.answered(r);
            }
        }
        Runnable arrives = () -> thread.run(() -> transactions.received(m, weather.over(from)));
        if (from.isReliable()) {
            arrives.run();
        } else {
            weather.pass(arrives);
        }
    }

    /** A new caller comes. */
    public void come(long title, TrafficClass band, int bestRung) {
        long id = ids.incrementAndGet();
        thread.run(() -> call(id, title, band, bestRung, HAMMERS));
    }

    private Flow flow(int gateway, boolean stream) {
        InetSocketAddress at = new InetSocketAddress("127.0.0.1", gateway);
        if (!stream) {
            return node.datagrams(port, at);
        }
        return streams.computeIfAbsent(gateway, g -> {
            try {
                return node.connect(at, 300);
            } catch (IOException e) {
                return null;
            }
        });
    }

    private String via(boolean stream) {
        return "SIP/2.0/" + (stream ? "TCP" : "UDP") + " 127.0.0.1:" + port + ";branch=z9hG4bKc" + ++branch;
    }

    private String invite(String callId, long id, long title, TrafficClass band, int bestRung, boolean stream) {
        String offer = Sdp.of("127.0.0.1", 40_000, 1, ladder.rate(band, bestRung) * 8);
        return "INVITE sip:" + title + "@gw;band=" + band.name() + " SIP/2.0\r\nVia: " + via(stream)
                + ";oc\r\nMax-Forwards: 70\r\nFrom: <sip:"
                + id + "@callers>;tag=c\r\nTo: <sip:" + title + "@gw>\r\nCall-ID: " + callId
                + "\r\nCSeq: 1 INVITE\r\nContact: <sip:" + id
                + "@127.0.0.1:" + port + (stream ? ";transport=tcp" : "") + ">\r\nSupported: timer\r\n"
                + SipText.end(offer);
    }

    private void call(long id, long title, TrafficClass band, int bestRung, int hammers) {
        Viewers.Gate g = gates.get();
        if (g == null) {
            comeAgain(id, title, band, bestRung, 0, hammers);
            return;
        }
        boolean stream = id % 2 == 0;
        Flow to = flow(g.port(), stream);
        if (to == null) {
            comeAgain(id, title, band, bestRung, 0, hammers);
            return;
        }
        send(g, to, id, title, band, bestRung, hammers, true);
        if (random.nextDouble() < habits.twice()) { // its proxy gives up on the first and tries anew
            send(g, to, id, title, band, bestRung, hammers, false);
        }
    }

    private void send(
            Viewers.Gate g, Flow to, long id, long title, TrafficClass band, int bestRung, int hammers, boolean first) {
        long request = requests.incrementAndGet();
        String callId = "call-" + request;
        Ask ask = new Ask(request, g.name(), band);
        synchronized (asks) {
            asks.put(callId, ask);
        }
        open.incrementAndGet();
        Flow way = weather.over(to, message -> {
            if (message[0] == 'I') { // of its INVITE, a copy
                ask.arrived();
            }
        });
        boolean[] settled = new boolean[1];
        boolean mute = random.nextDouble() < habits.mute();
        ClientTransaction[] t = new ClientTransaction[1];
        SIPRequest r = (SIPRequest) SipText.own(invite(callId, id, title, band, bestRung, to.isReliable()));
        ClientTransaction.User user = new ClientTransaction.User() {
            @Override
            public void done(SIPResponse answer) {
                boolean late = settled[0];
                settle();
                if (answer.getStatusCode() < 300) {
                    Call c = new Call();
                    c.dialog = Dialog.asking(r, answer, way);
                    c.description = SipText.body(answer);
                    calls.put(callId, c);
                    describes(callId, c.description);
                    if (!mute) {
                        again(answer);
                    }
                    thread.at(
                            thread.now() + (late ? 0 : habits.callMs() * (0.5 + random.nextDouble())),
                            () -> hangUp(callId, c));
                } else if (first && !late) {
                    long after = SipText.whole(answer, "Retry-After", 0);
                    comeAgain(id, title, band, bestRung, after * 1000.0, hammers);
                }
            }

            @Override
            public void again(SIPResponse answer) {
                Call c = calls.get(callId);
                if (c != null && !mute) {
                    way.send(SipText.write(c.dialog.ack(1, via(to.isReliable()))));
                }
            }

            @Override
            public void failed(boolean heard) {
                settle();
                if (first) {
                    comeAgain(id, title, band, bestRung, 0, hammers);
                }
            }

            private void settle() {
                if (!settled[0]) {
                    settled[0] = true;
                    open.decrementAndGet();
                    ask.over();
                }
            }
        };
        t[0] = transactions.send(r, way, user);
        boolean leaves = random.nextDouble() < habits.impatient();
        thread.at(
                thread.now() + (leaves ? band.deadlineMs() * random.nextDouble() * 0.2 : band.deadlineMs() + 1500),
                () -> {
                    if (!settled[0]) {
                        settled[0] = true;
                        open.decrementAndGet();
                        if (leaves) {
                            auditor.viewerLeft(request);
                        } else {
                            ask.over();
                        }
                        transactions.cancel(t[0]);
                    }
                });
        thread.at(thread.now() + band.deadlineMs() * 4, () -> {
            synchronized (asks) {
                asks.remove(callId);
            }
        });
    }

    private void comeAgain(long id, long title, TrafficClass band, int bestRung, double advisedMs, int hammers) {
        if (closing || random.nextDouble() >= habits.returns()) {
            return;
        }
        boolean hammer =
                advisedMs > 0 && hammers > 0 && random.nextDouble() < habits.hammers(); // before it was told to
        double wait =
                hammer ? 50 : advisedMs > 0 ? advisedMs * (1 + random.nextDouble()) : 900 + 1500 * random.nextDouble();
        thread.at(thread.now() + wait, () -> call(id, title, band, bestRung, hammer ? hammers - 1 : HAMMERS));
    }

    private void describes(String callId, String description) {
        try {
            if (!Sdp.read(description).video()) {
                wrong(callId + " was described without video");
            }
        } catch (Malformed e) {
            wrong(callId + " was described by what is no description: " + e.getMessage());
        }
    }

    private void hangUp(String callId, Call c) {
        if (!c.over) {
            c.over = true;
            calls.remove(callId);
            talked.incrementAndGet();
            transactions.send(
                    c.dialog.request("BYE", via(c.dialog.flow().isReliable()), null, ""),
                    c.dialog.flow(),
                    ClientTransaction.User.NONE);
        }
    }

    // ---- What the gateway asks of callers

    @Override
    public void request(ServerTransaction t) {
        SIPRequest r = t.request();
        Call c = calls.get(r.getCallId().getCallId());
        if (c == null) {
            t.answer(Transactions.response(r, 481, "gone"));
            return;
        }
        if (!c.dialog.takes(r)) {
            t.answer(Transactions.response(r, 500, null));
            return;
        }
        switch (r.getMethod()) {
            case "BYE" -> {
                c.over = true;
                calls.remove(r.getCallId().getCallId());
                String reason = SipText.field(r, "Reason");
                (reason != null && reason.contains("cause=200") ? talked : cutOff).incrementAndGet();
                t.answer(Transactions.response(r, 200, null));
            }
            case "INVITE" -> {
                if (random.nextDouble() < GLARES) {
                    t.answer(Transactions.response(r, 491, null));
                    return;
                }
                changes.incrementAndGet();
                c.description = SipText.body(r);
                describes(r.getCallId().getCallId(), c.description);
                SIPResponse ok = Transactions.response(r, 200, null);
                SipText.add(ok, "Contact", "<sip:caller@127.0.0.1:" + port + ">");
                SipText.describe(ok, Sdp.of("127.0.0.1", 40_000, 2, 100));
                transactions.awaitsAck(t, r.getToTag());
                t.answer(ok);
            }
            default -> t.answer(Transactions.response(r, 200, null));
        }
    }

    @Override
    public void cancelled(ServerTransaction invite) {
        invite.answer(Transactions.response(invite.request(), 487, null));
    }

    @Override
    public void acked(SIPRequest ack) {}

    @Override
    public void close() throws IOException {
        thread.close();
        node.close();
    }
}
