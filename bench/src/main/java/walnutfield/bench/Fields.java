package walnutfield.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigInteger;

/** The values of one line, read in order; null and left-out values are absent. */
final class Fields {
    private final JsonNode line;
    private int next;

    Fields(JsonNode line) {
        if (line == null || !line.isArray() || line.isEmpty() || !line.get(0).isTextual()) {
            throw new MalformedLine("not an array that begins with a name");
        }
        this.line = line;
        next = 1;
    }

    static Fields of(JsonNode row) {
        if (row == null || !row.isArray()) {
            throw new MalformedLine("an entry is not an array");
        }
        return new Fields(row, 0);
    }

    private Fields(JsonNode line, int next) {
        this.line = line;
        this.next = next;
    }

    String name() {
        return line.get(0).textValue();
    }

    JsonNode any() {
        JsonNode n = line.get(next++);
        return n == null || n.isNull() ? null : n;
    }

    private JsonNode must(String what, boolean fits, JsonNode n) {
        if (!fits) {
            throw new MalformedLine(
                    "value " + (next - 1) + " should be " + what + (n == null ? " and is absent" : ", not " + n));
        }
        return n;
    }

    /** Whole numbers up to 64 bits, unsigned ones too. */
    long whole() {
        JsonNode n = any();
        boolean fits = n != null && n.isNumber() && n.canConvertToExactIntegral();
        BigInteger big = must("a whole number", fits, n).bigIntegerValue();
        must("of 64 bits at most", big.bitLength() <= 64, n);
        return big.longValue();
    }

    int small() {
        long v = whole();
        must("a small number", v >= Integer.MIN_VALUE && v <= Integer.MAX_VALUE, line.get(next - 1));
        return (int) v;
    }

    double number() {
        JsonNode n = any();
        return must("a number", n != null && n.isNumber(), n).doubleValue();
    }

    double numberOr(double absent) {
        JsonNode n = any();
        return n == null ? absent : must("a number", n.isNumber(), n).doubleValue();
    }

    int smallOr(int absent) {
        return (int) numberOr(absent);
    }

    String text() {
        JsonNode n = any();
        return must("text", n != null && n.isTextual(), n).textValue();
    }

    /** Text, or null where it is absent or 0. */
    String textOrNone() {
        JsonNode n = any();
        if (n == null || n.isNumber() && n.doubleValue() == 0) {
            return null;
        }
        return must("text", n.isTextual(), n).textValue();
    }

    boolean flag() {
        JsonNode n = any();
        return must("true or false", n != null && n.isBoolean(), n).booleanValue();
    }
}
