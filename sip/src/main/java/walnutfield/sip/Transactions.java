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
 * The transactions of one SIP element (RFC 3261, section 17): copies are taken up here, so that the user sees each request
 * and each response once. One thread only; its clock and timers are given.
 */
public final class Transactions {
    /** Who uses them. */
    public interface User {
        /** A request that is no copy, no ACK and no CANCEL. An INVITE has been answered 100 by now. */
        void request(ServerTransaction t);

        /** A CANCEL for that INVITE; it has been answered itself. */
        void cancelled(ServerTransaction invite);

        /** The ACK of a 2xx, in the dialog of that name. */
        void acked(SIPRequest ack);
    }

    /** Messages sent more than once. */
    static final class Count {
        private volatile long again; // written by the one thread only

        void again() {
            again++;
        }
    }

    private static final String COOKIE = "z9hG4bK";

    private final Timers timers;
    private final User user;
    private final Count count = new Count();
    private final Map<String, ClientTransaction> clients = new HashMap<>(); // emptied as transactions end
    private final Map<String, ServerTransaction> servers = new HashMap<>(); // the same
    private final Map<String, ServerTransaction> unacked = new HashMap<>(); // by dialog, while a 2xx waits for its ACK
    private final Map<String, String> forks = new HashMap<>(); // INVITEs that are open, by From tag, Call-ID and CSeq

    public Transactions(Timers timers, User user) {
        this.timers = timers;
        this.user = user;
    }

    /** Transactions that have not ended. */
    public int open() {
        return clients.size() + servers.size();
    }

    /** What all copies of a request have in common, and no other request has (section 17.2.3). */
    public static String key(SIPRequest r) {
        return serverKey(r, r.getMethod());
    }

    /** Messages sent more than once so far; any thread may ask. */
    public long repeats() {
        return count.again;
    }

    /** Sends a request; its topmost Via has a branch of its own. */
    public ClientTransaction send(SIPRequest request, Flow flow, ClientTransaction.User who) {
        String key = clientKey(request.getTopmostVia(), request.getMethod());
        ClientTransaction t = new ClientTransaction(request, flow, who, timers, count, () -> clients.remove(key));
        clients.put(key, t);
        t.start();
        return t;
    }

    /**
     * Takes an INVITE of ours back (section 9.1): the CANCEL goes out once something was heard of it. Its final response
     * comes to its user as ever, which is a 487, or a 2xx that crossed.
     */
    public void cancel(ClientTransaction invite) {
        if (invite.mayCancel()) {
            sendCancel(invite);
        }
    }

    private void sendCancel(ClientTransaction invite) {
        SIPRequest r = invite.request();
        SIPRequest c = (SIPRequest) SipText.own(line("CANCEL", r) + "Via: "
                + value(r.getTopmostVia().toString())
                + "\r\nMax-Forwards: 70\r\n" + r.getFromHeader().toString().strip() + "\r\n"
                + r.getToHeader().toString().strip()
                + "\r\nCall-ID: " + r.getCallId().getCallId() + "\r\nCSeq: "
                + r.getCSeq().getSeqNumber()
                + " CANCEL\r\nContent-Length: 0\r\n\r\n");
        send(c, invite.flow(), ClientTransaction.User.NONE);
    }

    /** The ACK of a response that is no 2xx, which is part of the transaction (section 17.1.1.3). */
    static SIPRequest ackOf(SIPRequest r, SIPResponse to) {
        return (SIPRequest) SipText.own(line("ACK", r) + "Via: "
                + value(r.getTopmostVia().toString())
                + "\r\nMax-Forwards: 70\r\n" + r.getFromHeader().toString().strip() + "\r\n"
                + to.getToHeader().toString().strip()
                + "\r\nCall-ID: " + r.getCallId().getCallId() + "\r\nCSeq: "
                + r.getCSeq().getSeqNumber()
                + " ACK\r\nContent-Length: 0\r\n\r\n");
    }

    private static String line(String method, SIPRequest r) {
        return method + " " + r.getRequestURI() + " SIP/2.0\r\n";
    }

    private static String value(String header) {
        return header.substring(header.indexOf(':') + 1).strip();
    }

