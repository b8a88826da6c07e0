package walnutfield.decide;

import java.util.zip.CRC32;

/** Chance from the instance's seed and a counter. */
final class Chance {
    private final long seed;
    private long drawn;

    Chance(long seed) {
        this.seed = seed;
    }

    /** From 0 up to 1. */
    double next() {
        CRC32 crc = new CRC32();
        long n = drawn++;
        for (int i = 0; i < 8; i++) {
            crc.update((int) (seed >>> 8 * i));
            crc.update((int) (n >>> 8 * i));
        }
        return crc.getValue() / 4294967296.0;
    }
}
