package walnutfield.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lindstrom.m3u8.parser.MediaPlaylistParser;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlaylistTest {
    private static final String M = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "#EXTINF:4,|line 1: a playlist begins",
                "#EXTM3U~#EXTINF:4,~a.ts|EXT-X-TARGETDURATION is missing",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~a.ts|line 3: a segment without EXTINF",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXTINF:4.6,~a.ts|line 3: a segment of 4.6 s is over",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXTINF:x,~a.ts|line 3: EXTINF has no duration",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXTINF:1e1,~a.ts|line 3: EXTINF has no duration",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXTINF:4,|EXTINF or EXT-X-BYTERANGE has no segment",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXTINF:4,~#EXT-X-BYTERANGE:a@b~a.ts|line 4: EXT-X-BYTERANGE",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXT-X-KEY:URI=\"k\"~#EXTINF:4,~a.ts|line 3: EXT-X-KEY without METHOD",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXT-X-MAP:URI=\"k~#EXTINF:4,~a.ts|line 3: the value of URI has no closing",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXT-X-PROGRAM-DATE-TIME:noon~#EXTINF:4,~a.ts|line 3: EXT-X-PROGRAM",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXT-X-STREAM-INF:BANDWIDTH=1~a|line 3: EXT-X-STREAM-INF stands in multi",
                "#EXTM3U~#EXT-X-TARGETDURATION:4~#EXT-X-TARGETDURATION:4|line 3: EXT-X-TARGETDURATION comes twice",
                "#EXTM3U~#EXT-X-VERSION:0~#EXT-X-TARGETDURATION:4|line 2: version 0"
            })
    void aWrongLineIsNamed(String text, String reason) {
        String all = text.replace('~', '\n');
        PlaylistException e = assertThrows(PlaylistException.class, () -> PlaylistReader.media(all));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "#EXTM3U~a.m3u8|line 2: a URI without",
                        "#EXTM3U~#EXT-X-STREAM-INF:A=1~a|line 2: EXT-X-STREAM-INF without",
                "#EXTM3U~#EXT-X-STREAM-INF:BANDWIDTH=1|has no URI",
                        "#EXTM3U~#EXT-X-MEDIA:TYPE=AUDIO|line 2: EXT-X-MEDIA needs",
                "#EXTM3U~#EXT-X-STREAM-INF:BANDWIDTH=1,BANDWIDTH=2~a|line 2: BANDWIDTH is given twice"
            })
    void aWrongLineOfAMultivariantPlaylistIsNamed(String text, String reason) {
        String all = text.replace('~', '\n');
        PlaylistException e = assertThrows(PlaylistException.class, () -> PlaylistReader.multivariant(all));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    @Test
    void unknownTagsAndQuotedCommasAreKept() throws PlaylistException {
        String text = M + "#EXT-X-WHAT:a,b\n#EXT-X-KEY:METHOD=AES-128,URI=\"k,1\",IV=0x1\n#EXTINF:4,one\n"
                + "#EXT-X-BYTERANGE:10@5\nhttp://h/a.ts\n#EXT-X-DISCONTINUITY\n#EXT-X-ODD\n#EXTINF:3.5,\nb.ts\n";
        MediaPlaylist p = PlaylistReader.media(text);
        assertEquals(text, PlaylistWriter.write(p));
        assertEquals("k,1", p.keysAt(1).get(0).attributes().get("URI").orElse(""));
        assertEquals(List.of(new Tag("EXT-X-ODD", null)), p.segments().get(1).tags());
    }

    @Test
    void aRangeThatFollowsTheOneBeforeGetsItsOffset() throws PlaylistException {
        MediaPlaylist p = PlaylistReader.media(M + "#EXTINF:1,\n#EXT-X-BYTERANGE:10@5\na\n#EXTINF:1,\n"
                + "#EXT-X-BYTERANGE:7\na\n#EXTINF:1,\n#EXT-X-BYTERANGE:3\na\n");
        assertEquals(new ByteRange(3, 22), p.rangeAt(2));
    }

    @Provide
    Arbitrary<MediaPlaylist> playlists() {
        Arbitrary<String> word = Arbitraries.strings()
                .withCharRange('a', 'z')
                .numeric()
                .ofMinLength(1)
                .ofMaxLength(9);
        Arbitrary<Tag> tag = Arbitraries.oneOf(
                word.map(w -> new Tag("EXT-X-KEY", "METHOD=AES-128,URI=\"" + w + ",\"")),
                word.map(w -> new Tag("EXT-X-MAP", "URI=\"" + w + "\"")),
                word.map(w -> new Tag("EXT-X-GAP", null)),
                Arbitraries.just(new Tag("EXT-X-PROGRAM-DATE-TIME", "2026-05-01T10:00:00.250Z")));
        Arbitrary<ByteRange> range = Arbitraries.longs()
                .between(0, 1L << 40)
                .map(n -> new ByteRange(n, n % 3 - 1))
                .injectNull(0.5);
        Arbitrary<Segment> segment = Combinators.combine(
                        word,
                        Arbitraries.doubles().between(0, 4.4),
                        word,
                        range,
                        Arbitraries.of(true, false),
                        tag.list().ofMaxSize(3))
                .as(Segment::new);
        return Combinators.combine(
                        Arbitraries.integers().between(1, 10),
                        Arbitraries.longs().between(0, 1L << 50),
                        Arbitraries.longs().between(0, 99),
                        Arbitraries.of(MediaPlaylist.Type.class),
                        Arbitraries.of(List.<Tag>of(), List.of(new Tag("EXT-X-INDEPENDENT-SEGMENTS", null))),
                        segment.list().ofMaxSize(20),
                        Arbitraries.of(true, false))
                .as((v, s, d, t, tags, list, end) -> new MediaPlaylist(v, 4, s, d, t, tags, list, end));
    }

    @Property(tries = 300, seed = "7")
    void whatIsWrittenReadsBackEqual(@ForAll("playlists") MediaPlaylist p) throws PlaylistException {
        assertEquals(p, PlaylistReader.media(PlaylistWriter.write(p)));
    }

    /** Whatever is changed in a playlist, it is read or refused by its line. */
    @Property(tries = 500, seed = "7")
    void noTextCrashesTheReader(@ForAll("playlists") MediaPlaylist p, @ForAll int where, @ForAll char c) {
        StringBuilder text = new StringBuilder(PlaylistWriter.write(p));
        text.setCharAt(Math.floorMod(where, text.length()), c);
        for (boolean media : new boolean[] {true, false}) {
            try {
                if (media) {
                    PlaylistReader.media(text.toString());
                } else {
                    PlaylistReader.multivariant(text.toString());
                }
            } catch (PlaylistException e) {
                assertTrue(e.line() >= 1 && e.getMessage().startsWith("line "), e.getMessage());
            }
        }
    }

    /** A reader that is not ours understands what we write. */
    @Test
    void anotherReaderAgrees() throws Exception {
        String text = M + "#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-PLAYLIST-TYPE:EVENT\n#EXTINF:4,\nhttp://h/a.ts\n"
                + "#EXT-X-DISCONTINUITY\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXTINF:3.25,\nb.ts\n#EXT-X-ENDLIST\n";
        MediaPlaylist ours = PlaylistReader.media(text);
        var theirs = new MediaPlaylistParser().readPlaylist(PlaylistWriter.write(ours));
        assertEquals(ours.mediaSequence(), theirs.mediaSequence());
        assertEquals(ours.segments().size(), theirs.mediaSegments().size());
        assertEquals(3.25, theirs.mediaSegments().get(1).duration());
        assertTrue(theirs.mediaSegments().get(1).discontinuity());
        assertTrue(!theirs.ongoing());
    }
}
