package walnutfield.net;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The parameters of a request target's query. If a name occurs more than once, its first value counts. */
public final class Query {
    private final Map<String, String> values = new LinkedHashMap<>();

    /** Parses a query such as {@code a=1&b=2}, or null for none; parameters that cannot be decoded are left out. */
    public Query(String text) {
        if (text == null || text.isEmpty()) {
            return;
        }
        for (String pair : text.split("&")) {
            int equalsSign = pair.indexOf('=');
            try {
                String name = URLDecoder.decode(
                        equalsSign < 0 ? pair : pair.substring(0, equalsSign), StandardCharsets.UTF_8);
                values.putIfAbsent(
                        name,
                        equalsSign < 0
                                ? ""
                                : URLDecoder.decode(pair.substring(equalsSign + 1), StandardCharsets.UTF_8));
            } catch (IllegalArgumentException e) {
                continue; // an invalid percent-encoding
            }
        }
    }

    /** The value of a parameter; null if it is absent. */
    public String get(String name) {
        return values.get(name);
    }

    /** The value of a parameter, or the default if it is absent. */
    public String get(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** The value of a parameter as an integer, or the default if it is absent or not an integer. */
    public long getLong(String name, long defaultValue) {
        String value = values.get(name);
        try {
            return value == null ? defaultValue : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
