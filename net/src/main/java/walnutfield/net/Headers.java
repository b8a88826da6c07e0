package walnutfield.net;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Header fields by name, in any case; of fields sent twice the values are joined (RFC 9110, section 5.3). */
public final class Headers {
    public static final Headers NONE = new Headers(Map.of());
    private final Map<String, String> fields;

    private Headers(Map<String, String> fields) {
        Map<String, String> m = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        fields.forEach((k, v) -> m.merge(k, v, (a, b) -> a + ", " + b));
        this.fields = Collections.unmodifiableMap(m);
    }

    /** Names and values in turn. */
    public static Headers of(String... namesAndValues) {
        Map<String, String> m = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
            m.merge(namesAndValues[i], namesAndValues[i + 1], (a, b) -> a + ", " + b);
        }
        return new Headers(m);
    }

    static Headers of(List<Map.Entry<String, String>> all) {
        Map<String, String> m = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        all.forEach(e -> m.merge(e.getKey(), e.getValue(), (a, b) -> a + ", " + b));
        return new Headers(m);
    }

    /** The value, or null. */
    public String get(String name) {
        return fields.get(name);
    }

    public Headers with(String name, String value) {
        Map<String, String> m = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        m.putAll(fields);
        m.put(name, value);
        return new Headers(m);
    }

    public Map<String, String> all() {
        return fields;
    }
}
