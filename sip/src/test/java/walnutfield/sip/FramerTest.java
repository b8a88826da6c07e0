package walnutfield.sip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages in a byte stream, and what it costs to find them. */
class FramerTest {
    private static final int MAX_BYTES = 16_384;
    private static final int MAX_COPIES = 16; // of the message, all allocations together

    private final List<String> messages = new ArrayList<>();
    private final Framer framer =
            new Framer(MAX_BYTES, bytes -> messages.add(new String(bytes, StandardCharsets.ISO_8859_1)), () -> {});

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String message(int bodyBytes) {
        return "SETUP x\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes);
    }

    private void receiveInPieces(byte[] stream, int pieceBytes) throws MalformedMessageException {
        for (int from = 0; from < stream.length; from += pieceBytes) {
            framer.receive(Arrays.copyOfRange(stream, from, Math.min(stream.length, from + pieceBytes)));
        }
    }

    private static long allocatedBytes() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }

    @Test
    void messagesAreFoundHoweverTheStreamIsDivided() throws Exception {
        SplittableRandom random = new SplittableRandom(42);
        StringBuilder stream = new StringBuilder();
        List<String> expected = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String next = message(random.nextInt(i % 10 == 0 ? 12_000 : 80));
            expected.add(next);
            stream.append(next).append("\r\n".repeat(random.nextInt(3)));
        }
        byte[] all = bytes(stream.toString());
        for (int from = 0; from < all.length; ) {
            int to = Math.min(all.length, from + 1 + random.nextInt(random.nextBoolean() ? 4 : 20_000));
            framer.receive(Arrays.copyOfRange(all, from, to));
            from = to;
        }
        assertEquals(expected, messages);
    }

    @Test
    void messagesAreDeliveredOneAtATimeOnRequest() throws Exception {
        framer.append(bytes(message(1) + message(2) + "SETUP"));
        assertTrue(messages.isEmpty());
        assertTrue(framer.deliverNext());
        assertEquals(List.of(message(1)), messages);
        assertTrue(framer.deliverNext());
        assertFalse(framer.deliverNext());
        assertTrue(framer.isPartial());
    }

    @ParameterizedTest
    @ValueSource(strings = {"X: a\nContent-Length: 1", "X: a\rContent-Length: 1", "Content-Length: -1", "X: 1"})
    void onlyALineOfItsOwnTellsTheLength(String line) {
        assertThrows(MalformedMessageException.class, () -> framer.receive(bytes("SETUP x\r\n" + line + "\r\n\r\nx")));
    }

    @ParameterizedTest
    @ValueSource(strings = {" Content-length \t: 1", "L : 1"})
    void theLengthIsReadInAllItsForms(String line) throws Exception {
        framer.receive(bytes("SETUP x\r\nA:b\r\n" + line + "\r\n\r\nx"));
        assertEquals(1, messages.size());
    }

    /** Guards against slow writers that take all time: each read copied, and searched, all that had arrived before. */
    @Test
    void aMessageInManyPiecesIsNotCopiedAtEachRead() throws Exception {
        byte[] stream = bytes(message(15_000));
        receiveInPieces(stream, 16); // loads what it needs
        messages.clear();
        long before = allocatedBytes();
        receiveInPieces(stream, 16);
        long allocated = allocatedBytes() - before;
        assertEquals(1, messages.size());
        assertTrue(allocated < MAX_COPIES * stream.length, allocated + " bytes were allocated");
    }

    /** Guards against heads of very many short fields, each of which cost more memory than its few bytes. */
    @Test
    void aHeadOfManyShortFieldsCostsNoMoreThanItsBytes() throws Exception {
        byte[] stream = bytes("SETUP x\r\n" + "a:\r\n".repeat(4_000) + "Content-Length: 0\r\n\r\n");
        framer.receive(stream); // loads what it needs
        messages.clear();
        long before = allocatedBytes();
        framer.receive(stream);
        long allocated = allocatedBytes() - before;
        assertEquals(1, messages.size());
        assertTrue(allocated < MAX_COPIES / 2 * stream.length, allocated + " bytes were allocated");
    }
}
