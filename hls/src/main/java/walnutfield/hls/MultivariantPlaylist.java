package walnutfield.hls;

import java.util.List;

/**
 * A multivariant playlist (called master playlist in RFC 8216, section 4.3.4).
 *
 * @param version  EXT-X-VERSION; 1 where the tag is absent
 * @param tags     all other tags in their order: EXT-X-MEDIA, EXT-X-SESSION-DATA, EXT-X-I-FRAME-STREAM-INF, ...
 * @param variants the variant streams in their order
 */
public record MultivariantPlaylist(int version, List<Tag> tags, List<Variant> variants) {
    /**
     * A variant stream.
     *
     * @param attributes of its EXT-X-STREAM-INF
     * @param uri        of its media playlist
     */
    public record Variant(Attributes attributes, String uri) {
        /** BANDWIDTH: the peak bit rate in bits per second; 0 where it is absent. */
        public long bandwidth() {
            return Long.parseLong(attributes.get("BANDWIDTH").orElse("0"));
        }
    }

    public MultivariantPlaylist {
        tags = List.copyOf(tags);
        variants = List.copyOf(variants);
    }
}
