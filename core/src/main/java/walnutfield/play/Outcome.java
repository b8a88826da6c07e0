package walnutfield.play;

/** How a leg ended. */
public enum Outcome {
    SERVED(false),
    FAILED(false),
    @PrintedName("TURNED_AWAY")
    REJECTED(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    @PrintedName("BROKEN_OFF")
    CONNECTION_LOST(false),
    @PrintedName("CALLED_OFF")
    CANCELLED(false),
    NOT_SENT(true);

    /** Whether the outcome proves that the leg never ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
