package walnutfield.app;

/** Settings that are refused as a whole: file, line, reason. */
final class BadSettings extends Exception {
    private static final long serialVersionUID = 1L;

    BadSettings(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
    }
}
