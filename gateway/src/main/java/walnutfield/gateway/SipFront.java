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
import walnutfield.loop.EventLoop;
import walnutfield.loop.TimerGroup;
import walnutfield.net.Clock;
import walnutfield.net.sip.SipTransport;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.Dialog;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.OverloadControl;
import walnutfield.sip.Sdp;
import walnutfield.sip.ServerTransaction;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Timers;
import walnutfield.sip.Transactions;

/**
 * The front for video calls: a back-to-back user agent (RFC 3261, section 6) on UDP and TCP. It reads play requests
 * from INVITEs, keeps the callers' dialogs and exchanges SIP messages with the media hosts. It makes no decisions.
 * Everything runs on the event loop, except the callbacks of the sockets ({@link SipTransport.Receiver}).
 */
final class SipFront implements SipTransport.Receiver, Transactions.User, Plays.Prober, AutoCloseable {
    static final String ALLOWED_METHODS = "INVITE, ACK, CANCEL, BYE, OPTIONS, UPDATE";
    static final String PLAY_ID_HEADER = "Play-Id";
    static final String PLAY_LEG_HEADER = "Play-Leg";
    static final String PLAY_BAND_HEADER = "Play-Band";
    static final String PLAY_GATEWAY_HEADER = "Play-Gateway";
    static final String HOST_INSTANCE_HEADER = "Host-Instance";
    static final String DELIVERED_SHARE_HEADER = "Delivered-Share";
    private static final double MIN_SESSION_EXPIRES_S = 90; // lower limit of RFC 4028, section 4
    private static final double MAX_GLARE_DELAY_MS = 2000; // RFC 3261, section 14.1, without ownership of the Call-ID
    private static final double OVERLOAD_WINDOW_MS = 1000; // measuring period and validity of the reported oc value
    private static final Pattern TITLE_ID_PATTERN = Pattern.compile("[0-9]{1,18}");

    /** A caller and the dialog with it. */
    final class Caller {
        final CallViewing viewing;
        final Dialog dialog;
        final String dialogName;
        private final InetAddress address;
        private ServerTransaction unacknowledgedInvite; // null once its ACK has arrived
        private boolean reInvitePending; // the gateway's re-INVITE has no final response yet
        private boolean reInviteNeeded; // the session changed while a re-INVITE was pending
        private double expiresAt = Double.POSITIVE_INFINITY;
        private boolean ended;
        private final TimerGroup timers = new TimerGroup(eventLoop); // cancelled as the caller leaves

        Caller(CallViewing viewing, Dialog dialog, String dialogName, ServerTransaction unacknowledgedInvite) {
            this.viewing = viewing;
            this.dialog = dialog;
            this.dialogName = dialogName;
            this.unacknowledgedInvite = unacknowledgedInvite;
            address = unacknowledgedInvite.flow().remoteAddress().getAddress();
        }
    }

    final EventLoop eventLoop;
    final Catalogue catalogue;
    final InsertExecutor insertExecutor;
    final String incarnationName;
    private final GatewaySettings.Sip settings;
    private final GatewaySettings.Hosts hostSettings;
    private final Transactions transactions;
    private final SipTransport node;
    private final SplittableRandom random;
    private final Map<Viewing.Key, CallViewing> openViewings = new HashMap<>(); // removed when the viewing ends
    private final Map<ServerTransaction, CallRequester> pendingInvites =
            new HashMap<>(); // removed with the final response
    private final Map<String, Caller> callersByDialog = new HashMap<>(); // removed when the caller hangs up
    private final Map<String, CallViewing> viewingsByHostCallId =
            new HashMap<>(); // removed when the viewing leaves its host
    private final Map<InetSocketAddress, HostMonitor> monitors =
            new HashMap<>(); // removed with the last call on the host
    private final Map<InetAddress, Integer> halfOpenByAddress =
            new HashMap<>(); // number of INVITEs without a final response, or whose 2xx has no ACK yet
    private final AdmissionOutcomes admissionOutcomes = new AdmissionOutcomes();
    private Plays plays;
    private Admission admission;
    private int port;
    private long branch;
    private double windowStartedAt;
    private int requestsInWindow;
    private int rejectedInWindow;
    private int rejectedPercent; // of the requests in the last complete window

