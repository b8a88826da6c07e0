package walnutfield.hls;

import java.util.List;

/**
 * A multivariant playlist (RFC 8216, section 4.3.4, there named master playlist).
 *
 * @param tags     other tags in their order: EXT-X-MEDIA, EXT-X-SESSION-DATA, EXT-X-I-FRAME-STREAM-INF, ...
 */
public record MultivariantPlaylist(int version, List<Tag> tags, List<Variant> variants) {
    /** EXT-X-STREAM-INF and the URI after it. */
    public record Variant(Attributes attributes, String uri) {
        /** BANDWIDTH: peak bits a second. */
        public long bandwidth() {
            return Long.parseLong(attributes.get("BANDWIDTH").orElse("0"));
        }
    }

    public MultivariantPlaylist {
        tags = List.copyOf(tags);
        variants = List.copyOf(variants);
    }
}
