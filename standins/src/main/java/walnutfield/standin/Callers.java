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
import walnutfield.net.sip.SipTransport;
import walnutfield.play.Ladder;
import walnutfield.play.TrafficClass;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Verdict;

/**
 * Simulated callers of video calls, half of them over datagrams and half over streams. They call, stay in the call,
 * hang up, and return after failures; some misbehave.
 */
public final class Callers implements Transactions.User, AutoCloseable {
    /**
     * How callers behave; see {@link walnutfield.standin.day.ViewerPopulation} for the shares.
     *
     * @param meanCallMs mean length of a call
     */
    public record Behavior(
            double returnRatio,
            double duplicateRatio,
            double impatientRatio,
            double missingAckRatio,
            double earlyRetryRatio,
            double meanCallMs) {}

    private static final int MAX_FAULTS = 100;
    private static final double GLARE_RATIO =
            0.1; // share of re-INVITEs answered 491, as if the caller had sent one too
    private static final int MAX_EARLY_RETRIES = 4; // consecutive early retries of one caller

    private final Auditor auditor;
    private final Behavior behavior;
    private final Ladder ladder;
    private final Supplier<Viewers.GatewayAddress> gatewayPicker;
    private final SplittableRandom random;
    private final StandinScheduler scheduler;
    private final ImpairedNetwork network;
    private final Transactions transactions;
    private final SipTransport node;
    private final int port;
    private final Map<String, Call> calls = new HashMap<>(); // by Call-ID; removed as they end
    private final Map<String, AuditedInvite> invites =
            new HashMap<>(); // by Call-ID; removed at four times the deadline
    private final Map<Integer, Flow> streamFlows =
            new HashMap<>(); // by gateway port; removed when the connection is lost
    private final AtomicLong requestIds = new AtomicLong(1L << 40); // start above the ids of Viewers
    private final AtomicLong callerIds = new AtomicLong(1L << 40);
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicLong completedCalls = new AtomicLong();
    private final AtomicLong cutOffCalls = new AtomicLong();
    private final AtomicLong sessionChanges = new AtomicLong();
    private final AtomicLong finalAnswers = new AtomicLong();
    private final List<String> faults = new ArrayList<>();
    private volatile boolean returnsStopped;
    private long lastBranch;

    /**
     * An INVITE as reported to the auditor: sent when its first copy passes the simulated network, answered when the
     * gateway's answer arrives at the callers' socket.
     */
    private final class AuditedInvite {
        private final long requestId;
        private final String gateway;
        private final TrafficClass trafficClass;
        private boolean reported;
        private int finalStatus;

        AuditedInvite(long requestId, String gateway, TrafficClass trafficClass) {
            this.requestId = requestId;
            this.gateway = gateway;
            this.trafficClass = trafficClass;
        }

        synchronized void reportSent() {
            if (!reported) {
                reported = true;
                auditor.requestSent(requestId, gateway, trafficClass.name(), Clock.now());
            }
        }

        synchronized void reportAnswer(SIPResponse answer) {
            int status = answer.getStatusCode();
            if (status >= 200
                    && status != finalStatus) { // a retransmission is not a second answer, but a different status is
                finalStatus = status;
                finalAnswers.incrementAndGet();
                auditor.requestAnswered(requestId, status, SipCodec.header(answer, "Play-Id"), Clock.now());
            }
        }

        synchronized void reportUnanswered() {
            if (finalStatus == 0 && reported) {
                auditor.requestUnanswered(requestId, Clock.now());
            }
        }
    }

    /** An established call. */
    private static final class Call {
        Dialog dialog;
        String sessionDescription;
        boolean ended;
    }

    public Callers(
            Behavior behavior,
            Ladder ladder,
            double t1Ms,
            ImpairedNetwork.Impairments impairments,
            long seed,
            Supplier<Viewers.GatewayAddress> gatewayPicker,
            Auditor auditor)
            throws IOException {
        this.behavior = behavior;
        this.ladder = ladder;
        this.gatewayPicker = gatewayPicker;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        scheduler = new StandinScheduler("callers");
        network = new ImpairedNetwork(impairments, seed + 1, scheduler);
        transactions = new Transactions(Timers.of(t1Ms, scheduler), this);
        node = new SipTransport("callers", 10_000, new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] message, Flow from, int localPort) {
                handleMessage(message, from);
            }