    SipFront(
            String incarnationName,
            EventLoop eventLoop,
            GatewaySettings.Sip settings,
            GatewaySettings.Hosts hostSettings,
            Catalogue catalogue,
            InsertExecutor insertExecutor)
            throws IOException {
        this.incarnationName = incarnationName;
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.hostSettings = hostSettings;
        this.catalogue = catalogue;
        this.insertExecutor = insertExecutor;
        random = new SplittableRandom(incarnationName.hashCode());
        node = new SipTransport(incarnationName, settings.maxConnections(), this);
        transactions = new Transactions(
                Timers.of(settings.t1Ms(), new Timers.Scheduler() {
                    @Override
                    public double now() {
                        return eventLoop.now();
                    }

                    @Override
                    public Timers.Cancellation schedule(double time, Runnable task) {
                        return eventLoop.schedule(time, task)::cancel;
                    }
                }),
                this);
    }

    /** Sets the collaborators that are created after this object; called once, before any other method. */
    void attach(Plays gatewayPlays, Admission gatewayAdmission) {
        plays = gatewayPlays;
        admission = gatewayAdmission;
    }

    /** Number of SIP messages that were retransmitted; any thread may call it. */
    long retransmissions() {
        return transactions.retransmissionCount();
    }

    Plays plays() {
        return plays;
    }

    int bind() throws IOException {
        port = node.bind(settings.port(), true);
        return port;
    }

    int port() {
        return port;
    }

    /** The name under which the hosts know this gateway; it stays the same over restarts. */
    String gatewayName() {
        return incarnationName.substring(0, incarnationName.lastIndexOf('.'));
    }

    String localAddress() {
        return "127.0.0.1:" + port;
    }

    String contactUri() {
        return "sip:" + gatewayName() + "@" + localAddress();
    }

    String via() {
        return "SIP/2.0/UDP " + localAddress() + ";branch=z9hG4bK" + incarnationName + "." + ++branch
                + ";oc;oc-algo=\"loss\"";
    }

    private String via(Flow flow) {
        return flow.isReliable() ? via().replace("/UDP", "/TCP") : via();
    }

    Flow flowTo(InetSocketAddress host) {
        return node.udpFlow(port, host);
    }

    // ---- Callbacks of the sockets, on their threads

    @Override
    public void onMessage(byte[] bytes, Flow from, int localPort) {
        double receivedAt = Clock.now();
        SIPMessage message;
        try {
            message = SipCodec.parse(bytes);
        } catch (MalformedMessageException e) {
            byte[] refusal = SipCodec.errorResponse(bytes, e);
            if (refusal != null) {
                from.send(refusal);
            }
            return;
        }
        boolean outsideDialog = message instanceof SIPRequest r
                && r.getToTag() == null
                && !r.getMethod().equals("CANCEL")
                && !r.getMethod().equals("ACK");
        if (!outsideDialog) { // needs no admission, but the transport bounds how many wait
            from.messageQueued();
            eventLoop.post(() -> {
                from.messageProcessed();
                transactions.receive(message, from);
            });
        } else {
            SIPRequest request = (SIPRequest) message;
            String key = Transactions.retransmissionKey(request);
            UnadmittedRequest requester = new UnadmittedRequest(request, from, key, admissionOutcomes);
            admission.admit(requester, receivedAt, () -> {
                if (exceedsHalfOpenLimit(request, from) && admissionOutcomes.reject(key)
                        || !admissionOutcomes.admit(key)) {
                    admission.reject(requester);
                } else {
                    transactions.receive(message, from);
                }
            });
        }
    }

    /** A request that has not reached the event loop; rejected without a transaction (RFC 3261, section 8.2.7). */
    private record UnadmittedRequest(SIPRequest request, Flow from, String key, AdmissionOutcomes admissionOutcomes)
            implements Requester {
        @Override
        public boolean isDone() {
            return false;
        }

        @Override
        public void onGone(Runnable action) {}

        @Override
        public void serve(String play, String body) {
            throw new IllegalStateException("a request must be admitted before it can be served");
        }

        @Override
        public void refuse(int status, String play, double retryAfterMs) {
            if (!admissionOutcomes.reject(key)) {
                return; // a retransmission of it was admitted and gets its own response
            }
            SIPResponse response = Transactions.response(request, status, "untaken");
            SipCodec.addHeader(response, "Retry-After", Long.toString((long) Math.ceil(retryAfterMs / 1000)));
            from.send(SipCodec.encode(response));
        }
    }

