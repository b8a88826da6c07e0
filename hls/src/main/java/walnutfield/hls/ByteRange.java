package walnutfield.hls;

/**
 * The value of EXT-X-BYTERANGE (RFC 8216, section 4.3.2.2).
 *
 * @param length in bytes
 * @param offset of the first byte; -1 where the range follows that of the preceding segment
 */
public record ByteRange(long length, long offset) {
    /** The range as the value of the tag. */
    @Override
    public String toString() {
        return offset < 0 ? Long.toString(length) : length + "@" + offset;
    }
}
