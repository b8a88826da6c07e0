package walnutfield.net;

/**
 * Limits of one server.
 *
 * @param maxConnections   open at a time; further ones are closed immediately
 * @param maxHeaderBytes   of a request line and its header section
 * @param maxHeaderFields  of one request
 * @param maxBodyBytes     of one request
 * @param requestTimeoutMs time from a request's first byte until it must be complete
 * @param idleTimeoutMs    time without a request after which a connection is closed
 * @param writeTimeoutMs   time after which the connection of a peer that reads none of the pending response is closed
 * @param maxPipelined     requests that may be queued behind one that is not yet answered
 */
public record Limits(
        int maxConnections,
        int maxHeaderBytes,
        int maxHeaderFields,
        int maxBodyBytes,
        double requestTimeoutMs,
        double idleTimeoutMs,
        double writeTimeoutMs,
        int maxPipelined) {}