    @Override
    public void onConnectionClosed(Flow flow) {
        eventLoop.post(() -> transactions.connectionClosed(flow));
    }

    // ---- Callbacks of the transaction layer

    @Override
    public void onRequest(ServerTransaction transaction) {
        SIPRequest request = transaction.request();
        if (request.getToTag() != null) {
            handleInDialog(transaction);
            return;
        }
        switch (request.getMethod()) {
            case "INVITE" -> handleInvite(transaction);
            case "OPTIONS" -> {
                SIPResponse ok = createResponse(transaction, 200, "options");
                SipCodec.addHeader(ok, "Allow", ALLOWED_METHODS);
                SipCodec.addHeader(ok, "Accept", "application/sdp");
                transaction.respond(ok);
            }
            case "BYE", "UPDATE" -> transaction.respond(createResponse(transaction, 481, "none"));
            default -> {
                SIPResponse notAllowed = createResponse(transaction, 405, "none");
                SipCodec.addHeader(notAllowed, "Allow", ALLOWED_METHODS);
                transaction.respond(notAllowed);
            }
        }
    }

    /** Reads a play request from an INVITE outside a dialog, or rejects the INVITE. */
    private void handleInvite(ServerTransaction transaction) {
        SIPRequest invite = transaction.request();
        countRequest(false);
        String require = SipCodec.header(invite, "Require");
        if (require != null && !require.equalsIgnoreCase("timer")) {
            reject(transaction, 420, "Unsupported", require);
            return;
        }
        double sessionExpiresS = SipCodec.headerAsLong(invite, "Session-Expires", Integer.MAX_VALUE);
        if (sessionExpiresS < MIN_SESSION_EXPIRES_S) {
            reject(transaction, 422, "Min-SE", Integer.toString((int) MIN_SESSION_EXPIRES_S));
            return;
        }
        Matcher target = REQUEST_URI_PATTERN.matcher(invite.getRequestURI().toString());
        TitleId title =
                target.matches() && TITLE_ID_PATTERN.matcher(target.group(1)).matches()
                        ? new TitleId(Long.parseLong(target.group(1)))
                        : null;
        if (title == null || !catalogue.titles().containsKey(title)) {
            reject(transaction, 404, null, null);
            return;
        }
        TrafficClass trafficClass = catalogue.trafficClasses().get(uriParameter(target.group(2), "band", ""));
        Matcher user =
                USER_PATTERN.matcher(invite.getFrom().getAddress().getURI().toString());
        if (trafficClass == null || !user.matches()) {
            reject(transaction, 400, null, null);
            return;
        }
        Sdp offer = readOffer(transaction);
        if (offer == null) {
            return;
        }
        int highestRung = Double.isNaN(offer.videoKbitPerS())
                ? Integer.MAX_VALUE
                : catalogue.highestRungWithin(trafficClass, (long) offer.videoKbitPerS());
        String tenant = uriParameter(target.group(2), "customer", null);
        Viewing.Request viewerRequest = new Viewing.Request(
                HttpFront.viewerId(user.group(1)),
                title,
                trafficClass,
                tenant == null ? null : new TenantId(tenant),
                highestRung);
        Viewing.Key key = new Viewing.Key(CallViewing.FRONT, viewerRequest.viewer(), title);
        CallRequester requester = new CallRequester(this, transaction, key, newTag());
        pendingInvites.put(transaction, requester);
        halfOpenByAddress.merge(transaction.flow().remoteAddress().getAddress(), 1, Integer::sum);
        double admittedAt = eventLoop.now();
        int maxForwards = invite.getMaxForwards() == null
                ? 70
                : Math.max(0, invite.getMaxForwards().getMaxForwards() - 1);
        plays.requestPlay(requester, key, admittedAt, () -> {
            CallViewing viewing = new CallViewing(this, viewerRequest, offer, maxForwards, admittedAt);
            openViewings.put(key, viewing);
            return viewing;
        });
    }

