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
 * The calls on one host, which is asked by OPTIONS for all of them together whether it still lives, and in the life that
 * they are part of. It ends with the last of them.
 */
final class HostWatch {
    private static final int ASKED_IN_SILENCE = 4; // so often within the time after which it counts as lost

    private final Calls calls;
    private final InetSocketAddress host;
    private final double silentMs;
    private final Set<CallViewing> on = new LinkedHashSet<>();
    private double heardAt;

    HostWatch(Calls calls, InetSocketAddress host, double silentMs) {
        this.calls = calls;
        this.host = host;
        this.silentMs = silentMs;
        heardAt = calls.thread.now();
        later();
    }

    void add(CallViewing v) {
        on.add(v);
    }

    /** True where it was the last. */
    boolean remove(CallViewing v) {
        on.remove(v);
        return on.isEmpty();
    }

    private void later() {
        calls.thread.at(calls.thread.now() + silentMs / ASKED_IN_SILENCE, () -> {
            if (on.isEmpty()) {
                return;
            }
            if (calls.thread.now() - heardAt
                    >= silentMs) { // guards against calls left on a host that says nothing more
                lost(null);
            } else {
                calls.options(host, new ClientTransaction.User() {
                    @Override
                    public void done(SIPResponse r) {
                        heard(r);
                    }

                    @Override
                    public void failed(boolean heard) {}
                });
                later();
            }
        });
    }

    private void heard(SIPResponse r) {
        heardAt = calls.thread.now();
        String instance = SipText.field(r, Calls.INSTANCE);
        if (instance != null) {
            lost(instance); // those of a life before this one
        }
        CallViewing one = on.stream().findFirst().orElse(null);
        if (one == null) {
            return;
        }
        LoadReport load = Calls.load(r);
        if (load != LoadReport.NONE) {
            calls.plays().tell(new Call.LoadReported(one.host, load));
        }
        double share = Calls.share(r);
        if (!Double.isNaN(share)) {
            calls.plays().tell(new Call.DeliveredShareReported(one.host, share));
        }
    }

    /** Calls of another life than this are lost; all where it is null. */
    private void lost(String living) {
        for (CallViewing v : new ArrayList<>(on)) {
            if (living == null || v.instance() != null && !v.instance().equals(living)) {
                PlayId play = v.play;
                calls.plays().broke(v, play);
            }
        }
    }
}
