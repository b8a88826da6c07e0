package walnutfield.net;

import org.glassfish.grizzly.Transport;
import org.glassfish.grizzly.TransportProbe;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.nio.NIOTransport;

/**
 * The first filter behind the transport: passes each {@link Error} of the filters after it to {@link FatalErrors}.
 * Grizzly only logs what a filter throws, and what ends a run of its selector loop.
 */
public final class ErrorReportingFilter extends BaseFilter {
    /** Reports the errors of a transport's selector loop too. */
    public void observe(NIOTransport transport) {
        transport.getMonitoringConfig().addProbes(new TransportProbe.Adapter() {
            @Override
            public void onErrorEvent(Transport source, Throwable error) {
                FatalErrors.report(error);
            }
        });
    }

    @Override
    public void exceptionOccurred(FilterChainContext ctx, Throwable error) {
        FatalErrors.report(error);
    }
}
