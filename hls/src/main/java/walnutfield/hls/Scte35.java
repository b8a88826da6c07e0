package walnutfield.hls;

import java.io.ByteArrayOutputStream;
import java.util.HexFormat;

/**
 * SCTE-35 splice commands for the SCTE35-OUT and SCTE35-IN attributes of EXT-X-DATERANGE (RFC 8216, section 4.3.2.7.1).
 * Each is a splice_info_section of ANSI/SCTE 35 with a splice_insert command that takes effect immediately, as a
 * hexadecimal-sequence.
 */
public final class Scte35 {
    private static final int TABLE_ID = 0xFC;
    private static final int SPLICE_INSERT = 0x05;
    private static final int TICKS_PER_SECOND = 90_000;

    private Scte35() {}

    /**
     * The value of SCTE35-OUT: a splice out of the programme.
     *
     * @param eventId   splice_event_id; the splice back into the programme uses the same
     * @param durationS planned duration until the return, in seconds
     */
    public static String out(int eventId, double durationS) {
        long ticks = Math.min((1L << 33) - 1, Math.round(durationS * TICKS_PER_SECOND));
        // break_duration(): auto_return set, six reserved bits, 33 bits of duration
        byte[] breakDuration = {
            (byte) (0xFE | ticks >>> 32),
            (byte) (ticks >>> 24),
            (byte) (ticks >>> 16),
            (byte) (ticks >>> 8),
            (byte) ticks
        };
        // Flags: out_of_network_indicator, program_splice_flag, duration_flag, splice_immediate_flag, reserved bits
        return spliceInfoSection(eventId, 0xFF, breakDuration);
    }

    /** The value of SCTE35-IN: the splice back into the programme that ends the event. */
    public static String in(int eventId) {
        // Flags: program_splice_flag, splice_immediate_flag, reserved bits
        return spliceInfoSection(eventId, 0x5F, new byte[0]);
    }

    private static String spliceInfoSection(int eventId, int flags, byte[] breakDuration) {
        ByteArrayOutputStream command = new ByteArrayOutputStream();
        writeBigEndian(command, eventId, 4);
        command.write(0x7F); // splice_event_cancel_indicator not set, reserved bits
        command.write(flags);
        command.writeBytes(breakDuration);
        writeBigEndian(command, 0, 4); // unique_program_id, avail_num, avails_expected
        ByteArrayOutputStream section = new ByteArrayOutputStream();
        int sectionLength = 11 + command.size() + 2 + 4;
        section.write(TABLE_ID);
        // Neither section_syntax_indicator nor private_indicator set; sap_type 3 is "not specified"
        writeBigEndian(section, 0x3000 | sectionLength, 2);
        writeBigEndian(section, 0, 4); // protocol_version 0, not encrypted, start of pts_adjustment
        writeBigEndian(section, 0, 2); // rest of pts_adjustment
        section.write(0); // cw_index
        writeBigEndian(section, 0xFFF000 | command.size(), 3); // tier 0xFFF, splice_command_length
        section.write(SPLICE_INSERT);
        section.writeBytes(command.toByteArray());
        writeBigEndian(section, 0, 2); // descriptor_loop_length: no descriptors
        writeBigEndian(section, crc32Mpeg2(section.toByteArray()), 4);
        return "0x" + HexFormat.of().withUpperCase().formatHex(section.toByteArray());
    }

    private static void writeBigEndian(ByteArrayOutputStream out, int value, int byteCount) {
        for (int i = byteCount - 1; i >= 0; i--) {
            out.write(value >>> 8 * i);
        }
    }

    /**
     * CRC_32 of ISO/IEC 13818-1, annex A, also known as CRC-32/MPEG-2. It is 0 over a section that includes its own
     * CRC. Implemented here as no library in use provides this variant.
     */
    static int crc32Mpeg2(byte[] bytes) {
        int crc = -1;
        for (byte b : bytes) {
            crc ^= b << 24;
            for (int i = 0; i < 8; i++) {
                crc = crc < 0 ? crc << 1 ^ 0x04C11DB7 : crc << 1;
            }
        }
        return crc;
    }
}
