package walnutfield.hls;

/**
 * A tag as written.
 *
 * @param name  with EXT and without '#', such as {@code EXT-X-KEY}
 * @param value what stands after the colon; null where there is none
 */
public record Tag(String name, String value) {
    /** Its value as an attribute list; empty where it is none. */
    public Attributes attributes() {
        try {
            return value == null ? Attributes.NONE : Attributes.parse(value, 0);
        } catch (PlaylistException e) {
            return Attributes.NONE;
        }
    }

    @Override
    public String toString() {
        return '#' + name + (value == null ? "" : ':' + value);
    }
}
