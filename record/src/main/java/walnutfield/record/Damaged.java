package walnutfield.record;

import java.io.IOException;

/** A record that cannot be read on; the message names the offset, in bytes, of the first frame that is not whole. */
public final class Damaged extends IOException {
    private static final long serialVersionUID = 1L;
    private final long offset;

    Damaged(long offset, String reason) {
        super("offset " + offset + ": " + reason);
        this.offset = offset;
    }

    /** The same of a named file. */
    public Damaged(String file, Damaged of) {
        super(file + of.getMessage());
        offset = of.offset;
    }

    /** Bytes from the beginning of the file. */
    public long offset() {
        return offset;
    }
}