            @Override
            public void onConnectionClosed(Flow flow) {
                scheduler.execute(() -> {
                    streamFlows.values().remove(flow);
                    transactions.connectionClosed(flow);
                });
            }
        });
        port = node.bind(0, false);
    }

    /** Calls that ended normally, calls that were cut off, re-INVITEs received, final answers. */
    public List<Long> counts() {
        return List.of(completedCalls.get(), cutOffCalls.get(), sessionChanges.get(), finalAnswers.get());
    }

    /** Number of INVITEs that are still open. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Number of messages that callers retransmitted. */
    public long retransmissions() {
        return transactions.retransmissionCount();
    }

    /** From now on, no caller returns after a failed call. */
    public void stopReturns() {
        returnsStopped = true;
    }

    /** Whether every answer and re-INVITE carried a session description that a caller can use. */
    public Verdict sessionVerdict() {
        synchronized (faults) {
            return new Verdict(
                    "sessions described as callers can follow",
                    finalAnswers.get() + sessionChanges.get(),
                    List.copyOf(faults));
        }
    }

    private void addFault(String fault) {
        synchronized (faults) {
            if (faults.size() < MAX_FAULTS) {
                faults.add(fault);
            }
        }
    }

    private void handleMessage(byte[] message, Flow from) {
        SIPMessage parsed;
        try {
            parsed = SipCodec.parse(message);
        } catch (MalformedMessageException e) {
            addFault("malformed: " + e.getMessage());
            return;
        }
        if (parsed instanceof SIPResponse response
                && response.getCSeq().getMethod().equals("INVITE")) {
            AuditedInvite invite;
            synchronized (invites) {
                invite = invites.get(response.getCallId().getCallId());
            }
            if (invite != null) {
                invite.reportAnswer(response);
            }
        }
        Runnable delivery = () -> scheduler.execute(() -> transactions.receive(parsed, network.impaired(from)));
        if (from.isReliable()) {
            delivery.run();
        } else {
            network.deliver(delivery);
        }
    }

    /** Starts a new caller. */
    public void addArrival(long title, TrafficClass trafficClass, int highestRung) {
        long callerId = callerIds.incrementAndGet();
        scheduler.execute(() -> call(callerId, title, trafficClass, highestRung, MAX_EARLY_RETRIES));
    }

    /** A flow to a gateway's port; null if the connection cannot be made. */
    private Flow flowTo(int gatewayPort, boolean stream) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", gatewayPort);
        if (!stream) {
            return node.udpFlow(port, address);
        }
        return streamFlows.computeIfAbsent(gatewayPort, key -> {
            try {
                return node.connect(address, 300);
            } catch (IOException e) {
                return null;
            }
        });
    }

    private String viaHeader(boolean stream) {
        return "SIP/2.0/" + (stream ? "TCP" : "UDP") + " 127.0.0.1:" + port + ";branch=z9hG4bKc" + ++lastBranch;
    }

    private String inviteText(
            String callId, long callerId, long title, TrafficClass trafficClass, int highestRung, boolean overStream) {
        String offer = Sdp.of("127.0.0.1", 40_000, 1, ladder.rateKb(trafficClass, highestRung) * 8);
        return "INVITE sip:" + title + "@gw;band=" + trafficClass.name() + " SIP/2.0\r\nVia: " + viaHeader(overStream)
                + ";oc\r\nMax-Forwards: 70\r\nFrom: <sip:"
                + callerId + "@callers>;tag=c\r\nTo: <sip:" + title + "@gw>\r\nCall-ID: " + callId
                + "\r\nCSeq: 1 INVITE\r\nContact: <sip:" + callerId
                + "@127.0.0.1:" + port + (overStream ? ";transport=tcp" : "") + ">\r\nSupported: timer\r\n"
                + SipCodec.endOfMessage(offer);
    }

    private void call(long callerId, long title, TrafficClass trafficClass, int highestRung, int earlyRetriesLeft) {
        Viewers.GatewayAddress gateway = gatewayPicker.get();
        if (gateway == null) {
            maybeReturn(callerId, title, trafficClass, highestRung, 0, earlyRetriesLeft);
            return;
        }
        boolean overStream = callerId % 2 == 0;
        Flow flow = flowTo(gateway.port(), overStream);
        if (flow == null) {
            maybeReturn(callerId, title, trafficClass, highestRung, 0, earlyRetriesLeft);
            return;
        }
        send(gateway, flow, callerId, title, trafficClass, highestRung, earlyRetriesLeft, true);
        if (random.nextDouble() < behavior.duplicateRatio()) { // as a proxy that gave up on the first request
            send(gateway, flow, callerId, title, trafficClass, highestRung, earlyRetriesLeft, false);
        }
    }

    private void send(
            Viewers.GatewayAddress gateway,
            Flow flow,
            long callerId,
            long title,
            TrafficClass trafficClass,
            int highestRung,
            int earlyRetriesLeft,
            boolean first) {
        long requestId = requestIds.incrementAndGet();
        String callId = "call-" + requestId;
        AuditedInvite auditedInvite = new AuditedInvite(requestId, gateway.name(), trafficClass);
        synchronized (invites) {
            invites.put(callId, auditedInvite);
        }
        openRequests.incrementAndGet();
        Flow impairedFlow = network.impaired(flow, message -> {
            if (message[0] == 'I') { // a copy of the INVITE
                auditedInvite.reportSent();
            }
        });
        boolean[] settled = new boolean[1];
        boolean omitsAck = random.nextDouble() < behavior.missingAckRatio();
        ClientTransaction[] transaction = new ClientTransaction[1];
        SIPRequest inviteRequest = (SIPRequest)
                SipCodec.parseOwn(inviteText(callId, callerId, title, trafficClass, highestRung, flow.isReliable()));
        ClientTransaction.User user = new ClientTransaction.User() {
            @Override
            public void onFinalResponse(SIPResponse answer) {
                boolean alreadySettled = settled[0];
                settle();
                if (answer.getStatusCode() < 300) {
                    Call call = new Call();
                    call.dialog = Dialog.forCaller(inviteRequest, answer, impairedFlow);
                    call.sessionDescription = SipCodec.body(answer);
                    calls.put(callId, call);
                    checkDescription(callId, call.sessionDescription);
                    if (!omitsAck) {
                        onFurther2xx(answer);
                    }
                    scheduler.schedule(
                            scheduler.now()
                                    + (alreadySettled ? 0 : behavior.meanCallMs() * (0.5 + random.nextDouble())),
                            () -> hangUp(callId, call));
                } else if (first && !alreadySettled) {
                    long retryAfterS = SipCodec.headerAsLong(answer, "Retry-After", 0);
                    maybeReturn(callerId, title, trafficClass, highestRung, retryAfterS * 1000.0, earlyRetriesLeft);
                }
            }

            @Override
            public void onFurther2xx(SIPResponse answer) {
                Call call = calls.get(callId);
                if (call != null && !omitsAck) {
                    impairedFlow.send(SipCodec.encode(call.dialog.ack(1, viaHeader(flow.isReliable()))));
                }
            }

            @Override
            public void onFailure(boolean heard) {
                settle();
                if (first) {
                    maybeReturn(callerId, title, trafficClass, highestRung, 0, earlyRetriesLeft);
                }
            }

            private void settle() {
                if (!settled[0]) {
                    settled[0] = true;
                    openRequests.decrementAndGet();
                    auditedInvite.reportUnanswered();
                }
            }
        };
        transaction[0] = transactions.send(inviteRequest, impairedFlow, user);
        boolean isImpatient = random.nextDouble() < behavior.impatientRatio();
        scheduler.schedule(
                scheduler.now()
                        + (isImpatient
                                ? trafficClass.deadlineMs() * random.nextDouble() * 0.2
                                : trafficClass.deadlineMs() + 1500),
                () -> {
                    if (!settled[0]) {
                        settled[0] = true;
                        openRequests.decrementAndGet();
                        if (isImpatient) {
                            auditor.viewerLeft(requestId);
                        } else {
                            auditedInvite.reportUnanswered();
                        }
                        transactions.cancel(transaction[0]);
                    }
                });
        scheduler.schedule(scheduler.now() + trafficClass.deadlineMs() * 4, () -> {
            synchronized (invites) {
                invites.remove(callId);
            }
        });
    }

    private void maybeReturn(
            long callerId,
            long title,
            TrafficClass trafficClass,
            int highestRung,
            double retryAfterMs,
            int earlyRetriesLeft) {
        if (returnsStopped || random.nextDouble() >= behavior.returnRatio()) {
            return;
        }
        boolean retriesEarly = retryAfterMs > 0
                && earlyRetriesLeft > 0
                && random.nextDouble() < behavior.earlyRetryRatio(); // before the Retry-After time
        double delayMs = retriesEarly
                ? 50
                : retryAfterMs > 0 ? retryAfterMs * (1 + random.nextDouble()) : 900 + 1500 * random.nextDouble();
        scheduler.schedule(
                scheduler.now() + delayMs,
                () -> call(
                        callerId,
                        title,
                        trafficClass,
                        highestRung,
                        retriesEarly ? earlyRetriesLeft - 1 : MAX_EARLY_RETRIES));
    }

    /** Checks the session description of an answer or re-INVITE. */
    private void checkDescription(String callId, String sessionDescription) {
        try {
            if (!Sdp.parse(sessionDescription).hasVideo()) {
                addFault(callId + " was described without video");
            }
        } catch (MalformedMessageException e) {
            addFault(callId + " was described by what is no description: " + e.getMessage());
        }
    }

    private void hangUp(String callId, Call call) {
        if (!call.ended) {
            call.ended = true;
            calls.remove(callId);
            completedCalls.incrementAndGet();
            transactions.send(
                    call.dialog.request("BYE", viaHeader(call.dialog.flow().isReliable()), null, ""),
                    call.dialog.flow(),
                    ClientTransaction.User.NONE);
        }
    }

    // ---- Requests of the gateway within calls

    @Override
    public void onRequest(ServerTransaction transaction) {
        SIPRequest request = transaction.request();
        Call call = calls.get(request.getCallId().getCallId());
        if (call == null) {
            transaction.respond(Transactions.response(request, 481, "gone"));
            return;
        }
        if (!call.dialog.acceptInOrder(request)) {
            transaction.respond(Transactions.response(request, 500, null));
            return;
        }
        switch (request.getMethod()) {
            case "BYE" -> {
                call.ended = true;
                calls.remove(request.getCallId().getCallId());
                String reason = SipCodec.header(request, "Reason");
                (reason != null && reason.contains("cause=200") ? completedCalls : cutOffCalls).incrementAndGet();
                transaction.respond(Transactions.response(request, 200, null));
            }
            case "INVITE" -> {
                if (random.nextDouble() < GLARE_RATIO) {
                    transaction.respond(Transactions.response(request, 491, null));
                    return;
                }
                sessionChanges.incrementAndGet();
                call.sessionDescription = SipCodec.body(request);
                checkDescription(request.getCallId().getCallId(), call.sessionDescription);
                SIPResponse ok = Transactions.response(request, 200, null);
                SipCodec.addHeader(ok, "Contact", "<sip:caller@127.0.0.1:" + port + ">");
                SipCodec.setDescription(ok, Sdp.of("127.0.0.1", 40_000, 2, 100));
                transactions.awaitAck(transaction, request.getToTag());
                transaction.respond(ok);
            }
            default -> transaction.respond(Transactions.response(request, 200, null));
        }
    }

    @Override
    public void onCancel(ServerTransaction invite) {
        invite.respond(Transactions.response(invite.request(), 487, null));
    }

    @Override
    public void onAck(SIPRequest ack) {}

    @Override
    public void close() throws IOException {
        scheduler.close();
        node.close();
    }
}
