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

/** A SIP element on a clock that the test advances. It records the messages that it sends and the events it reports. */
final class SimulatedElement implements Transactions.User, Flow, Timers.Scheduler {
    private record ScheduledTask(double at, long order, Runnable task) {}

    final List<String> sent = new ArrayList<>(); // "<time> <method or status>"
    final List<SIPMessage> sentMessages = new ArrayList<>();
    final List<String> events = new ArrayList<>(); // "<time> <event>", as reported to the transaction user
    final Transactions transactions;
    private final boolean reliable;
    private final PriorityQueue<ScheduledTask> scheduled =
            new PriorityQueue<>(Comparator.comparingDouble(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private double now;
    private long order;
    ServerTransaction lastTransaction; // of the last request reported

    SimulatedElement(boolean reliable) {
        this.reliable = reliable;
        transactions = new Transactions(new Timers(500, 4000, 5000, this), this);
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timers.Cancellation schedule(double time, Runnable task) {
        ScheduledTask scheduledTask = new ScheduledTask(time, order++, task);
        scheduled.add(scheduledTask);
        return () -> scheduled.remove(scheduledTask);
    }

    /** Returns the number of tasks that are yet to run. */
    int scheduledTasks() {
        return scheduled.size();
    }

    /** Advances the clock and runs the tasks that fall due. */
    void advance(double ms) {
        double until = now + ms;
        while (!scheduled.isEmpty() && scheduled.peek().at() <= until) {
            ScheduledTask next = scheduled.poll();
            now = next.at();
            next.task().run();
        }
        now = until;
    }

    @Override
    public boolean isReliable() {
        return reliable;
    }

    @Override
    public InetSocketAddress remoteAddress() {
        return new InetSocketAddress("127.0.0.1", 5060);
    }

    @Override
    public void send(byte[] message) {
        String text = new String(message, StandardCharsets.UTF_8);
        SIPMessage parsed = SipCodec.parseOwn(text);
        sentMessages.add(parsed);
        String summary = parsed instanceof SIPRequest request
                ? request.getMethod()
                : Integer.toString(((SIPResponse) parsed).getStatusCode());
        sent.add((long) now + " " + summary);
    }

    @Override
    public void onRequest(ServerTransaction transaction) {
        lastTransaction = transaction;
        events.add((long) now + " " + transaction.request().getMethod());
    }

    @Override
    public void onCancel(ServerTransaction invite) {
        events.add((long) now + " cancelled");
    }

    @Override
    public void onAck(SIPRequest ack) {
        events.add((long) now + " acked");
    }

    /** A transaction user that records all events. */
    ClientTransaction.User user() {
        return new ClientTransaction.User() {
            @Override
            public void onProvisional(SIPResponse response) {
                events.add((long) now + " " + response.getStatusCode());
            }

            @Override
            public void onFinalResponse(SIPResponse response) {
                events.add((long) now + " done " + response.getStatusCode());
            }

            @Override
            public void onFailure(boolean provisionalReceived) {
                events.add((long) now + " failed " + provisionalReceived);
            }

            @Override
            public void onFurther2xx(SIPResponse response) {
                events.add((long) now + " again " + response.getStatusCode());
            }
        };
    }

    /** A request with CSeq 1; requests with the same branch and method belong to one transaction. */
    static SIPRequest request(String method, String branch, String callId, String toTag) {
        return (SIPRequest) SipCodec.parseOwn(
                method + " sip:7@127.0.0.1 SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.0.1:5070;branch=z9hG4bK" + branch
                        + "\r\nMax-Forwards: 70\r\nFrom: <sip:1@a>;tag=f\r\nTo: <sip:7@b>"
                        + (toTag == null ? "" : ";tag=" + toTag)
                        + "\r\nCall-ID: " + callId + "\r\nCSeq: 1 " + method
                        + "\r\nContact: <sip:1@127.0.0.1:5070>\r\nContent-Length: 0\r\n\r\n");
    }

    void receive(SIPMessage message) {
        transactions.receive(message, this);
    }
}
