package walnutfield.net;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Header fields by case-insensitive name; values of a repeated field are joined by commas (RFC 9110, section 5.3). */
public final class Headers {
    /** No header fields. */
    public static final Headers NONE = new Headers(Map.of());

    private final Map<String, String> fields;

    private Headers(Map<String, String> fields) {
        Map<String, String> merged = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        fields.forEach((k, v) -> merged.merge(k, v, (a, b) -> a + ", " + b));
        this.fields = Collections.unmodifiableMap(merged);
    }

    /** Header fields from alternating names and values. */
    public static Headers of(String... namesAndValues) {
        Map<String, String> merged = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            merged.merge(namesAndValues[i], namesAndValues[i + 1], (a, b) -> a + ", " + b);
        }
        return new Headers(merged);
    }

    static Headers of(List<Map.Entry<String, String>> entries) {
        Map<String, String> merged = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        entries.forEach(e -> merged.merge(e.getKey(), e.getValue(), (a, b) -> a + ", " + b));
        return new Headers(merged);
    }

    /** The value of a field; null if it is absent. */
    public String get(String name) {
        return fields.get(name);
    }

    /** These fields with one of them set or replaced. */
    public Headers with(String name, String value) {
        Map<String, String> merged = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        merged.putAll(fields);
        merged.put(name, value);
        return new Headers(merged);
    }

    /** All fields by name; unmodifiable. */
    public Map<String, String> all() {
        return fields;
    }
}