    private static final Pattern REQUEST_URI_PATTERN =
            Pattern.compile("sips?:([^@;?]{1,64})(?:@[^;?]*)?((?:;[^?]*)?)(?:\\?.*)?");
    private static final Pattern USER_PATTERN = Pattern.compile("(?:sips?|tel):([^@;?:]{1,64})(?:[@;:].*)?");

    private static String uriParameter(String parameters, String name, String defaultValue) {
        for (String parameter : parameters.split(";")) {
            if (parameter.toLowerCase(Locale.ROOT).startsWith(name + "=")) {
                return parameter.substring(name.length() + 1);
            }
        }
        return defaultValue;
    }

    /** Reads the video offer of an INVITE; without a usable one it rejects the INVITE and returns null. */
    private Sdp readOffer(ServerTransaction transaction) {
        SIPRequest invite = transaction.request();
        String contentType = SipCodec.header(invite, "Content-Type");
        if (contentType != null && !contentType.toLowerCase(Locale.ROOT).startsWith("application/sdp")) {
            reject(transaction, 415, "Accept", "application/sdp");
            return null;
        }
        try {
            Sdp offer = Sdp.parse(SipCodec.body(invite));
            if (offer.hasVideo()) {
                return offer;
            }
            reject(transaction, 488, null, null);
        } catch (MalformedMessageException e) {
            // Also rejects an INVITE without an offer: the host has to answer an offer before the gateway can.
            reject(transaction, SipCodec.body(invite).isEmpty() ? 488 : e.status(), null, null);
        }
        return null;
    }

    private void reject(ServerTransaction invite, int status, String header, String value) {
        SIPResponse response = createResponse(invite, status, newTag());
        if (header != null) {
            SipCodec.addHeader(response, header, value);
        }
        sendFinalResponse(invite, response);
    }

    @Override
    public void onCancel(ServerTransaction invite) {
        CallRequester requester = pendingInvites.get(invite);
        if (requester != null) {
            requester.cancelled();
        }
    }

    @Override
    public void onAck(SIPRequest ack) {
        Caller caller = callersByDialog.get(Dialog.name(ack.getCallId().getCallId(), ack.getToTag()));
        if (caller != null && caller.unacknowledgedInvite != null) {
            caller.unacknowledgedInvite = null;
            releaseHalfOpen(caller.address);
        }
    }

    /**
     * Whether the sender's address has reached its limit of half-open INVITEs. Prevents one address from filling the
     * gateway with them: an INVITE beyond the limit is rejected without a transaction, so that it costs neither memory
     * nor retransmissions of the response. The drawback is that all callers behind one address share the limit.
     */
    private boolean exceedsHalfOpenLimit(SIPRequest request, Flow from) {
        return request.getMethod().equals("INVITE")
                && halfOpenByAddress.getOrDefault(from.remoteAddress().getAddress(), 0)
                        >= settings.maxHalfOpenPerAddress();
    }

    private void releaseHalfOpen(InetAddress address) {
        halfOpenByAddress.computeIfPresent(address, (k, n) -> n > 1 ? n - 1 : null);
    }

    // ---- Requests within dialogs

    private void handleInDialog(ServerTransaction transaction) {
        SIPRequest request = transaction.request();
        CallViewing hostViewing = viewingsByHostCallId.get(request.getCallId().getCallId());
        if (hostViewing != null) {
            boolean isBye = request.getMethod().equals("BYE");
            transaction.respond(createResponse(transaction, isBye ? 200 : 405, null));
            if (isBye) {
                plays.onSessionEnded(hostViewing, hostViewing.play, true);
            }
            return;
        }
        Caller caller = callersByDialog.get(Dialog.name(request.getCallId().getCallId(), request.getToTag()));
        if (caller == null) {
            transaction.respond(createResponse(transaction, 481, null));
        } else if (!caller.dialog.acceptInOrder(request)) {
            transaction.respond(createResponse(transaction, 500, null));
        } else {
            switch (request.getMethod()) {
                case "BYE" -> {
                    transaction.respond(createResponse(transaction, 200, null));
                    onCallerLeft(caller, "viewer-gone");
                }
                case "INVITE", "UPDATE" -> handleSessionRefresh(transaction, caller);
                case "OPTIONS" -> transaction.respond(createResponse(transaction, 200, null));
                default -> transaction.respond(createResponse(transaction, 405, null));
            }
        }
    }

