package walnutfield.play;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RandomSourceTest {
    /**
     * Guards against correlated draws: with an unmixed checksum a small draw made a small draw of another instance, or
     * the next one, twice as likely. Given are the seeds of two instances and by how many draws the second is ahead.
     */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "1, 1, 2", "1, 2, 0", "77, 1077, 1", "9876543210, -5, 0"})
    void smallDrawsAreIndependent(long firstSeed, long secondSeed, int ahead) {
        int both = 0;
        for (long step = 0; step < 400; step++) {
            RandomSource first = new RandomSource(firstSeed + step * 0x9E3779B97F4A7C15L),
                    second = new RandomSource(secondSeed + step * 0x9E3779B97F4A7C15L);
            for (int i = 0; i < ahead; i++) {
                second.next();
            }
            for (int i = 0; i < 100; i++) {
                both += first.next() < 0.1 & second.next() < 0.1 ? 1 : 0;
            }
        }
        // Both draws are below 0.1 in 400 of 40,000 pairs; the tolerance is four standard deviations.
        assertEquals(400, both, 80);
    }
}
