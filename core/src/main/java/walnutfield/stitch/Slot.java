package walnutfield.stitch;

/** State of one insert in one viewing, from its plan to its last report. */
public final class Slot {
    /** Where it stands. */
    public enum State {
        PLANNED,
        ASKED,
        PLACED,
        STARTED,
        COMPLETED,
        DROPPED
    }

    final Insert insert;
    int number;
    State state = State.PLANNED;
    double deadline = Double.POSITIVE_INFINITY; // until then it may be waited for
    int asks;
    int resumes;
    boolean begun; // reported as started: it may be asked for again where its host is lost

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
    public boolean isOver() {
        return state == State.COMPLETED || state == State.DROPPED;
    }
}