    /** Handles a caller's re-INVITE or UPDATE: the session stays unchanged and its session timer is restarted. */
    private void handleSessionRefresh(ServerTransaction transaction, Caller caller) {
        if (caller.reInvitePending) {
            transaction.respond(createResponse(transaction, 491, null)); // RFC 3261, section 14.2
            return;
        }
        SIPResponse ok = createResponse(transaction, 200, null);
        if (!SipCodec.body(transaction.request()).isEmpty()
                || transaction.request().getMethod().equals("INVITE")) {
            SipCodec.setDescription(ok, caller.viewing.description());
        }
        startSessionTimer(caller, transaction.request(), ok);
        if (transaction.request().getMethod().equals("INVITE")) {
            transactions.awaitAck(transaction, caller.dialogName.substring(caller.dialogName.indexOf(' ') + 1));
        }
        transaction.respond(ok);
    }

    private void onCallerLeft(Caller caller, String reason) {
        removeCaller(caller);
        caller.viewing.onCallerLeft(caller, reason);
    }

    private void removeCaller(Caller caller) {
        caller.ended = true;
        caller.timers.cancel();
        callersByDialog.remove(caller.dialogName);
        if (caller.unacknowledgedInvite != null) {
            caller.unacknowledgedInvite = null;
            releaseHalfOpen(caller.address);
        }
    }

    // ---- Session timers (RFC 4028)

    /** Starts or extends the session timer; the caller refreshes the session if it can, else the gateway does. */
    private void startSessionTimer(Caller caller, SIPRequest request, SIPResponse ok) {
        String supported = SipCodec.header(request, "Supported");
        boolean callerRefreshes =
                supported != null && supported.toLowerCase(Locale.ROOT).contains("timer");
        double intervalS = Math.max(
                MIN_SESSION_EXPIRES_S,
                Math.min(
                        SipCodec.headerAsLong(request, "Session-Expires", Integer.MAX_VALUE),
                        settings.sessionTimeoutMs() / 1000));
        if (callerRefreshes) {
            SipCodec.addHeader(ok, "Require", "timer");
            SipCodec.addHeader(ok, "Session-Expires", (long) intervalS + ";refresher=uac");
        }
        boolean isFirst = caller.expiresAt == Double.POSITIVE_INFINITY;
        double intervalMs = Math.min(settings.sessionTimeoutMs(), intervalS * 1000);
        caller.expiresAt = eventLoop.now() + intervalMs;
        if (isFirst) {
            caller.timers.schedule(
                    callerRefreshes ? caller.expiresAt : eventLoop.now() + intervalMs / 2,
                    () -> onSessionTimer(caller, callerRefreshes, intervalMs));
        }
    }

    private void onSessionTimer(Caller caller, boolean callerRefreshes, double intervalMs) {
        if (caller.ended) {
            return;
        }
        if (!callerRefreshes) { // the response to the re-INVITE proves the caller alive; without one the call ends
            sendReInvite(caller);
            caller.timers.schedule(eventLoop.now() + intervalMs / 2, () -> onSessionTimer(caller, false, intervalMs));
        } else if (eventLoop.now() < caller.expiresAt) {
            caller.timers.schedule(caller.expiresAt, () -> onSessionTimer(caller, true, intervalMs));
        } else {
            hangUp(caller, "SIP;cause=408");
            caller.viewing.onCallerLeft(caller, "viewer-idle");
        }
    }

    // ---- Operations that viewings and requesters use

