package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import walnutfield.net.sip.SipNode;
import walnutfield.sip.Flow;
import walnutfield.sip.Malformed;
import walnutfield.sip.Overload;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipText;
import walnutfield.sip.Transactions;

/** A caller or host that answers only when told, and repeats nothing by itself. */
final class SipPeer implements AutoCloseable {
    /** A message that came. */
    record Came(SIPMessage m, Flow from) {
        SIPRequest request() {
            return (SIPRequest) m;
        }

        String what() {
            return m instanceof SIPRequest r
                    ? r.getMethod()
                    : ((SIPResponse) m).getStatusCode() + " " + m.getCSeq().getMethod();
        }
    }

    final BlockingQueue<Came> came = new LinkedBlockingQueue<>();
    final int port;
    private final SipNode node;
    private Flow way;
    volatile boolean silent = true; // it does not answer OPTIONS
    volatile String instance = "one";
    volatile String report; // a field of those answers, with its value
    volatile Overload overload;

    SipPeer(int at) throws IOException {
        node = new SipNode("peer", 100, new SipNode.Receiver() {
            @Override
            public void came(byte[] message, Flow from, int localPort) {
                try {
                    Came c = new Came(SipText.read(message), from);
                    if (!c.what().equals("OPTIONS")) {
                        came.add(c);
                    } else if (!silent) {
                        live(c);
                    }
                } catch (Malformed e) {
                    throw new IllegalStateException(new String(message, StandardCharsets.UTF_8), e);
                }
            }

            @Override
            public void broken(Flow flow) {}
        });
        port = node.bind(at, false);
    }

    private void live(Came options) {
        SIPResponse r = Transactions.response(options.request(), 200, "o");
        SipText.add(r, Calls.INSTANCE, instance);
        if (report != null) {
            SipText.add(r, report.substring(0, report.indexOf(':')), report.substring(report.indexOf(':') + 1));
        }
        if (overload != null) {
            overload.write(r.getTopmostVia());
        }
        options.from().send(SipText.write(r));
    }

    SipPeer to(int gateway) {
        way = node.datagrams(port, new InetSocketAddress("127.0.0.1", gateway));
        return this;
    }

    SipPeer over(int gateway) throws IOException {
        way = node.connect(new InetSocketAddress("127.0.0.1", gateway), 2000);
        return this;
    }

    String invite(String call, String band, int who) {
        return invite(call, band, who, "", Sdp.of("127.0.0.1", 4000, 1, 100_000));
    }

    String invite(String call, String band, int who, String fields, String body) {
        return request("INVITE", call, 1, "sip:7@gw;band=" + band, who, "", fields, body);
    }

    String request(
            String method, String call, int number, String uri, int who, String toTag, String fields, String body) {
        return method + " " + uri + " SIP/2.0\r\nVia: SIP/2.0/" + (way.isReliable() ? "TCP" : "UDP") + " 127.0.0.1:"
                + port
                + ";branch=z9hG4bK" + call
                + (method.equals("CANCEL") || method.equals("INVITE") ? number : method + number)
                + "\r\nMax-Forwards: 70\r\nFrom: <sip:" + who + "@c>;tag=f" + call + "\r\nTo: <sip:7@gw>" + toTag
                + "\r\nCall-ID: " + call
                + "\r\nCSeq: " + number + " " + method + "\r\nContact: <sip:" + who + "@127.0.0.1:" + port + ">\r\n"
                + fields
                + SipText.end(body);
    }

    /** A request in the dialog that this 200 made. */
    String within(String method, Came ok, int number, String body) {
        return request(
                method,
                ok.m().getCallId().getCallId(),
                number,
                "sip:gw@127.0.0.1",
                1,
                ";tag=" + ok.m().getToTag(),
                "",
                body);
    }

    void send(String text) {
        way.send(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers a request that came, with a field or none, and a description or none. */
    void answer(Came c, int status, String field, String value, String body) {
        SIPResponse r = Transactions.response(c.request(), status, "h" + port);
        if (field != null) {
            SipText.add(r, field, value);
        }
        SipText.add(r, "Contact", "<sip:host@127.0.0.1:" + port + ">");
        if (!body.isEmpty()) {
            SipText.describe(r, body);
        }
        c.from().send(SipText.write(r));
    }

    /** A host's 200, after which its dialog is acknowledged. */
    void serve(Came invite) throws InterruptedException {
        answer(invite, 200, Calls.INSTANCE, "one", Sdp.of("127.0.0.1", port, 1, 800));
        next("ACK");
    }

    /** The next message of that kind; others are set aside. */
    Came next(String what) throws InterruptedException {
        for (StringBuilder seen = new StringBuilder(); ; ) {
            Came c = came.poll(5, TimeUnit.SECONDS);
            if (c == null) {
                throw new AssertionError("no " + what + " came, but" + seen);
            }
            if (c.what().startsWith(what)) {
                return c;
            }
            seen.append(' ').append(c.what());
        }
    }

    /** Whether one of that kind comes within so long. */
    boolean hears(String what, long ms) throws InterruptedException {
        long until = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < until) {
            Came c = came.poll(20, TimeUnit.MILLISECONDS);
            if (c != null && c.what().startsWith(what)) {
                return true;
            }
        }
        return false;
    }

    void ack(Came ok) {
        send(within("ACK", ok, 1, ""));
    }

    @Override
    public void close() throws IOException {
        node.close();
    }
}
