package walnutfield.sip;

import gov.nist.javax.sip.header.Via;
import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The transaction layer of one SIP element (RFC 3261, section 17). It absorbs retransmissions, so that the transaction
 * user sees each request and each response once. Not thread-safe: one thread makes all calls and runs the timers.
 */
public final class Transactions {
    /** The transaction user. */
    public interface User {
        /** A new request other than ACK and CANCEL. An INVITE has been answered with 100 already. */
        void onRequest(ServerTransaction transaction);

        /** A CANCEL for an INVITE without a final response; the CANCEL itself has been answered. */
        void onCancel(ServerTransaction invite);

        /** The first ACK of a 2xx response. */
        void onAck(SIPRequest ack);
    }

    /** Counts retransmitted messages. */
    static final class RetransmissionCounter {
        private volatile long total; // written by the transactions' thread only

        void increment() {
            total++;
        }
    }

    private static final String BRANCH_COOKIE = "z9hG4bK";

    private final Timers timers;
    private final User user;
    private final RetransmissionCounter retransmissions = new RetransmissionCounter();
    private final Map<String, ClientTransaction> clients = new HashMap<>(); // removed as they terminate
    private final Map<String, ServerTransaction> servers = new HashMap<>(); // removed as they terminate
    // INVITEs whose 2xx response waits for its ACK, by dialog name.
    private final Map<String, ServerTransaction> awaitingAck = new HashMap<>();
    // Keys of the open INVITE transactions by From tag, Call-ID and CSeq, to detect merged requests.
    private final Map<String, String> openInvites = new HashMap<>();

    public Transactions(Timers timers, User user) {
        this.timers = timers;
        this.user = user;
    }

    /** The number of transactions that have not terminated. */
    public int openCount() {
        return clients.size() + servers.size();
    }

    /** A key that all retransmissions of a request share, and no other request has (section 17.2.3). */
    public static String retransmissionKey(SIPRequest request) {
        return serverKey(request, request.getMethod());
    }

    /** The number of messages retransmitted so far; any thread may call this. */
    public long retransmissionCount() {
        return retransmissions.total;
    }

    /** Sends a request in a new client transaction; the topmost Via must have a branch of its own. */
    public ClientTransaction send(SIPRequest request, Flow flow, ClientTransaction.User transactionUser) {
        String key = clientKey(request.getTopmostVia(), request.getMethod());
        ClientTransaction transaction = new ClientTransaction(
                request, flow, transactionUser, timers, retransmissions, () -> clients.remove(key));
        clients.put(key, transaction);
        transaction.start();
        return transaction;
    }

    /**
     * Cancels an INVITE that was sent (section 9.1): the CANCEL goes out once a provisional response has arrived. The
     * final response is reported to the user as usual: a 487, or a 2xx that crossed the CANCEL.
     */
    public void cancel(ClientTransaction invite) {
        if (invite.requestCancel()) {
            sendCancel(invite);
        }
    }

    private void sendCancel(ClientTransaction invite) {
        SIPRequest request = invite.request();
        SIPRequest cancel = (SIPRequest) SipCodec.parseOwn(requestLine("CANCEL", request) + "Via: "
                + value(request.getTopmostVia().toString())
                + "\r\nMax-Forwards: 70\r\n"
                + request.getFromHeader().toString().strip() + "\r\n"
                + request.getToHeader().toString().strip()
                + "\r\nCall-ID: " + request.getCallId().getCallId() + "\r\nCSeq: "
                + request.getCSeq().getSeqNumber()
                + " CANCEL\r\nContent-Length: 0\r\n\r\n");
        send(cancel, invite.flow(), ClientTransaction.User.NONE);
    }

    /** The ACK of a final response other than 2xx, which is part of the INVITE's transaction (section 17.1.1.3). */
    static SIPRequest ackOf(SIPRequest request, SIPResponse response) {
        return (SIPRequest) SipCodec.parseOwn(requestLine("ACK", request) + "Via: "
                + value(request.getTopmostVia().toString())
                + "\r\nMax-Forwards: 70\r\n"
                + request.getFromHeader().toString().strip() + "\r\n"
                + response.getToHeader().toString().strip()
                + "\r\nCall-ID: " + request.getCallId().getCallId() + "\r\nCSeq: "
                + request.getCSeq().getSeqNumber()
                + " ACK\r\nContent-Length: 0\r\n\r\n");
    }

    private static String requestLine(String method, SIPRequest request) {
        return method + " " + request.getRequestURI() + " SIP/2.0\r\n";
    }

    private static String value(String header) {
        return header.substring(header.indexOf(':') + 1).strip();
    }

