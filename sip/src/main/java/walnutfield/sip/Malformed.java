package walnutfield.sip;

/** A message that is not taken, with the status that its sender may be told. */
public final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    public Malformed(int status, String reason) {
        super(reason);
        this.status = status;
    }

    /** 400, 413, 505 …; RFC 3261, section 21.4. */
    public int status() {
        return status;
    }
}
