package walnutfield.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class Scte35Test {
    /** The expected value is the check value that CRC catalogues list for CRC-32/MPEG-2. */
    @Test
    void crcMatchesTheCheckValueOfCrc32Mpeg2() {
        assertEquals(0x0376E6E7, Scte35.crc32Mpeg2("123456789".getBytes(StandardCharsets.US_ASCII)));
    }

    /** The expected section is encoded by hand, field by field: 2.5 s are 225,000 ticks, 0x36EE8. */
    @Test
    void spliceOutContainsEventIdAndDuration() {
        String section = Scte35.out(7, 2.5);
        assertTrue(
                section.startsWith("0xFC3020" + "000000000000" + "00" + "FFF00F" + "05" + "00000007" + "7F" + "FF"
                        + "FE00036EE8" + "00000000" + "0000"),
                section);
    }

    @ParameterizedTest
    @CsvSource({"0, 0.02", "1, 30", "-1, 95443"})
    void sectionsHaveAValidCrcAndSectionLength(int eventId, double durationS) {
        for (String section : new String[] {Scte35.out(eventId, durationS), Scte35.in(eventId)}) {
            byte[] bytes = HexFormat.of().parseHex(section.substring(2));
            assertEquals(0, Scte35.crc32Mpeg2(bytes), section);
            assertEquals(bytes.length - 3, (bytes[1] & 0xF) << 8 | bytes[2] & 0xFF, section);
        }
    }
}