    /** A connection was lost: the client transactions that use it fail. */
    public void connectionClosed(Flow flow) {
        for (ClientTransaction transaction : new ArrayList<>(clients.values())) {
            if (transaction.flow() == flow) {
                transaction.flowFailed();
            }
        }
    }

    /** Handles a message that arrived. */
    public void receive(SIPMessage message, Flow from) {
        if (message instanceof SIPResponse response) {
            responseReceived(response);
        } else {
            requestReceived((SIPRequest) message, from);
        }
    }

    private void responseReceived(SIPResponse response) {
        ClientTransaction transaction = clients.get(
                clientKey(response.getTopmostVia(), response.getCSeq().getMethod()));
        // A response without a transaction is dropped: unlike a proxy, a B2BUA has no one to forward it to.
        if (transaction != null && transaction.responseReceived(response)) {
            sendCancel(transaction);
        }
    }

    private void requestReceived(SIPRequest request, Flow from) {
        String method = request.getMethod();
        Via via = request.getTopmostVia();
        String key = serverKey(request, method.equals("ACK") ? "INVITE" : method);
        ServerTransaction existing = servers.get(key);
        if (method.equals("ACK")) {
            ServerTransaction accepted = request.getToTag() == null
                    ? null
                    : awaitingAck.remove(Dialog.name(request.getCallId().getCallId(), request.getToTag()));
            if (accepted != null) {
                accepted.ackOf2xxReceived();
                user.onAck(request);
            } else if (existing != null) {
                existing.ackReceived();
            }
            return;
        }
        if (existing != null) {
            existing.retransmissionReceived();
            return;
        }
        String inviteId = request.getFromTag() + " " + request.getCallId().getCallId() + " " + request.getCSeq();
        boolean isInvite = method.equals("INVITE");
        ServerTransaction[] self = new ServerTransaction[1];
        ServerTransaction transaction = new ServerTransaction(request, from, timers, retransmissions, () -> {
            servers.remove(key);
            if (isInvite) {
                openInvites.remove(inviteId, key);
                awaitingAck.remove(self[0].dialogName(), self[0]);
            }
        });
        self[0] = transaction;
        servers.put(key, transaction);
        if (method.equals("CANCEL")) {
            ServerTransaction cancelled = servers.get(serverKey(request, "INVITE"));
            transaction.respond(
                    response(request, cancelled == null ? 481 : 200, cancelled == null ? null : "cancelled"));
            if (cancelled != null && cancelled.finalStatus() == 0) {
                user.onCancel(cancelled);
            }
            return;
        }
        if (isInvite && request.getToTag() == null && openInvites.putIfAbsent(inviteId, key) != null) {
            transaction.respond(response(request, 482, "merged")); // the same INVITE by another path (section 8.2.2.2)
            return;
        }
        if (request.getMaxForwards() != null
                && request.getMaxForwards().getMaxForwards() == 0
                && !method.equals("OPTIONS")) {
            transaction.respond(response(request, 483, "loop"));
            return;
        }
        if (isInvite) {
            transaction.respond(response(request, 100, null));
        }
        user.onRequest(transaction);
    }

    /** Records that the 2xx response to this INVITE, with this To tag, waits for its ACK. */
    public void awaitAck(ServerTransaction invite, String tag) {
        invite.setDialogName(Dialog.name(invite.request().getCallId().getCallId(), tag));
        awaitingAck.put(invite.dialogName(), invite);
    }

    /** Makes a response to a request (section 8.2.6), with the given To tag if the request has none; null adds none. */
    public static SIPResponse response(SIPRequest request, int status, String tag) {
        SIPResponse response = request.createResponse(status);
        if (tag != null && request.getToTag() == null) {
            response.setToTag(tag);
        }
        return response;
    }

    private static String clientKey(Via via, String method) {
        return via.getBranch().toLowerCase(Locale.ROOT) + " " + method;
    }

    /** The key of a server transaction (section 17.2.3), as in RFC 2543 if the branch lacks the magic cookie. */
    private static String serverKey(SIPRequest request, String method) {
        Via via = request.getTopmostVia();
        if (via.getBranch().toLowerCase(Locale.ROOT).startsWith(BRANCH_COOKIE.toLowerCase(Locale.ROOT))) {
            return via.getBranch().toLowerCase(Locale.ROOT) + " " + SipCodec.sentBy(via) + " " + method;
        }
        return String.join(
                " ",
                List.of(
                        "2543",
                        String.valueOf(request.getRequestURI()),
                        request.getFromTag(),
                        request.getCallId().getCallId(),
                        Long.toString(request.getCSeq().getSeqNumber()),
                        via.encode(),
                        method));
    }
}
