package walnutfield.gateway;

/** One who asked for a play and waits to be answered, by whatever protocol; it is answered once. */
interface Asker {
    /** Answered, or gone. */
    boolean isDone();

    /** Run, from any thread, where it goes before its answer. */
    void onGone(Runnable what);

    /**
     * The play is there.
     *
     * @param play as its host knows it
     * @param body what the front tells of it
     */
    void serve(String play, String body);

    /**
     * It is not.
     *
     * @param status    of HTTP (RFC 9110), which others put into their own
     * @param play      null where none was taken
     * @param holdOffMs when to come again, for a 503
     */
    void refuse(int status, String play, double holdOffMs);
}
