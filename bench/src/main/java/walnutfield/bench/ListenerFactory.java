package walnutfield.bench;

import java.io.IOException;
import java.util.List;
import walnutfield.desk.Listener;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantQuota;

/** Creates a listener for the desk of each instance, from the settings that the desk is constructed with. */
public interface ListenerFactory {
    /** Creates no listeners. */
    ListenerFactory NONE =
            (instance, identity, ladder, links, retryPolicy, slowStart, shedding, loadReports, moveCosts, quotas) ->
                    null;

    /** Returns the listener of an instance that is being started; null for none. */
    Listener create(
            int instance,
            GatewayIdentity identity,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy retryPolicy,
            SlowStartPolicy slowStart,
            SheddingPolicy shedding,
            LoadReportSettings loadReports,
            MoveCosts moveCosts,
            List<TenantQuota> quotas)
            throws IOException;
}
