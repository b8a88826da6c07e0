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
import walnutfield.net.sip.SipTransport;
import walnutfield.orca.LoadField;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.OverloadControl;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;
import walnutfield.standin.audit.Auditor;

/**
 * SIP access to the simulated media hosts, over datagrams on the same port numbers. The hosts' faults apply, and
 * network impairments to their datagrams.
 */
public final class SipHosts implements AutoCloseable {
    private static final double MIN_FULL_SHARE = 0.98; // a lower delivered share is reported to gateways
    private static final double PROVISIONAL_RATIO =
            0.3; // share of set-ups that send 183 first, chosen by hash of the play

    /** A host between two starts, with the SIP transactions of that time. */
    private final class HostInstance implements Transactions.User {
        private final MediaHosts.HostAccess host;
        private final double startedAt;
        private final Transactions transactions;

        HostInstance(MediaHosts.HostAccess host, double startedAt) {
            this.host = host;
            this.startedAt = startedAt;
            transactions = new Transactions(Timers.of(t1Ms, scheduler), this);
        }

        /** Whether the host is reachable and has not restarted since. */
        private boolean isCurrent() {
            return host.isReachable() && instances.get(host.port()) == this;
        }

        /** Sends an answer, unless the host has been lost meanwhile; a paused host sends it when the pause ends. */
        private void answer(ServerTransaction transaction, SIPResponse response) {
            if (isCurrent() && !host.deferIfPaused(() -> scheduler.execute(() -> answer(transaction, response)))) {
                SipCodec.addHeader(response, "Host-Instance", host.name() + "." + (long) startedAt);
                SipCodec.addHeader(response, LoadField.NAME, LoadField.write(host.load()));
                transaction.respond(response);
            }
        }

        private SIPResponse response(ServerTransaction transaction, int status) {
            return Transactions.response(transaction.request(), status, host.name());
        }

        @Override
        public void onRequest(ServerTransaction transaction) {
            SIPRequest request = transaction.request();
            String play = playOf(request);
            switch (request.getMethod()) {
                case "INVITE" -> setUp(transaction, play);
                case "UPDATE" -> {
                    String trafficClass = host.trafficClassOf(play);
                    double kbitS = offeredKbitS(request);
                    if (trafficClass == null) {
                        answer(transaction, response(transaction, 481));
                    } else {
                        int rung = host.highestRungWithin(trafficClass, kbitS);
                        host.setRung(play, rung);
                        answer(transaction, okWithDescription(transaction, kbitS));
                    }
                }
                case "BYE" -> {
                    boolean known = host.trafficClassOf(play) != null;
                    host.endSession(play);
                    answer(transaction, response(transaction, known ? 200 : 481));
                }
                case "OPTIONS" -> {
                    String callId = request.getCallId().getCallId();
                    host.keepCallsAlive(
                            callId.contains(".o.") ? callId.substring(0, callId.lastIndexOf(".o.")) : callId);
                    SIPResponse response = response(transaction, 200);
                    double share = host.deliveredShare();
                    if (share < MIN_FULL_SHARE || reducedHosts.remove(host.name())) {
                        SipCodec.addHeader(
                                response, "Delivered-Share", String.format(Locale.ROOT, "%.4f", Math.min(1, share)));
                    }
                    if (share < MIN_FULL_SHARE) {
                        reducedHosts.add(host.name());
                    }
                    if (OverloadControl.isSupported(request.getTopmostVia())) {
                        new OverloadControl((int) Math.round(100 * (1 - Math.min(1, share))), 500, Clock.now() / 1000)
                                .write(response.getTopmostVia());
                    }
                    answer(transaction, response);
                }
                default -> answer(transaction, response(transaction, 405));
            }
        }

        private void setUp(ServerTransaction transaction, String play) {
            SIPRequest request = transaction.request();
            String trafficClass = SipCodec.header(request, "Play-Band");
            String gateway = SipCodec.header(request, "Play-Gateway");
            int legNumber = (int) SipCodec.headerAsLong(request, "Play-Leg", 0);
            double kbitS = offeredKbitS(request);
            int rung = host.highestRungWithin(trafficClass, kbitS);
            String requestUri = request.getRequestURI().toString();
            long title = Long.parseLong(requestUri.substring(4, requestUri.indexOf('@')));
            auditor.legArrived(
                    gateway,
                    play,
                    legNumber,
                    host.name(),
                    trafficClass,
                    title,
                    rung,
                    currentArrivedAt,
                    Clock.now(),
                    networkDelayMs);
            double workMs = host.admit(play, gateway, trafficClass, title, rung);
            if (workMs >= 0) {
                if (Math.floorMod(play.hashCode(), 100) < 100 * PROVISIONAL_RATIO) {
                    answer(transaction, response(transaction, 183));
                }
                scheduler.schedule(scheduler.now() + workMs, () -> completeSetUp(transaction, play, kbitS));
            } else if (workMs < -1) {
                answer(transaction, response(transaction, (int) -workMs));
            }
        }

