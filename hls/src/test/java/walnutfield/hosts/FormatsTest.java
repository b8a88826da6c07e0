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

class FormatsTest {
    private static final String GOOD = "walnutfield-hosts 1 whole 7\n"
            + "host h1 address=127.0.0.1:80 place=p slots=40 cell=3 state=ready units=1.5 started=12.25\n";

    @Test
    void aListReadsBackEqual() throws HostList.Malformed {
        HostList l = HostList.parse(GOOD);
        assertEquals(GOOD, l.text());
        assertEquals(l, HostList.parse(l.text()));
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
    void aWrongLineRefusesTheList(String from, String to, String reason) {
        HostList.Malformed e = assertThrows(HostList.Malformed.class, () -> HostList.parse(GOOD.replace(from, to)));
        assertTrue(e.getMessage().startsWith(reason), e.getMessage());
    }

    @Test
    void eventsComeWholeHoweverTheStreamIsCut() {
        byte[] all = (new String(new Event("share", "0.5").bytes(), StandardCharsets.UTF_8) + ": note\r\n"
                        + new String(new Event("list", "a\nb", "9").bytes(), StandardCharsets.UTF_8))
                .getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= all.length; cut++) {
            List<Event> got = new ArrayList<>();
            EventReader r = new EventReader(1000, got::add);
            assertTrue(r.take(java.util.Arrays.copyOf(all, cut)));
            assertTrue(r.take(java.util.Arrays.copyOfRange(all, cut, all.length)));
            assertEquals(List.of(new Event("share", "0.5"), new Event("list", "a\nb", "9")), got);
        }
        assertTrue(!new EventReader(10, e -> {}).take(new byte[20]));
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
    void loadFieldsTellWhatTheyCan(String field, double link, double streams) {
        LoadReport l = LoadField.read(field);
        assertEquals(link, l.linkUse());
        assertEquals(streams, l.activeStreams());
        assertEquals(l, LoadField.read(LoadField.write(l)));
    }
}
