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
import walnutfield.net.sip.SipTransport;
import walnutfield.sip.Flow;
import walnutfield.sip.MalformedMessageException;
import walnutfield.sip.OverloadControl;
import walnutfield.sip.Sdp;
import walnutfield.sip.SipCodec;
import walnutfield.sip.Transactions;

/**
 * A caller or host under the control of a test: it sends a message only when the test says so and retransmits nothing.
 * The exception is OPTIONS, which it answers by itself unless {@link #ignoresOptions} is set.
 */
final class SipPeer implements AutoCloseable {
    /** A received message and the flow on which it arrived. */
    record Received(SIPMessage message, Flow from) {
        SIPRequest request() {
            return (SIPRequest) message;
        }

        /** The method of a request; the status code and the method of a response, as in "200 INVITE". */
        String summary() {
            return message instanceof SIPRequest r
                    ? r.getMethod()
                    : ((SIPResponse) message).getStatusCode() + " "
                            + message.getCSeq().getMethod();
        }
    }

    final BlockingQueue<Received> received = new LinkedBlockingQueue<>(); // all but OPTIONS
    final int port;
    private final SipTransport node;
    private Flow flow;
    volatile boolean ignoresOptions = true;
    volatile String hostInstance = "one"; // null for a host that does not name it
    volatile String reportHeader; // "name: value", added to responses to OPTIONS; null for none
    volatile OverloadControl overload; // added to the Via of responses to OPTIONS; null for none

    SipPeer(int bindPort) throws IOException {
        node = new SipTransport("peer", 100, new SipTransport.Receiver() {
            @Override
            public void onMessage(byte[] bytes, Flow from, int localPort) {
                try {
                    Received message = new Received(SipCodec.parse(bytes), from);
                    if (!message.summary().equals("OPTIONS")) {
                        received.add(message);
                    } else if (!ignoresOptions) {
                        answerOptions(message);
                    }
                } catch (MalformedMessageException e) {
                    throw new IllegalStateException(new String(bytes, StandardCharsets.UTF_8), e);
                }
            }

            @Override
            public void onConnectionClosed(Flow flow) {}
        });
        port = node.bind(bindPort, false);
    }

    private void answerOptions(Received options) {
        SIPResponse response = Transactions.response(options.request(), 200, "o");
        if (hostInstance != null) {
            SipCodec.addHeader(response, SipFront.HOST_INSTANCE_HEADER, hostInstance);
        }
        if (reportHeader != null) {
            SipCodec.addHeader(
                    response,
                    reportHeader.substring(0, reportHeader.indexOf(':')),
                    reportHeader.substring(reportHeader.indexOf(':') + 1));
        }
        if (overload != null) {
            overload.write(response.getTopmostVia());
        }
        options.from().send(SipCodec.encode(response));
    }

    /** Sends to the gateway's port over UDP from now on. */
    SipPeer useUdp(int gatewayPort) {
        flow = node.udpFlow(port, new InetSocketAddress("127.0.0.1", gatewayPort));
        return this;
    }

    /** Sends to the gateway's port over TCP from now on. */
    SipPeer useTcp(int gatewayPort) throws IOException {
        flow = node.connect(new InetSocketAddress("127.0.0.1", gatewayPort), 2000);
        return this;
    }

    String invite(String callId, String trafficClass, int user) {
        return invite(callId, trafficClass, user, "", Sdp.of("127.0.0.1", 4000, 1, 100_000));
    }

    String invite(String callId, String trafficClass, int user, String headers, String body) {
        return request("INVITE", callId, 1, "sip:7@gw;band=" + trafficClass, user, "", headers, body);
    }

    String request(
            String method,
            String callId,
            int sequenceNumber,
            String uri,
            int user,
            String toTag,
            String headers,
            String body) {
        return method + " " + uri + " SIP/2.0\r\nVia: SIP/2.0/" + (flow.isReliable() ? "TCP" : "UDP") + " 127.0.0.1:"
                + port
                + ";branch=z9hG4bK" + callId
                + (method.equals("CANCEL") || method.equals("INVITE") ? sequenceNumber : method + sequenceNumber)
                + "\r\nMax-Forwards: 70\r\nFrom: <sip:" + user + "@c>;tag=f" + callId + "\r\nTo: <sip:7@gw>" + toTag
                + "\r\nCall-ID: " + callId
                + "\r\nCSeq: " + sequenceNumber + " " + method + "\r\nContact: <sip:" + user + "@127.0.0.1:" + port
                + ">\r\n"
                + headers
                + SipCodec.endOfMessage(body);
    }

    /** A request of user 1 within the dialog that this 2xx established. */
    String requestInDialog(String method, Received ok, int sequenceNumber, String body) {
        return request(
                method,
                ok.message().getCallId().getCallId(),
                sequenceNumber,
                "sip:gw@127.0.0.1",
                1,
                ";tag=" + ok.message().getToTag(),
                "",
                body);
    }

    void send(String message) {
        flow.send(message.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Responds to a request.
     *
     * @param header name of an additional header; null for none
     * @param body   session description; empty for none
     */
    void respond(Received request, int status, String header, String value, String body) {
        SIPResponse response = Transactions.response(request.request(), status, "h" + port);
        if (header != null) {
            SipCodec.addHeader(response, header, value);
        }
        SipCodec.addHeader(response, "Contact", "<sip:host@127.0.0.1:" + port + ">");
        if (!body.isEmpty()) {
            SipCodec.setDescription(response, body);
        }
        request.from().send(SipCodec.encode(response));
    }

    /** Accepts an INVITE as a host does, with a 200, and waits for the ACK. */
    void accept(Received invite) throws InterruptedException {
        String instanceHeader = hostInstance == null ? null : SipFront.HOST_INSTANCE_HEADER;
        respond(invite, 200, instanceHeader, hostInstance, Sdp.of("127.0.0.1", port, 1, 800));
        await("ACK");
    }

    /** Waits for the next message whose summary starts so; messages before it are discarded. */
    Received await(String summary) throws InterruptedException {
        for (StringBuilder discarded = new StringBuilder(); ; ) {
            Received message = received.poll(5, TimeUnit.SECONDS);
            if (message == null) {
                throw new AssertionError("no " + summary + " arrived within 5 s; received before:" + discarded);
            }
            if (message.summary().startsWith(summary)) {
                return message;
            }
            discarded.append(' ').append(message.summary());
        }
    }

    /** Whether a message whose summary starts so arrives within this time; messages before it are discarded. */
    boolean receives(String summary, long timeoutMs) throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMs * 1_000_000;
        while (System.nanoTime() < deadline) {
            Received message = received.poll(20, TimeUnit.MILLISECONDS);
            if (message != null && message.summary().startsWith(summary)) {
                return true;
            }
        }
        return false;
    }

    void ack(Received ok) {
        send(requestInDialog("ACK", ok, 1, ""));
    }

    @Override
    public void close() throws IOException {
        node.close();
    }
}
