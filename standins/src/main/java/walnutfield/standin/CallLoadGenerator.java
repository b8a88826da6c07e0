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
import walnutfield.net.sip.SipTransport;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;

/** Generates many calls over datagrams, each from a different caller, for measurements. */
public final class CallLoadGenerator implements AutoCloseable {
    private final int titles;
    private final StandinScheduler scheduler;
    private final Transactions transactions;
    private final SipTransport node;
    private final ImpairedNetwork network;
    private final int port;
    private final String offer = Sdp.of("127.0.0.1", 40_000, 1, 100_000);
    private final AtomicLong callIds = new AtomicLong();
    private final AtomicLong servedCalls = new AtomicLong();
    private final AtomicLong notServedCalls = new AtomicLong();
    private final AtomicLong sentMessages = new AtomicLong();
    private volatile long stopAt;
    private final Map<Integer, Long> rejectionsByStatus = new ConcurrentHashMap<>();

    /**
     * Opens a socket for the calls.
     *
     * @param titles      number of titles; ids from 1 on are called in turn
     * @param t1Ms        SIP timer T1, the estimated round trip
     * @param impairments network impairments for the datagrams
     */
    public CallLoadGenerator(int titles, double t1Ms, ImpairedNetwork.Impairments impairments, long seed)
            throws IOException {
        this.titles = titles;
        scheduler = new StandinScheduler("call-load");
        network = new ImpairedNetwork(impairments, seed, scheduler);
        transactions = new Transactions(Timers.of(t1Ms, scheduler), new Transactions.User() {
            @Override
            public void onRequest(ServerTransaction t) {
                t.respond(Transactions.response(
                        t.request(), t.request().getMethod().equals("BYE") ? 200 : 481, null));
            }

            @Override
            public void onCancel(ServerTransaction invite) {}

            @Override
            public void onAck(SIPRequest ack) {}
        });
        node = new SipTransport("call-load", 1, new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] message, Flow from, int localPort) {
                network.deliver(() -> scheduler.execute(() -> {
                    try {
                        transactions.receive(SipCodec.parse(message), flowTo(from.remoteAddress()));
                    } catch (MalformedMessageException e) {
                        throw new IllegalStateException(e);
                    }
                }));
            }

