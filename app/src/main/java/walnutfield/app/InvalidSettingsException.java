package walnutfield.app;

/** Settings that are refused as a whole: file, line, reason. */
final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
    }
}