    /** Sends the 2xx to an INVITE with the session description of the host, which establishes the caller's dialog. */
    void accept(CallRequester requester, String tag, String play, String description) {
        CallViewing viewing = openViewings.get(requester.key);
        SIPRequest invite = requester.invite.request();
        Dialog dialog = Dialog.forCallee(invite, tag, requester.invite.flow());
        Caller caller =
                new Caller(viewing, dialog, Dialog.name(invite.getCallId().getCallId(), tag), requester.invite);
        pendingInvites.remove(requester.invite);
        callersByDialog.put(caller.dialogName, caller);
        viewing.addCaller(caller);
        SIPResponse ok = createResponse(requester.invite, 200, tag);
        SipCodec.addHeader(ok, PLAY_ID_HEADER, play);
        SipCodec.addHeader(ok, "Allow", ALLOWED_METHODS);
        SipCodec.addHeader(ok, "Contact", "<" + contactUri() + ">");
        SipCodec.setDescription(ok, description);
        startSessionTimer(caller, invite, ok);
        addOverloadStatus(invite, ok);
        transactions.awaitAck(requester.invite, tag);
        requester.invite.onAckTimeout(() -> {
            if (!caller.ended) { // RFC 3261, section 13.3.1.4
                hangUp(caller, "SIP;cause=408");
                caller.viewing.onCallerLeft(caller, "unacknowledged");
            }
        });
        requester.invite.respond(ok);
    }

    /** Sends a final response to an INVITE that establishes no dialog. */
    void sendFinalResponse(ServerTransaction invite, SIPResponse response) {
        if (pendingInvites.remove(invite) != null) {
            releaseHalfOpen(invite.flow().remoteAddress().getAddress());
        }
        if (response.getStatusCode() == 503) {
            countRequest(true);
        }
        addOverloadStatus(invite.request(), response);
        invite.respond(response);
    }

    SIPResponse createResponse(ServerTransaction transaction, int status, String tag) {
        return Transactions.response(transaction.request(), status, tag);
    }

    ClientTransaction sendRequest(SIPRequest request, Flow flow, ClientTransaction.User user) {
        return transactions.send(request, flow, user);
    }

    void cancel(ClientTransaction invite) {
        transactions.cancel(invite);
    }

    void sendBye(Dialog dialog, String reason) {
        SIPRequest bye = dialog.request("BYE", via(dialog.flow()), null, "");
        if (reason != null) {
            SipCodec.addHeader(bye, "Reason", reason);
        }
        sendRequest(bye, dialog.flow(), ClientTransaction.User.NONE);
    }

    void hangUp(Caller caller, String reason) {
        if (!caller.ended) {
            removeCaller(caller);
            sendBye(caller.dialog, reason);
        }
    }

    /**
     * Sends a caller the current session description by re-INVITE. While an earlier re-INVITE is pending, the new one
     * is sent after its final response.
     */
    void sendReInvite(Caller caller) {
        caller.reInviteNeeded = caller.reInvitePending;
        if (caller.reInvitePending) {
            return;
        }
        caller.reInvitePending = true;
        SIPRequest reInvite =
                caller.dialog.request("INVITE", via(caller.dialog.flow()), contactUri(), caller.viewing.description());
        long sequenceNumber = reInvite.getCSeq().getSeqNumber();
        sendRequest(reInvite, caller.dialog.flow(), new ClientTransaction.User() {
            @Override
            public void onFinalResponse(SIPResponse response) {
                caller.reInvitePending = false;
                int status = response.getStatusCode();
                if (status < 300) {
                    onFurther2xx(response);
                }
                if (caller.ended) {
                    return;
                }
                if (status == 481 || status == 408) { // the dialog is gone (RFC 3261, section 12.2.1.2)
                    onCallerLeft(caller, "viewer-gone");
                } else if (status == 491) {
                    caller.timers.schedule(
                            eventLoop.now() + random.nextInt((int) (MAX_GLARE_DELAY_MS / 10)) * 10, () -> {
                                if (!caller.ended) {
                                    sendReInvite(caller);
                                }
                            });
                } else if (caller.reInviteNeeded) {
                    sendReInvite(caller);
                }
            }

            @Override
            public void onFurther2xx(SIPResponse response) {
                caller.dialog
                        .flow()
                        .send(SipCodec.encode(caller.dialog.ack(sequenceNumber, via(caller.dialog.flow()))));
            }

            @Override
            public void onFailure(boolean heard) {
                caller.reInvitePending = false;
                if (!caller.ended) {
                    hangUp(caller, "SIP;cause=408");
                    caller.viewing.onCallerLeft(caller, "viewer-gone");
                }
            }
        });
    }

