package walnutfield.hls;

/**
 * A tag as written in a playlist.
 *
 * @param name  without the leading '#', such as {@code EXT-X-KEY}
 * @param value the text after the first colon; null if the tag has no colon
 */
public record Tag(String name, String value) {
    /** The value as an attribute list; empty if it is missing or is no attribute list. */
    public Attributes attributes() {
        try {
            return value == null ? Attributes.NONE : Attributes.parse(value, 0);
        } catch (PlaylistException e) {
            return Attributes.NONE;
        }
    }

    /** The tag as a line of a playlist, without the line end. */
    @Override
    public String toString() {
        return '#' + name + (value == null ? "" : ':' + value);
    }
}