            @Override
            public void onConnectionClosed(Flow flow) {}
        });
        port = node.bind(0, false);
    }

    private Flow flowTo(InetSocketAddress address) {
        Flow impairedFlow = network.impaired(node.udpFlow(port, address));
        return new Flow() {
            @Override
            public boolean isReliable() {
                return false;
            }

            @Override
            public InetSocketAddress remoteAddress() {
                return address;
            }

            @Override
            public void send(byte[] message) {
                sentMessages.incrementAndGet();
                impairedFlow.send(message);
            }
        };
    }

    /** Number of calls answered with 2xx. */
    public long served() {
        return servedCalls.get();
    }

    /** Number of calls with another final answer or none. */
    public long notServed() {
        return notServedCalls.get();
    }

    /** Number of final responses other than 2xx, by status; calls without a final response are not included. */
    public Map<Integer, Long> rejectionCounts() {
        return new TreeMap<>(rejectionsByStatus);
    }

    /** Number of messages sent so far, and of retransmissions among them. */
    public long[] messageCounts() {
        return new long[] {sentMessages.get(), transactions.retransmissionCount()};
    }

    /**
     * Runs a closed load: a constant number of calls in flight, each of which is hung up when answered and followed by
     * the next. Returns the calls served per second.
     */
    public double runClosedLoop(InetSocketAddress address, int inFlight, double durationMs)
            throws InterruptedException {
        long servedBefore = servedCalls.get();
        stopAt = (long) (Clock.now() + durationMs);
        CountDownLatch finishedCalls = new CountDownLatch(inFlight);
        for (int i = 0; i < inFlight; i++) {
            scheduler.execute(() -> startNext(address, finishedCalls));
        }
        finishedCalls.await((long) durationMs + 40_000, TimeUnit.MILLISECONDS);
        return (servedCalls.get() - servedBefore) * 1000.0 / durationMs;
    }

    private void startNext(InetSocketAddress address, CountDownLatch finishedCalls) {
        if (Clock.now() >= stopAt) {
            finishedCalls.countDown();
        } else {
            call(address, true, ignored -> startNext(address, finishedCalls));
        }
    }

    /**
     * Runs an open load: calls start at a constant rate, regardless of their results. The time of each call, from when
     * it was due to its end, is passed to {@code onLatencyMs}.
     */
    public void runOpenLoop(InetSocketAddress address, double callsPerS, double durationMs, DoubleConsumer onLatencyMs)
            throws InterruptedException {
        long total = Math.round(callsPerS * durationMs / 1000);
        CountDownLatch finishedCalls = new CountDownLatch((int) total);
        double startedAt = Clock.now();
        for (long i = 0; i < total; i++) {
            double dueAt = startedAt + i * 1000 / callsPerS;
            scheduler.schedule(
                    dueAt,
                    () -> call(address, true, ignored -> {
                        onLatencyMs.accept(Clock.now() - dueAt);
                        finishedCalls.countDown();
                    }));
        }
        finishedCalls.await((long) durationMs + 40_000, TimeUnit.MILLISECONDS);
    }

    /** Makes the given number of calls that are not hung up. */
    public void holdCalls(InetSocketAddress address, int count) throws InterruptedException {
        CountDownLatch finishedCalls = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            scheduler.schedule(Clock.now() + i, () -> call(address, false, ignored -> finishedCalls.countDown()));
        }
        finishedCalls.await(count + 40_000L, TimeUnit.MILLISECONDS);
    }

    private void call(InetSocketAddress address, boolean hangsUp, DoubleConsumer onFinished) {
        long callId = callIds.incrementAndGet();
        double startedAt = Clock.now();
        Flow flow = flowTo(address);
        SIPRequest invite = (SIPRequest) SipCodec.parseOwn("INVITE sip:" + (callId % titles + 1)
                + "@gw;band=b SIP/2.0\r\nVia: "
                + viaHeader(callId, "i")
                + "\r\nMax-Forwards: 70\r\nFrom: <sip:" + callId + "@load>;tag=l\r\nTo: <sip:gw>\r\nCall-ID: load-"
                + port
                + "-" + callId
                + "\r\nCSeq: 1 INVITE\r\nContact: <sip:" + callId + "@127.0.0.1:" + port + ">\r\nSupported: timer\r\n"
                + SipCodec.endOfMessage(offer));
        transactions.send(invite, flow, new ClientTransaction.User() {
            private Dialog dialog;

            @Override
            public void onFinalResponse(SIPResponse answer) {
                boolean isServed = answer.getStatusCode() < 300;
                (isServed ? servedCalls : notServedCalls).incrementAndGet();
                if (!isServed) {
                    rejectionsByStatus.merge(answer.getStatusCode(), 1L, Long::sum);
                }
                if (isServed) {
                    dialog = Dialog.forCaller(invite, answer, flow);
                    onFurther2xx(answer);
                    if (hangsUp) {
                        transactions.send(
                                dialog.request("BYE", viaHeader(callId, "b"), null, ""),
                                flow,
                                ClientTransaction.User.NONE);
                    }
                }
                onFinished.accept(Clock.now() - startedAt);
            }

            @Override
            public void onFurther2xx(SIPResponse answer) {
                flow.send(SipCodec.encode(dialog.ack(1, viaHeader(callId, "a"))));
            }

            @Override
            public void onFailure(boolean heard) {
                notServedCalls.incrementAndGet();
                onFinished.accept(Clock.now() - startedAt);
            }
        });
    }

    private String viaHeader(long callId, String branchPrefix) {
        return "SIP/2.0/UDP 127.0.0.1:" + port + ";branch=z9hG4bK" + branchPrefix + callId;
    }

    @Override
    public void close() throws IOException {
        scheduler.close();
        node.close();
    }
}
