package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import walnutfield.desk.Call;
import walnutfield.play.HostId;
import walnutfield.play.LoadReport;
import walnutfield.play.PlayId;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.SipCodec;

/**
 * Monitors one media host on behalf of all calls there: OPTIONS requests check that the host responds and that it is
 * still the same instance (process lifetime) that the calls belong to. Monitoring ends with the last of the calls.
 */
final class HostMonitor {
    private static final int CHECKS_PER_TIMEOUT = 4; // OPTIONS requests sent within the silence timeout

    private final SipFront calls;
    private final InetSocketAddress host;
    private final double silenceTimeoutMs;
    private final Set<CallViewing> viewings = new LinkedHashSet<>();
    private double lastResponseAt;

    HostMonitor(SipFront calls, InetSocketAddress host, double silenceTimeoutMs) {
        this.calls = calls;
        this.host = host;
        this.silenceTimeoutMs = silenceTimeoutMs;
        lastResponseAt = calls.eventLoop.now();
        scheduleCheck();
    }

    void add(CallViewing viewing) {
        viewings.add(viewing);
    }

    /** Removes a call; returns true if it was the last. */
    boolean remove(CallViewing viewing) {
        viewings.remove(viewing);
        return viewings.isEmpty();
    }

    private void scheduleCheck() {
        calls.eventLoop.schedule(calls.eventLoop.now() + silenceTimeoutMs / CHECKS_PER_TIMEOUT, () -> {
            if (viewings.isEmpty()) {
                return;
            }
            if (calls.eventLoop.now() - lastResponseAt >= silenceTimeoutMs) {
                // otherwise the calls would stay on an unresponsive host
                reportLost(null);
            } else {
                calls.sendOptions(host, new ClientTransaction.User() {
                    @Override
                    public void onFinalResponse(SIPResponse response) {
                        onResponse(response);
                    }

                    @Override
                    public void onFailure(boolean heard) {}
                });
                scheduleCheck();
            }
        });
    }

    private void onResponse(SIPResponse response) {
        lastResponseAt = calls.eventLoop.now();
        String instance = SipCodec.header(response, SipFront.HOST_INSTANCE_HEADER);
        if (instance != null) {
            reportLost(instance); // calls of an earlier instance of the host
        }
        CallViewing anyCall = viewings.stream().findFirst().orElse(null);
        if (anyCall == null) {
            return;
        }
        HostId reporter = calls.plays().reportingHost(anyCall);
        LoadReport load = SipFront.loadReport(response);
        if (load != LoadReport.NONE) {
            calls.plays().notifyDesk(new Call.LoadReported(reporter, load));
        }
        double share = SipFront.deliveredShare(response);
        if (!Double.isNaN(share)) {
            calls.plays().notifyDesk(new Call.DeliveredShareReported(reporter, share));
        }
    }

    /** Reports calls of any host instance but the given one as lost, or all calls if it is null. */
    private void reportLost(String liveInstance) {
        for (CallViewing viewing : new ArrayList<>(viewings)) {
            if (liveInstance == null
                    || viewing.instance() != null && !viewing.instance().equals(liveInstance)) {
                PlayId play = viewing.play;
                calls.plays().onConnectionLost(viewing, play);
            }
        }
    }
}
