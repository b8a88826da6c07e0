package walnutfield;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import walnutfield.bench.Adapter;

class AdapterTest {
    private static final String START = """
        ["round",100.5]
        ["attach",3,17,{"classes":[{"name":"a","onTime":1000,"giveUp":4000,"worth":1,"repeat":"repeatable"}],\
        "familyInfo":{"levelKb":[100,300],"worthByRung":[0.5,1],"classTop":[1],"floorByClass":[0],\
        "scaleByClass":[1],"positions":3,"racks":1,"kindSlots":[9],"allLinksKb":9000,"rackKb":9000},\
        "kinds":["k"],"balancers":1,"limits":{"tryLimit":2},"unknown":1}]
        ["sheet",0,[["x","z","k",0,"Ready",1,null,"more"]]]
        ["endpoints",3,"warm_copy",1,0]
        ["workItem",3,4294967295,null,1,9007199254740991,3,0,"a",0,null,4000,12,"more"]
        ["sheet",0,[["y","z","k",1,"Ready",1,null]]]
        ["endpoints",3,"total",2,0]
        ["workItem",3,8,null,1,5,3,0,"a",0,null,4000,12]
        ["overToYou"]
        """;

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final ByteArrayOutputStream replies = new ByteArrayOutputStream();

    private int run(String lines) throws IOException {
        return Adapter.run(
                new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)),
                replies,
                new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    @Test
    void aRoundIsAnsweredAndEachHostListAppliesToTheEventsAfterIt() throws IOException {
        assertEquals(0, run(START));
        String text = replies.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("[\"callOut\",3,4294967295,\"x\","), text);
        assertTrue(text.contains("[\"callOut\",3,8,\"y\","), text);
        assertTrue(text.endsWith("[\"ready\"]\n"), text);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "[\"round\",1|line 10: not JSON", "[\"timer\",3,\"look\"]|line 10: 'timer' outside a round",
                "{}|line 10: not a JSON array that begins with a name",
                        "[\"round\",\"x\"]|line 10: value 1 should be a number"
            })
    void aMalformedLineEndsTheProgramWithOneErrorLine(String malformedLine, String expectedError) throws IOException {
        assertEquals(1, run(START + malformedLine + "\n"));
        String error = errors.toString(StandardCharsets.UTF_8);
        assertTrue(error.startsWith(expectedError), error);
        assertEquals(1, error.lines().count());
    }
}
