package walnutfield.hls;

/** Thrown for a text that is not a valid playlist; the message names the line and the reason. */
public final class PlaylistException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int line;

    PlaylistException(int line, String reason) {
        super("line " + line + ": " + reason);
        this.line = line;
    }

    /** The number of the line at fault, from 1. */
    public int line() {
        return line;
    }
}
