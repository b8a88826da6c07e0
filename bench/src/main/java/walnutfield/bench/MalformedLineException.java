package walnutfield.bench;

/** Signals an input line that violates the line protocol; the message says what is wrong with it. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}
