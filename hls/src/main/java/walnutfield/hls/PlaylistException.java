package walnutfield.hls;

/** A text that is no playlist; the message names the line and the reason. */
public final class PlaylistException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int line;

    PlaylistException(int line, String reason) {
        super("line " + line + ": " + reason);
        this.line = line;
    }

    /** The line, from 1. */
    public int line() {
        return line;
    }
}
