package walnutfield.hls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class Scte35Test {
    /** The check value that catalogues of CRCs give for CRC-32/MPEG-2. */
    @Test
    void theCrcIsThatOfTransportStreams() {
        assertEquals(0x0376E6E7, Scte35.crc("123456789".getBytes(StandardCharsets.US_ASCII)));
    }

    /** By hand, field by field: 2.5 s are 225,000 ticks, 0x36EE8. */
    @Test
    void aSpliceOutHasItsEventAndDuration() {
        String s = Scte35.out(7, 2.5);
        assertTrue(
                s.startsWith("0xFC3020" + "000000000000" + "00" + "FFF00F" + "05" + "00000007" + "7F" + "FF"
                        + "FE00036EE8" + "00000000" + "0000"),
                s);
    }

    @ParameterizedTest
    @CsvSource({"0, 0.02", "1, 30", "-1, 95443"})
    void everySectionChecksAndHasTheLengthThatItTells(int event, double durationS) {
        for (String s : new String[] {Scte35.out(event, durationS), Scte35.in(event)}) {
            byte[] b = HexFormat.of().parseHex(s.substring(2));
            assertEquals(0, Scte35.crc(b), s);
            assertEquals(b.length - 3, (b[1] & 0xF) << 8 | b[2] & 0xFF, s);
        }
    }
}
