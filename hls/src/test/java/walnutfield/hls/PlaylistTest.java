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
    private static final String MEDIA_HEADER = "#EXTM3U\n#EXT-X-TARGETDURATION:4\n";

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
    void errorInAMediaPlaylistNamesLineAndReason(String escapedText, String expectedMessage) {
        String text = escapedText.replace('~', '\n');
        PlaylistException e = assertThrows(PlaylistException.class, () -> PlaylistReader.media(text));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
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
    void errorInAMultivariantPlaylistNamesLineAndReason(String escapedText, String expectedMessage) {
        String text = escapedText.replace('~', '\n');
        PlaylistException e = assertThrows(PlaylistException.class, () -> PlaylistReader.multivariant(text));
        assertTrue(e.getMessage().contains(expectedMessage), e.getMessage());
    }

    @Test
    void unknownTagsAndQuotedCommasAreKept() throws PlaylistException {
        String text = MEDIA_HEADER + "#EXT-X-WHAT:a,b\n#EXT-X-KEY:METHOD=AES-128,URI=\"k,1\",IV=0x1\n#EXTINF:4,one\n"
                + "#EXT-X-BYTERANGE:10@5\nhttp://h/a.ts\n#EXT-X-DISCONTINUITY\n#EXT-X-ODD\n#EXTINF:3.5,\nb.ts\n";
        MediaPlaylist playlist = PlaylistReader.media(text);
        assertEquals(text, PlaylistWriter.write(playlist));
        assertEquals("k,1", playlist.keysAt(1).get(0).attributes().get("URI").orElse(""));
        assertEquals(
                List.of(new Tag("EXT-X-ODD", null)), playlist.segments().get(1).tags());
    }

    @Test
    void byteRangeWithoutOffsetGetsTheOffsetAfterThePrecedingRanges() throws PlaylistException {
        MediaPlaylist playlist =
                PlaylistReader.media(MEDIA_HEADER + "#EXTINF:1,\n#EXT-X-BYTERANGE:10@5\na\n#EXTINF:1,\n"
                        + "#EXT-X-BYTERANGE:7\na\n#EXTINF:1,\n#EXT-X-BYTERANGE:3\na\n");
        assertEquals(new ByteRange(3, 22), playlist.rangeAt(2));
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
                .as((version, mediaSequence, discontinuitySequence, type, tags, segments, ended) -> new MediaPlaylist(
                        version, 4, mediaSequence, discontinuitySequence, type, tags, segments, ended));
    }

    @Property(tries = 300, seed = "7")
    void writtenPlaylistReadsBackEqual(@ForAll("playlists") MediaPlaylist playlist) throws PlaylistException {
        assertEquals(playlist, PlaylistReader.media(PlaylistWriter.write(playlist)));
    }

    /** With any one character replaced, a playlist is either read or rejected with a line number. */
    @Property(tries = 500, seed = "7")
    void corruptedPlaylistIsReadOrRejectedWithItsLine(
            @ForAll("playlists") MediaPlaylist playlist, @ForAll int position, @ForAll char replacement) {
        StringBuilder text = new StringBuilder(PlaylistWriter.write(playlist));
        text.setCharAt(Math.floorMod(position, text.length()), replacement);
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

    /** An independent parser finds the same values in a written playlist. */
    @Test
    void independentParserAgreesWithTheReader() throws Exception {
        String text = MEDIA_HEADER + "#EXT-X-MEDIA-SEQUENCE:7\n#EXT-X-PLAYLIST-TYPE:EVENT\n#EXTINF:4,\nhttp://h/a.ts\n"
                + "#EXT-X-DISCONTINUITY\n#EXT-X-KEY:METHOD=AES-128,URI=\"k\"\n#EXTINF:3.25,\nb.ts\n#EXT-X-ENDLIST\n";
        MediaPlaylist expected = PlaylistReader.media(text);
        var parsed = new MediaPlaylistParser().readPlaylist(PlaylistWriter.write(expected));
        assertEquals(expected.mediaSequence(), parsed.mediaSequence());
        assertEquals(expected.segments().size(), parsed.mediaSegments().size());
        assertEquals(3.25, parsed.mediaSegments().get(1).duration());
        assertTrue(parsed.mediaSegments().get(1).discontinuity());
        assertTrue(!parsed.ongoing());
    }
}
