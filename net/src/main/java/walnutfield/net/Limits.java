package walnutfield.net;

/**
 * What one server takes at most.
 *
 * @param connections open at once; more are closed at once
 * @param headerBytes of a request line and its fields
 * @param headerCount fields of a request
 * @param bodyBytes   of a request's body
 * @param requestMs   a request must be whole so long after its first byte
 * @param idleMs      a connection with nothing to do is closed after this
 * @param unreadMs    a peer that takes nothing of what waits for it is cut off after this
 * @param pipelined   requests that may wait behind one that is not yet answered
 */
public record Limits(
        int connections,
        int headerBytes,
        int headerCount,
        int bodyBytes,
        double requestMs,
        double idleMs,
        double unreadMs,
        int pipelined) {}
