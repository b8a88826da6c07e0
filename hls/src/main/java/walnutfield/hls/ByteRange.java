package walnutfield.hls;

/**
 * EXT-X-BYTERANGE (RFC 8216, section 4.3.2.2).
 *
 * @param length bytes
 * @param offset of the first one; -1 where it follows the range before
 */
public record ByteRange(long length, long offset) {
    @Override
    public String toString() {
        return offset < 0 ? Long.toString(length) : length + "@" + offset;
    }
}
