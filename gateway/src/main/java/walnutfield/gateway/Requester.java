package walnutfield.gateway;

/** A pending request for a play over any protocol; it is answered exactly once. */
interface Requester {
    /** Returns whether it was answered or its peer has disconnected. */
    boolean isDone();

    /** Registers a callback that runs, on any thread, if the peer disconnects before the answer. */
    void onGone(Runnable callback);

    /**
     * Answers that the play has started.
     *
     * @param sessionId the play's session id at its host
     * @param body      content of the answer in the front's own format
     */
    void serve(String sessionId, String body);

    /**
     * Answers that the play was refused or has failed.
     *
     * @param status       HTTP status (RFC 9110); other protocols map it to their own codes
     * @param sessionId    session id of the play; null if none was admitted
     * @param retryAfterMs delay after which to retry, sent with status 503
     */
    void refuse(int status, String sessionId, double retryAfterMs);
}
