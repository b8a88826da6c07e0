package walnutfield.play;

import java.util.zip.CRC32;

/**
 * A reproducible sequence of random numbers, computed from a seed and a counter. CRC32 alone would not do, as it is
 * linear: two successive draws, or two instances' draws of the same number, nearly always differ in the same bits, so
 * that after a small draw another one was twice as likely. The checksum is therefore mixed with the final step of
 * MurmurHash3, which is a bijection.
 */
public final class RandomSource {
    private final long seed;
    private long draws;

    public RandomSource(long seed) {
        this.seed = seed;
    }

    /** The next number, from 0 to below 1. */
    public double next() {
        CRC32 crc = new CRC32();
        long draw = draws++;
        for (int i = 0; i < 8; i++) {
            crc.update((int) (seed >>> 8 * i));
            crc.update((int) (draw >>> 8 * i));
        }
        return mix((int) crc.getValue()) / 4294967296.0;
    }

    private static long mix(int checksum) {
        int hash = (checksum ^ checksum >>> 16) * 0x85EBCA6B;
        hash = (hash ^ hash >>> 13) * 0xC2B2AE35;
        return Integer.toUnsignedLong(hash ^ hash >>> 16);
    }
}