    /** The way is broken: what is open over it has failed. */
    public void broken(Flow flow) {
        for (ClientTransaction t : new ArrayList<>(clients.values())) {
            if (t.flow() == flow) {
                t.broken();
            }
        }
    }

    public void received(SIPMessage m, Flow from) {
        if (m instanceof SIPResponse r) {
            response(r);
        } else {
            request((SIPRequest) m, from);
        }
    }

    private void response(SIPResponse r) {
        ClientTransaction t =
                clients.get(clientKey(r.getTopmostVia(), r.getCSeq().getMethod()));
        if (t != null && t.heard(r)) { // one that nobody waits for is dropped: a B2BUA has no one to pass it to
            sendCancel(t);
        }
    }

    private void request(SIPRequest r, Flow from) {
        String method = r.getMethod();
        Via via = r.getTopmostVia();
        String key = serverKey(r, method.equals("ACK") ? "INVITE" : method);
        ServerTransaction known = servers.get(key);
        if (method.equals("ACK")) {
            ServerTransaction ok = r.getToTag() == null
                    ? null
                    : unacked.remove(Dialog.name(r.getCallId().getCallId(), r.getToTag()));
            if (ok != null) {
                ok.confirmed();
                user.acked(r);
            } else if (known != null) {
                known.acked();
            }
            return;
        }
        if (known != null) {
            known.again();
            return;
        }
        String fork = r.getFromTag() + " " + r.getCallId().getCallId() + " " + r.getCSeq();
        boolean invite = method.equals("INVITE");
        ServerTransaction[] mine = new ServerTransaction[1];
        ServerTransaction t = new ServerTransaction(r, from, timers, count, () -> {
            servers.remove(key);
            if (invite) {
                forks.remove(fork, key);
                unacked.remove(mine[0].dialog(), mine[0]);
            }
        });
        mine[0] = t;
        servers.put(key, t);
        if (method.equals("CANCEL")) {
            ServerTransaction cancelled = servers.get(serverKey(r, "INVITE"));
            t.answer(response(r, cancelled == null ? 481 : 200, cancelled == null ? null : "cancelled"));
            if (cancelled != null && cancelled.finalStatus() == 0) {
                user.cancelled(cancelled);
            }
            return;
        }
        if (invite && r.getToTag() == null && forks.putIfAbsent(fork, key) != null) {
            t.answer(response(r, 482, "merged")); // the same call by another way (section 8.2.2.2)
            return;
        }
        if (r.getMaxForwards() != null && r.getMaxForwards().getMaxForwards() == 0 && !method.equals("OPTIONS")) {
            t.answer(response(r, 483, "loop"));
            return;
        }
        if (invite) {
            t.answer(response(r, 100, null));
        }
        user.request(t);
    }

    /** Remembers that this 2xx waits for its ACK in the dialog that the tag names. */
    public void awaitsAck(ServerTransaction invite, String tag) {
        invite.in(Dialog.name(invite.request().getCallId().getCallId(), tag));
        unacked.put(invite.dialog(), invite);
    }

    /** A response to a request (section 8.2.6), with a tag of ours where it has none and one is given. */
    public static SIPResponse response(SIPRequest r, int status, String tag) {
        SIPResponse out = r.createResponse(status);
        if (tag != null && r.getToTag() == null) {
            out.setToTag(tag);
        }
        return out;
    }

    private static String clientKey(Via via, String method) {
        return via.getBranch().toLowerCase(Locale.ROOT) + " " + method;
    }

    /** Section 17.2.3; where the branch is none of RFC 3261's, what stood for it in RFC 2543. */
    private static String serverKey(SIPRequest r, String method) {
        Via via = r.getTopmostVia();
        if (via.getBranch().toLowerCase(Locale.ROOT).startsWith(COOKIE.toLowerCase(Locale.ROOT))) {
            return via.getBranch().toLowerCase(Locale.ROOT) + " " + SipText.sentBy(via) + " " + method;
        }
        return String.join(
                " ",
                List.of(
                        "2543",
                        String.valueOf(r.getRequestURI()),
                        r.getFromTag(),
                        r.getCallId().getCallId(),
                        Long.toString(r.getCSeq().getSeqNumber()),
                        via.encode(),
                        method));
    }
}
