package walnutfield.sip;

import gov.nist.javax.sip.message.SIPMessage;
import gov.nist.javax.sip.message.SIPRequest;
import gov.nist.javax.sip.message.SIPResponse;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** One element with a clock that the test moves, and a wire that only notes what is sent. */
final class Wire implements Transactions.User, Flow, Timers.Runner {
    private record Due(double at, long order, Runnable what) {}

    final List<String> sent = new ArrayList<>(); // "time first line"
    final List<SIPMessage> messages = new ArrayList<>();
    final List<String> told = new ArrayList<>();
    final Transactions element;
    private final boolean reliable;
    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
    private double now;
    private long order;
    ServerTransaction last;

    Wire(boolean reliable) {
        this.reliable = reliable;
        element = new Transactions(new Timers(500, 4000, 5000, this), this);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public void at(double time, Runnable what) {
        due.add(new Due(time, order++, what));
    }

    void pass(double ms) {
        double until = now + ms;
        while (!due.isEmpty() && due.peek().at() <= until) {
            Due d = due.poll();
            now = d.at();
            d.what().run();
        }
        now = until;
    }

    @Override
    public boolean isReliable() {
        return reliable;
    }

    @Override
    public InetSocketAddress remote() {
        return new InetSocketAddress("127.0.0.1", 5060);
    }

    @Override
    public void send(byte[] message) {
        String text = new String(message, StandardCharsets.UTF_8);
        SIPMessage m = SipText.own(text);
        messages.add(m);
        String what = m instanceof SIPRequest r ? r.getMethod() : Integer.toString(((SIPResponse) m).getStatusCode());
        sent.add((long) now + " " + what);
    }

    @Override
    public void request(ServerTransaction t) {
        last = t;
        told.add((long) now + " " + t.request().getMethod());
    }

    @Override
    public void cancelled(ServerTransaction invite) {
        told.add((long) now + " cancelled");
    }

    @Override
    public void acked(SIPRequest ack) {
        told.add((long) now + " acked");
    }

    ClientTransaction.User user() {
        return new ClientTransaction.User() {
            @Override
            public void provisional(SIPResponse r) {
                told.add((long) now + " " + r.getStatusCode());
            }

            @Override
            public void done(SIPResponse r) {
                told.add((long) now + " done " + r.getStatusCode());
            }

            @Override
            public void failed(boolean heard) {
                told.add((long) now + " failed " + heard);
            }

            @Override
            public void again(SIPResponse r) {
                told.add((long) now + " again " + r.getStatusCode());
            }
        };
    }

    static SIPRequest request(String method, String branch, String callId, String toTag) {
        return (SIPRequest) SipText.own(
                method + " sip:7@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK" + branch
                        + "\r\nMax-Forwards: 70\r\nFrom: <sip:1@a>;tag=f\r\nTo: <sip:7@b>"
                        + (toTag == null ? "" : ";tag=" + toTag)
                        + "\r\nCall-ID: " + callId + "\r\nCSeq: 1 " + method
                        + "\r\nContact: <sip:1@127.0.0.1:5070>\r\nContent-Length: 0\r\n\r\n");
    }

    void receive(SIPMessage m) {
        element.received(m, this);
    }
}
