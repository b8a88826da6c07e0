package walnutfield.hls;

import java.io.ByteArrayOutputStream;
import java.util.HexFormat;

/**
 * Splice commands as EXT-X-DATERANGE carries them (RFC 8216, section 4.3.2.7.1): a splice_info_section of ANSI/SCTE 35
 * with a splice_insert that takes effect at once, as a hexadecimal-sequence.
 */
public final class Scte35 {
    private static final int TABLE = 0xFC;
    private static final int SPLICE_INSERT = 0x05;
    private static final int TICKS = 90_000; // of the clock, a second

    private Scte35() {}

    /**
     * SCTE35-OUT: the programme is left.
     *
     * @param event     the same for its return
     * @param durationS planned, in seconds
     */
    public static String out(int event, double durationS) {
        long ticks = Math.min((1L << 33) - 1, Math.round(durationS * TICKS));
        byte[] duration = {
            (byte) (0xFE | ticks >>> 32),
            (byte) (ticks >>> 24),
            (byte) (ticks >>> 16),
            (byte) (ticks >>> 8),
            (byte) ticks
        }; // auto_return, six reserved bits, 33 bits
        return section(event, 0xFF, duration); // out of network, whole programme, with a duration, at once
    }

    /** SCTE35-IN: the programme is come back to. */
    public static String in(int event) {
        return section(event, 0x5F, new byte[0]);
    }

    private static String section(int event, int flags, byte[] duration) {
        ByteArrayOutputStream command = new ByteArrayOutputStream();
        whole(command, event, 4);
        command.write(0x7F); // not cancelled
        command.write(flags);
        command.writeBytes(duration);
        whole(command, 0, 4); // unique_program_id, avail_num, avails_expected
        ByteArrayOutputStream s = new ByteArrayOutputStream();
        int length = 11 + command.size() + 2 + 4;
        s.write(TABLE);
        whole(s, 0x3000 | length, 2); // no syntax indicator, not private, no SAP type told
        whole(s, 0, 4); // version, not encrypted, pts_adjustment
        whole(s, 0, 2);
        s.write(0); // cw_index
        whole(s, 0xFFF000 | command.size(), 3); // tier, command length
        s.write(SPLICE_INSERT);
        s.writeBytes(command.toByteArray());
        whole(s, 0, 2); // no descriptors
        whole(s, crc(s.toByteArray()), 4);
        return "0x" + HexFormat.of().withUpperCase().formatHex(s.toByteArray());
    }

    private static void whole(ByteArrayOutputStream to, int value, int bytes) {
        for (int i = bytes - 1; i >= 0; i--) {
            to.write(value >>> 8 * i);
        }
    }

    /** CRC_32 of ISO/IEC 13818-1, annex A; 0 over a section with its own. No library at hand has this one. */
    static int crc(byte[] of) {
        int crc = -1;
        for (byte b : of) {
            crc ^= b << 24;
            for (int i = 0; i < 8; i++) {
                crc = crc < 0 ? crc << 1 ^ 0x04C11DB7 : crc << 1;
            }
        }
        return crc;
    }
}
