package walnutfield.app;

/** Thrown for a settings file or script that is rejected as a whole; the message has the file, line and reason. */
final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * @param line line number in the file; 0 where the fault belongs to no line
     */
    InvalidSettingsException(String file, int line, String reason) {
        super(file + ":" + line + ": " + reason);
    }
}
