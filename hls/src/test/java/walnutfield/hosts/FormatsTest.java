package walnutfield.hosts;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.sse.Event;
import walnutfield.sse.EventReader;

/** The text formats of the host list, of event streams and of load reports. */
class FormatsTest {
    private static final String VALID_LIST = "walnutfield-hosts 1 whole 7\n"
            + "host h1 address=127.0.0.1:80 place=p slots=40 cell=3 state=ready units=1.5 started=12.25\n";

    @Test
    void hostListRoundTripsThroughItsText() throws HostList.Malformed {
        HostList list = HostList.parse(VALID_LIST);
        assertEquals(VALID_LIST, list.text());
        assertEquals(list, HostList.parse(list.text()));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "whole 7|whole|line 1: the head",
                "walnutfield-hosts 1|walnutfield-hosts 2|line 1: a list begins",
                "127.0.0.1:80|nowhere|line 2: address",
                ":80|:0|line 2: port",
                "state=ready|state=odd|line 2: state",
                "slots=40|slots=-1|line 2: slots",
                "started=12.25|started=NaN|line 2: started",
                "host h1|hosts h1|line 2: a line",
                "place=p|place|line 2: 'place'"
            })
    void malformedLineRejectsTheEntireHostList(String original, String replacement, String expectedStart) {
        HostList.Malformed e =
                assertThrows(HostList.Malformed.class, () -> HostList.parse(VALID_LIST.replace(original, replacement)));
        assertTrue(e.getMessage().startsWith(expectedStart), e.getMessage());
    }

    @Test
    void eventsAreCompleteWhereverTheStreamIsSplit() {
        byte[] stream = (new String(new Event("share", "0.5").bytes(), StandardCharsets.UTF_8) + ": note\r\n"
                        + new String(new Event("list", "a\nb", "9").bytes(), StandardCharsets.UTF_8))
                .getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= stream.length; split++) {
            List<Event> events = new ArrayList<>();
            EventReader reader = new EventReader(1000, events::add);
            assertTrue(reader.feed(java.util.Arrays.copyOf(stream, split)));
            assertTrue(reader.feed(java.util.Arrays.copyOfRange(stream, split, stream.length)));
            assertEquals(List.of(new Event("share", "0.5"), new Event("list", "a\nb", "9")), events);
        }
        assertTrue(!new EventReader(10, e -> {}).feed(new byte[20]));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "TEXT named_metrics.link=0.5,x=1,named_metrics.streams=7|0.5|7",
                "TEXT named_metrics.link=-1,named_metrics.streams=many|NaN|NaN",
                "JSON {}|NaN|NaN",
                "|NaN|NaN"
            })
    void malformedOrMissingMetricsOfALoadFieldAreNaN(String field, double linkUse, double activeStreams) {
        LoadReport report = LoadField.read(field);
        assertEquals(linkUse, report.linkUse());
        assertEquals(activeStreams, report.activeStreams());
        assertEquals(report, LoadField.read(LoadField.write(report)));
    }
}
