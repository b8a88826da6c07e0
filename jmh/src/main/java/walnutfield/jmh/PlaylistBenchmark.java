package walnutfield.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.hls.PlaylistReader;
import walnutfield.hls.PlaylistWriter;
import walnutfield.hls.Segment;
import walnutfield.hls.Tag;

/** Reads and writes a media playlist with the given number of segments. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class PlaylistBenchmark {
    @Param({"10", "1000"})
    public int segments;

    private MediaPlaylist playlist;
    private String text;

    @Setup
    public void setUp() {
        List<Segment> allSegments = new ArrayList<>();
        for (int i = 0; i < segments; i++) {
            allSegments.add(new Segment(
                    "http://127.0.0.1:8000/media/7/2/" + i + ".ts?session=gw0.abc-17",
                    6,
                    "",
                    null,
                    i % 50 == 0,
                    i == 0 ? List.of(new Tag("EXT-X-KEY", "METHOD=AES-128,URI=\"k\"")) : List.of()));
        }
        playlist = new MediaPlaylist(3, 6, 0, 0, MediaPlaylist.Type.EVENT, List.of(), allSegments, true);
        text = PlaylistWriter.write(playlist);
    }

    @Benchmark
    public String write() {
        return PlaylistWriter.write(playlist);
    }

    @Benchmark
    public MediaPlaylist read() throws PlaylistException {
        return PlaylistReader.media(text);
    }
}
