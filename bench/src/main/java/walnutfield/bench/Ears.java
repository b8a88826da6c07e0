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

/** Gives each instance's desk a listener, told how the desk is made, and is told when the instance is over. */
public interface Ears {
    /** Nobody listens. */
    Ears NONE = (instance, post, ladder, links, legs, cold, sheds, reports, moves, shares) -> null;

    /** The listener of an instance that starts; null for none. */
    Listener of(
            int instance,
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy legs,
            SlowStartPolicy cold,
            SheddingPolicy sheds,
            LoadReportSettings reports,
            MoveCosts moves,
            List<TenantQuota> shares)
            throws IOException;
}
