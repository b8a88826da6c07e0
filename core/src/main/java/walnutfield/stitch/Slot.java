package walnutfield.stitch;

/** State of one insert in one viewing, from the time it is planned to its last report. */
public final class Slot {
    /** Progress of the insert. */
    public enum State {
        PLANNED,
        REQUESTED,
        PLACED,
        STARTED,
        COMPLETED,
        DROPPED
    }

    final Insert insert;
    int number;
    State state = State.PLANNED;
    double deadline = Double.POSITIVE_INFINITY; // time until which the viewing may wait for the insert, in ms
    int requests;
    int hostLossRetries;
    boolean hasStarted; // reported as started; stays set while the rest is requested again after a host loss

    Slot(Insert insert) {
        this.insert = insert;
    }

    public Insert insert() {
        return insert;
    }

    /** Its number in its viewing, from 0. */
    public int number() {
        return number;
    }

    public State state() {
        return state;
    }

    /** Whether it has had its last report. */
    public boolean isFinished() {
        return state == State.COMPLETED || state == State.DROPPED;
    }
}