    /** Sends an OPTIONS request to a host, outside any dialog. */
    void sendOptions(InetSocketAddress host, ClientTransaction.User user) {
        String hostPort = host.getHostString() + ":" + host.getPort();
        String via = via();
        sendRequest(
                (SIPRequest) SipCodec.parseOwn("OPTIONS sip:" + hostPort + " SIP/2.0\r\nVia: " + via
                        + "\r\nMax-Forwards: 70\r\nFrom: <" + contactUri()
                        + ">;tag=o\r\nTo: <sip:" + hostPort + ">\r\nCall-ID: " + incarnationName + ".o." + branch
                        + "\r\nCSeq: 1 OPTIONS\r\n" + PLAY_GATEWAY_HEADER + ": "
                        + gatewayName() + "\r\n" + SipCodec.endOfMessage("")),
                flowTo(host),
                user);
    }

    @Override
    public void probe(InetSocketAddress host, Consumer<Viewing.LegResult> listener) {
        sendOptions(host, new ClientTransaction.User() {
            @Override
            public void onFinalResponse(SIPResponse response) {
                listener.accept(new Viewing.LegResult(
                        response.getStatusCode() / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                        loadReport(response),
                        "status " + response.getStatusCode(),
                        () -> true));
            }

            @Override
            public void onFailure(boolean heard) {
                listener.accept(Viewing.LegResult.failed(Outcome.TIMED_OUT, "no answer"));
            }
        });
    }

    /** Monitors the host of a viewing whose call has been set up there. */
    void startMonitoring(CallViewing viewing) {
        viewingsByHostCallId.put(viewing.hostCallId(), viewing);
        monitors.computeIfAbsent(viewing.address, a -> new HostMonitor(this, a, hostSettings.silenceTimeoutMs()))
                .add(viewing);
    }

    void stopMonitoring(CallViewing viewing) {
        viewingsByHostCallId.remove(viewing.hostCallId(), viewing);
        HostMonitor monitor = monitors.get(viewing.address);
        if (monitor != null && monitor.remove(viewing)) {
            monitors.remove(viewing.address);
        }
    }

    void onViewingClosed(CallViewing viewing) {
        openViewings.remove(viewing.key(), viewing);
    }

    private String newTag() {
        return Long.toString(random.nextLong() >>> 1, 36);
    }

    // ---- Headers of the hosts' responses

    /** A host's load report: the one in ORCA's format, else the utilization implied by overload control (RFC 7339). */
    static LoadReport loadReport(SIPResponse response) {
        LoadReport reported = LoadField.read(SipCodec.header(response, LoadField.NAME));
        OverloadControl overload = reported == LoadReport.NONE ? OverloadControl.read(response.getTopmostVia()) : null;
        return overload == null || Double.isNaN(overload.utilization())
                ? reported
                : new LoadReport(overload.utilization(), Double.NaN, Double.NaN);
    }

    /** The share of its plays' rates that a host delivers, from 0 to 1; NaN if it reports none. */
    static double deliveredShare(SIPResponse response) {
        String value = SipCodec.header(response, DELIVERED_SHARE_HEADER);
        return value != null && value.matches("(0(\\.[0-9]{1,9})?|1(\\.0{1,9})?)")
                ? Double.parseDouble(value)
                : Double.NaN;
    }

    // ---- Overload control towards the callers' proxies (RFC 7339)

    /** Counts an INVITE, or its rejection with 503, in the current window; an expired window is closed first. */
    private void countRequest(boolean rejected) {
        if (eventLoop.now() - windowStartedAt >= OVERLOAD_WINDOW_MS) {
            rejectedPercent = requestsInWindow == 0 ? 0 : Math.min(100, 100 * rejectedInWindow / requestsInWindow);
            windowStartedAt = eventLoop.now();
            requestsInWindow = 0;
            rejectedInWindow = 0;
        }
        if (rejected) {
            rejectedInWindow++;
        } else {
            requestsInWindow++;
        }
    }

    /** Reports the last window's rejections to a sender whose Via announces support of overload control. */
    private void addOverloadStatus(SIPRequest request, SIPResponse response) {
        if (OverloadControl.isSupported(request.getTopmostVia())) {
            new OverloadControl(rejectedPercent, OVERLOAD_WINDOW_MS, windowStartedAt / 1000)
                    .write(response.getTopmostVia());
        }
    }

    @Override
    public void close() throws IOException {
        node.close();
    }
}
