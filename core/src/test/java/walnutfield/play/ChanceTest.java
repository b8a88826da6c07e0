package walnutfield.play;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ChanceTest {
    /** Two instances' seeds, how many draws later the second is asked, and how often both draws are under a tenth. */
    @ParameterizedTest
    @CsvSource({"1, 1, 1", "1, 1, 2", "1, 2, 0", "77, 1077, 1", "9876543210, -5, 0"})
    void smallChancesDoNotComeTogether(long one, long other, int later) {
        int both = 0;
        for (long s = 0; s < 400; s++) {
            RandomSource a = new RandomSource(one + s * 0x9E3779B97F4A7C15L),
                    b = new RandomSource(other + s * 0x9E3779B97F4A7C15L);
            for (int i = 0; i < later; i++) {
                b.next();
            }
            for (int i = 0; i < 100; i++) {
                both += a.next() < 0.1 & b.next() < 0.1 ? 1 : 0;
            }
        }
        assertEquals(400, both, 80); // of 40,000; four times the spread of chance
    }
}
