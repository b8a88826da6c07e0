package walnutfield.standin.day;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Starts the gateways of a rehearsal, whatever they are. */
public interface Rig {
    /** A gateway that runs. */
    interface Running {
        int port();

        /** Where calls go; 0 for nowhere. */
        default int sipPort() {
            return 0;
        }

        /** Ends at once. */
        void kill() throws IOException;

        /** Stands still for so long. */
        void stall(double ms);

        /** Takes nothing new, answers what it holds, ends. */
        void drain(double mostMs) throws IOException;
    }

    /**
     * @param me      its number, from 0
     * @param service where the list of hosts is
     */
    Running start(String name, int me, InetSocketAddress service) throws IOException;
}
