package walnutfield.play;

import java.util.zip.CRC32;

/** Chance from the instance's seed and a counter. CRC32 alone is linear: of two draws in a row, or of two instances'
 *  draws of the same number, the bits that differ are nearly always the same, so that a small chance now made one next
 *  twice as likely. Its sum is mixed (MurmurHash3's last step), which maps no two sums to one. */
public final class RandomSource {
    private final long seed;
    private long drawn;

    public RandomSource(long seed) {
        this.seed = seed;
    }

    /** From 0 up to 1. */
    public double next() {
        CRC32 crc = new CRC32();
        long n = drawn++;
        for (int i = 0; i < 8; i++) {
            crc.update((int) (seed >>> 8 * i));
            crc.update((int) (n >>> 8 * i));
        }
        return mixed((int) crc.getValue()) / 4294967296.0;
    }

    private static long mixed(int sum) {
        int h = (sum ^ sum >>> 16) * 0x85EBCA6B;
        h = (h ^ h >>> 13) * 0xC2B2AE35;
        return Integer.toUnsignedLong(h ^ h >>> 16);
    }
}
