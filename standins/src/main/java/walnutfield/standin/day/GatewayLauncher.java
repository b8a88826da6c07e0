package walnutfield.standin.day;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Starts the gateways of a rehearsal, of whatever implementation. */
public interface GatewayLauncher {
    /** A running gateway. */
    interface RunningGateway {
        /** Port for play requests over HTTP. */
        int port();

        /** Port for video calls over SIP; 0 if it takes none. */
        default int sipPort() {
            return 0;
        }

        /** Ends the gateway immediately. */
        void kill() throws IOException;

        /** Blocks the gateway for the given time. */
        void stall(double ms);

        /** Admits no new plays, answers those it holds, and ends after at most the given time. */
        void drain(double maxMs) throws IOException;
    }

    /**
     * Starts a gateway.
     *
     * @param index       its number, from 0
     * @param listService address of the list service
     */
    RunningGateway start(String name, int index, InetSocketAddress listService) throws IOException;
}
