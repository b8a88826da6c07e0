package walnutfield.gateway;

import gov.nist.javax.sip.message.SIPResponse;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import walnutfield.desk.Call;
import walnutfield.play.LoadReport;
import walnutfield.play.PlayId;
import walnutfield.sip.ClientTransaction;
import walnutfield.sip.SipText;

/**
 * Monitors one media host on behalf of all calls there: OPTIONS requests check that the host responds and that it is
 * still the same instance (process lifetime) that the calls belong to. Monitoring ends with the last of the calls.
 */
final class HostWatch {
    private static final int CHECKS_PER_TIMEOUT = 4; // OPTIONS requests sent within the silence timeout

    private final Calls calls;
    private final InetSocketAddress host;
    private final double silenceTimeoutMs;
    private final Set<CallViewing> viewings = new LinkedHashSet<>();
    private double lastResponseAt;

    HostWatch(Calls calls, InetSocketAddress host, double silenceTimeoutMs) {
        this.calls = calls;
        this.host = host;
        this.silenceTimeoutMs = silenceTimeoutMs;
        lastResponseAt = calls.thread.now();
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
        calls.thread.at(calls.thread.now() + silenceTimeoutMs / CHECKS_PER_TIMEOUT, () -> {
            if (viewings.isEmpty()) {
                return;
            }
            if (calls.thread.now() - lastResponseAt >= silenceTimeoutMs) {
                // otherwise the calls would stay on an unresponsive host
                reportLost(null);
            } else {
                calls.options(host, new ClientTransaction.User() {
                    @Override
                    public void done(SIPResponse response) {
                        onResponse(response);
                    }

                    @Override
                    public void failed(boolean heard) {}
                });
                scheduleCheck();
            }
        });
    }

    private void onResponse(SIPResponse response) {
        lastResponseAt = calls.thread.now();
        String instance = SipText.field(response, Calls.INSTANCE);
        if (instance != null) {
            reportLost(instance); // calls of an earlier instance of the host
        }
        CallViewing anyCall = viewings.stream().findFirst().orElse(null);
        if (anyCall == null) {
            return;
        }
        LoadReport load = Calls.load(response);
        if (load != LoadReport.NONE) {
            calls.plays().notifyDesk(new Call.LoadReported(anyCall.host, load));
        }
        double share = Calls.share(response);
        if (!Double.isNaN(share)) {
            calls.plays().notifyDesk(new Call.DeliveredShareReported(anyCall.host, share));
        }
    }

    /** Reports calls of any host instance but the given one as lost, or all calls if it is null. */
    private void reportLost(String liveInstance) {
        for (CallViewing viewing : new ArrayList<>(viewings)) {
            if (liveInstance == null
                    || viewing.instance() != null && !viewing.instance().equals(liveInstance)) {
                PlayId play = viewing.play;
                calls.plays().broke(viewing, play);
            }
        }
    }
}
