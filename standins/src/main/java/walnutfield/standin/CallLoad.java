package walnutfield.standin;

import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleConsumer;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipNode;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipText;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;

/** Calls by the thousand over datagrams, each of another caller, for measurements. */
public final class CallLoad implements AutoCloseable {
    private final int titles;
    private final StandinThread thread;
    private final Transactions transactions;
    private final SipNode node;
    private final Weather weather;
    private final int port;
    private final String offer = Sdp.of("127.0.0.1", 40_000, 1, 100_000);
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong not = new AtomicLong();
    private final AtomicLong messages = new AtomicLong();
    private volatile long lastCall;
    private final Map<Integer, Long> refusals = new ConcurrentHashMap<>(); // by status

    /**
     * @param titles from 1 on, called in turn
     * @param t1Ms   round trip that it reckons with
     */
    public CallLoad(int titles, double t1Ms, Weather.Sky sky, long seed) throws IOException {
        this.titles = titles;
        thread = new StandinThread("call-load");
        weather = new Weather(sky, seed, thread);
        transactions = new Transactions(Timers.of(t1Ms, thread), new Transactions.User() {
            @Override
            public void request(ServerTransaction t) {
                t.answer(Transactions.response(
                        t.request(), t.request().getMethod().equals("BYE") ? 200 : 481, null));
            }

            @Override
            public void cancelled(ServerTransaction invite) {}

            @Override
            public void acked(SIPRequest ack) {}
        });
        node = new SipNode("call-load", 1, new SipNode.Receiver() {
            @Override
            public void came(byte[] message, Flow from, int localPort) {
                weather.pass(() -> thread.run(() -> {
                    try {
                        transactions.received(SipText.read(message), way(from.remote()));
                    } catch (Malformed e) {
                        throw new IllegalStateException(e);
                    }
                }));
            }

            @Override
            public void broken(Flow flow) {}
        });
        port = node.bind(0, false);
    }

    private Flow way(InetSocketAddress to) {
        Flow overWeather = weather.over(node.datagrams(port, to));
        return new Flow() {
            @Override
            public boolean isReliable() {
                return false;
            }

            @Override
            public InetSocketAddress remote() {
                return to;
            }

            @Override
            public void send(byte[] message) {
                messages.incrementAndGet();
                overWeather.send(message);
            }
        };
    }

    public long served() {
        return served.get();
    }

    public long notServed() {
        return not.get();
    }

    /** Final responses other than 2xx, by status; what had none is not among them. */
    public Map<Integer, Long> refusals() {
        return new TreeMap<>(refusals);
    }

    /** Messages sent so far, and those of them that were sent again. */
    public long[] messages() {
        return new long[] {messages.get(), transactions.repeats()};
    }

    /** So many calls in flight, each hung up at its answer and followed by the next; answers a second. */
    public double closed(InetSocketAddress at, int inFlight, double forMs) throws InterruptedException {
        long before = served.get();
        lastCall = (long) (Clock.now() + forMs);
        CountDownLatch ended = new CountDownLatch(inFlight);
        for (int i = 0; i < inFlight; i++) {
            thread.run(() -> again(at, ended));
        }
        ended.await((long) forMs + 40_000, TimeUnit.MILLISECONDS);
        return (served.get() - before) * 1000.0 / forMs;
    }

    private void again(InetSocketAddress at, CountDownLatch ended) {
        if (Clock.now() >= lastCall) {
            ended.countDown();
        } else {
            call(at, true, took -> again(at, ended));
        }
    }

    /** Calls at that rate whatever becomes of them; each answer's time goes to {@code took}, from when the call was due. */
    public void open(InetSocketAddress at, double perS, double forMs, DoubleConsumer took) throws InterruptedException {
        long all = Math.round(perS * forMs / 1000);
        CountDownLatch ended = new CountDownLatch((int) all);
        double begin = Clock.now();
        for (long i = 0; i < all; i++) {
            double due = begin + i * 1000 / perS;
            thread.at(
                    due,
                    () -> call(at, true, ms -> {
                        took.accept(Clock.now() - due);
                        ended.countDown();
                    }));
        }
        ended.await((long) forMs + 40_000, TimeUnit.MILLISECONDS);
    }

    /** So many calls that are not hung up. */
    public void hold(InetSocketAddress at, int count) throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            thread.at(Clock.now() + i, () -> call(at, false, ms -> ended.countDown()));
        }
        ended.await(count + 40_000L, TimeUnit.MILLISECONDS);
    }

    private void call(InetSocketAddress at, boolean hangsUp, DoubleConsumer done) {
        long n = calls.incrementAndGet();
        double since = Clock.now();
        Flow way = way(at);
        SIPRequest r = (SIPRequest) SipText.own("INVITE sip:" + (n % titles + 1) + "@gw;band=b SIP/2.0\r\nVia: "
                + via(n, "i")
                + "\r\nMax-Forwards: 70\r\nFrom: <sip:" + n + "@load>;tag=l\r\nTo: <sip:gw>\r\nCall-ID: load-" + port
                + "-" + n
                + "\r\nCSeq: 1 INVITE\r\nContact: <sip:" + n + "@127.0.0.1:" + port + ">\r\nSupported: timer\r\n"
                + SipText.end(offer));
        transactions.send(r, way, new ClientTransaction.User() {
            private Dialog dialog;

            @Override
            public void done(SIPResponse answer) {
                boolean ok = answer.getStatusCode() < 300;
                (ok ? served : not).incrementAndGet();
                if (!ok) {
                    refusals.merge(answer.getStatusCode(), 1L, Long::sum);
                }
                if (ok) {
                    dialog = Dialog.asking(r, answer, way);
                    again(answer);
                    if (hangsUp) {
                        transactions.send(
                                dialog.request("BYE", via(n, "b"), null, ""), way, ClientTransaction.User.NONE);
                    }
                }
                done.accept(Clock.now() - since);
            }

            @Override
            public void again(SIPResponse answer) {
                way.send(SipText.write(dialog.ack(1, via(n, "a"))));
            }

            @Override
            public void failed(boolean heard) {
                not.incrementAndGet();
                done.accept(Clock.now() - since);
            }
        });
    }

    private String via(long n, String what) {
        return "SIP/2.0/UDP 127.0.0.1:" + port + ";branch=z9hG4bK" + what + n;
    }

    @Override
    public void close() throws IOException {
        thread.close();
        node.close();
    }
}
