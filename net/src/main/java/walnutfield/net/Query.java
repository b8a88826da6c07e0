package walnutfield.net;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The parameters of a request target's query; of a name given twice the first counts. */
public final class Query {
    private final Map<String, String> values = new LinkedHashMap<>();

    /** Reads {@code a=1&b=2}; what cannot be decoded is left out. */
    public Query(String text) {
        if (text == null || text.isEmpty()) {
            return;
        }
        for (String pair : text.split("&")) {
            int eq = pair.indexOf('=');
            try {
                String name = URLDecoder.decode(eq < 0 ? pair : pair.substring(0, eq), StandardCharsets.UTF_8);
                values.putIfAbsent(
                        name, eq < 0 ? "" : URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
            } catch (IllegalArgumentException e) {
                continue; // a broken escape
            }
        }
    }

    public String get(String name) {
        return values.get(name);
    }

    public String get(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    /** A whole number, or what stands for an absent or malformed one. */
    public long whole(String name, long absent) {
        String v = values.get(name);
        try {
            return v == null ? absent : Long.parseLong(v);
        } catch (NumberFormatException e) {
            return absent;
        }
    }
}
