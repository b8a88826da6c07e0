package walnutfield.sip;

/** Thrown for a message or session description that is rejected, with the status code of the response to its sender. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /**
     * @param status code of the response to the sender
     * @param reason what was expected or found
     */
    public MalformedMessageException(int status, String reason) {
        super(reason);
        this.status = status;
    }

    /** The status code of the response: 400, 505, 513 and so on (RFC 3261, sections 21.4 and 21.5). */
    public int status() {
        return status;
    }
}
