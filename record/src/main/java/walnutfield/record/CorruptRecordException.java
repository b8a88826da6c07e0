package walnutfield.record;

import java.io.IOException;

/**
 * Thrown where a record is damaged and cannot be read any further. The message names the offset, in bytes, of the
 * first frame that is not intact.
 */
public final class CorruptRecordException extends IOException {
    private static final long serialVersionUID = 1L;
    private final long offset;

    CorruptRecordException(long offset, String reason) {
        super("offset " + offset + ": " + reason);
        this.offset = offset;
    }

    /**
     * The same damage with the file named in the message.
     *
     * @param filePrefix put before the message of the cause
     */
    public CorruptRecordException(String filePrefix, CorruptRecordException cause) {
        super(filePrefix + cause.getMessage());
        offset = cause.offset;
    }

    /** The offset of the damage, in bytes from the beginning of the file. */
    public long offset() {
        return offset;
    }
}
