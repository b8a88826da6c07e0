package walnutfield.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigInteger;

/** Reads the values of one line in order. A value that is null or missing at the end of the line counts as absent. */
final class Fields {
    private final JsonNode line;
    private int next;

    Fields(JsonNode line) {
        if (line == null || !line.isArray() || line.isEmpty() || !line.get(0).isTextual()) {
            throw new MalformedLineException("not a JSON array that begins with a name");
        }
        this.line = line;
        next = 1;
    }

    /** Reads the values of a nested array, which has no name, from its first entry on. */
    static Fields of(JsonNode row) {
        if (row == null || !row.isArray()) {
            throw new MalformedLineException("an entry of 'sheet' should be an array");
        }
        return new Fields(row, 0);
    }

    private Fields(JsonNode line, int next) {
        this.line = line;
        this.next = next;
    }

    /** The name that the line begins with. */
    String name() {
        return line.get(0).textValue();
    }

    /** The next value of any type; null where it is absent. */
    JsonNode nextOrNull() {
        JsonNode node = line.get(next++);
        return node == null || node.isNull() ? null : node;
    }

    /** Checks that the value read last is what was expected, and returns it. */
    private JsonNode require(String expected, boolean fits, JsonNode node) {
        if (!fits) {
            throw new MalformedLineException("value " + (next - 1) + " should be " + expected
                    + (node == null ? " but is absent" : ", not " + node));
        }
        return node;
    }

    /** The next value as an integer of up to 64 bits; unsigned values wrap to negative ones. */
    long nextLong() {
        JsonNode node = nextOrNull();
        boolean fits = node != null && node.isNumber() && node.canConvertToExactIntegral();
        BigInteger integer = require("an integer", fits, node).bigIntegerValue();
        require("an integer of at most 64 bits", integer.bitLength() <= 64, node);
        return integer.longValue();
    }

    int nextInt() {
        long value = nextLong();
        require("an integer of 32 bits", value >= Integer.MIN_VALUE && value <= Integer.MAX_VALUE, line.get(next - 1));
        return (int) value;
    }

    double nextDouble() {
        JsonNode node = nextOrNull();
        return require("a number", node != null && node.isNumber(), node).doubleValue();
    }

    double nextDoubleOr(double defaultValue) {
        JsonNode node = nextOrNull();
        return node == null
                ? defaultValue
                : require("a number", node.isNumber(), node).doubleValue();
    }

    int nextIntOr(int defaultValue) {
        return (int) nextDoubleOr(defaultValue);
    }

    String nextText() {
        JsonNode node = nextOrNull();
        return require("text", node != null && node.isTextual(), node).textValue();
    }

    /** The next value as text; null where it is absent or the number 0. */
    String nextTextOrNull() {
        JsonNode node = nextOrNull();
        if (node == null || node.isNumber() && node.doubleValue() == 0) {
            return null;
        }
        return require("text", node.isTextual(), node).textValue();
    }

    boolean nextBoolean() {
        JsonNode node = nextOrNull();
        return require("true or false", node != null && node.isBoolean(), node).booleanValue();
    }
}
