package walnutfield.play;

/** How a leg ended. */
public enum Outcome {
    SERVED(false),
    FAILED(false),
    TURNED_AWAY(true),
    TIMED_OUT(false),
    UNREACHABLE(true),
    BROKEN_OFF(false),
    CALLED_OFF(false),
    NOT_SENT(true);

    /** Whether it proves that the leg never ran. */
    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