        /** Answers a set-up that the host has completed. */
        private void completeSetUp(ServerTransaction transaction, String play, double kbitS) {
            if (transaction.finalStatus() != 0
                    || host.deferIfPaused(() -> scheduler.execute(() -> completeSetUp(transaction, play, kbitS)))) {
                return;
            }
            if (isCurrent() && host.completeSetUp(play)) {
                transactions.awaitAck(transaction, host.name());
                transaction.onAckTimeout(() -> host.endSession(play));
                answer(transaction, okWithDescription(transaction, kbitS));
            }
        }

        /** A 200 response with a session description. */
        private SIPResponse okWithDescription(ServerTransaction transaction, double kbitS) {
            SIPResponse response = response(transaction, 200);
            SipCodec.addHeader(response, "Contact", "<sip:" + host.name() + "@127.0.0.1:" + host.port() + ">");
            SipCodec.setDescription(response, Sdp.of("127.0.0.1", host.port(), (long) Clock.now(), kbitS));
            return response;
        }

        @Override
        public void onCancel(ServerTransaction invite) {
            String play = playOf(invite.request());
            host.endSession(play);
            answer(invite, response(invite, 487));
        }

        @Override
        public void onAck(SIPRequest ack) {}
    }

    /** The play's id: the Call-ID without the leg number. */
    private static String playOf(SIPRequest request) {
        String callId = request.getCallId().getCallId();
        return callId.contains(".") ? callId.substring(0, callId.lastIndexOf('.')) : callId;
    }

    /** The bitrate that a request offers, in kbit/s; 0 if it states none. */
    private static double offeredKbitS(SIPRequest request) {
        try {
            double kbitS = Sdp.parse(SipCodec.body(request)).videoKbitPerS();
            return Double.isNaN(kbitS) ? 0 : kbitS;
        } catch (MalformedMessageException e) {
            return 0;
        }
    }

    private static final int MAX_LOSS_DELAY_T1 = 3; // retransmission delay after two losses in a row, in units of T1

    private final double t1Ms;
    private final double networkDelayMs; // longest time from processing an INVITE to receiving its CANCEL
    private double currentArrivedAt; // when the message being processed arrived at its socket
    private final Auditor auditor;
    private final ImpairedNetwork network;
    private final StandinScheduler scheduler;
    private final SipTransport node;
    private final Map<Integer, MediaHosts.HostAccess> hosts = new HashMap<>();
    private final Map<Integer, HostInstance> instances = new HashMap<>(); // by port, of the latest start
    private final Set<String> reducedHosts =
            new HashSet<>(); // names of hosts with a reduced share at their last report

    public SipHosts(
            MediaHosts mediaHosts, double t1Ms, ImpairedNetwork.Impairments impairments, long seed, Auditor auditor)
            throws IOException {
        this.t1Ms = t1Ms;
        networkDelayMs = 2 * impairments.maxDelayMs() + (impairments.lossRatio() > 0 ? MAX_LOSS_DELAY_T1 * t1Ms : 0);
        this.auditor = auditor;
        scheduler = new StandinScheduler("sip-hosts");
        network = new ImpairedNetwork(impairments, seed, scheduler);
        node = new SipTransport("sip-hosts", 1, new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] message, Flow from, int localPort) {
                handleMessage(message, from, localPort);
            }

            @Override
            public void onConnectionClosed(Flow flow) {}
        });
        for (MediaHosts.HostAccess host : mediaHosts.hostAccess()) {
            hosts.put(host.port(), host);
            node.bind(host.port(), false);
        }
    }

    /**
     * Handles a message from the socket. A CANCEL or BYE is reported to the auditor as soon as it reaches the socket:
     * if the simulated network loses it afterwards, that is no fault of the sender.
     */
    private void handleMessage(byte[] message, Flow from, int port) {
        SIPMessage parsed;
        try {
            parsed = SipCodec.parse(message);
        } catch (MalformedMessageException e) {
            return;
        }
        MediaHosts.HostAccess host = hosts.get(port);
        if (parsed instanceof SIPRequest request
                && (request.getMethod().equals("CANCEL") || request.getMethod().equals("BYE"))) {
            auditor.legEnded(playOf(request), host.name(), Auditor.LegOutcome.CLOSED, Clock.now());
            auditor.sessionEnded(playOf(request), host.name(), Clock.now());
        }
        double arrivedAt = Clock.now();
        network.deliver(() -> scheduler.execute(() -> received(host, parsed, arrivedAt, network.impaired(from))));
    }

    private void received(MediaHosts.HostAccess host, SIPMessage message, double arrivedAt, Flow from) {
        if (!host.isReachable()
                || host.deferIfPaused(() -> scheduler.execute(() -> received(host, message, arrivedAt, from)))) {
            return;
        }
        double startedAt = host.startedAt();
        HostInstance instance = instances.get(host.port());
        if (instance == null
                || instance.startedAt != startedAt) { // restarted since: earlier transactions are forgotten
            instance = new HostInstance(host, startedAt);
            instances.put(host.port(), instance);
        }
        currentArrivedAt = arrivedAt;
        instance.transactions.receive(message, from);
    }

    @Override
    public void close() throws IOException {
        scheduler.close();
        node.close();
    }
}
