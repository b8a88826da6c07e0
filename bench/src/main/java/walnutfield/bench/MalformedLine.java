package walnutfield.bench;

/** A line that is not of the wire; its message says in plain words what is wrong. */
final class MalformedLine extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLine(String what) {
        super(what);
    }
}
