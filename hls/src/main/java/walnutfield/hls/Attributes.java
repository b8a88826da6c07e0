package walnutfield.hls;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** An attribute list (RFC 8216, section 4.2) in the order of the text; values as written, with their quotes. */
public record Attributes(Map<String, String> raw) {
    public static final Attributes NONE = new Attributes(Map.of());

    public Attributes {
        raw = Collections.unmodifiableMap(new LinkedHashMap<>(raw));
    }

    /**
     * Reads {@code NAME=value,NAME="quoted, too"}.
     *
     * @throws PlaylistException where a name, an equals sign or a closing quote is missing, or a name comes twice
     */
    static Attributes parse(String text, int line) throws PlaylistException {
        Map<String, String> found = new LinkedHashMap<>();
        int at = 0;
        while (at < text.length()) {
            int eq = text.indexOf('=', at);
            if (eq < 0) {
                throw new PlaylistException(line, "attribute without '=' at column " + (at + 1) + " of its list");
            }
            String name = text.substring(at, eq).strip();
            if (!isName(name)) {
                throw new PlaylistException(line, "'" + shorten(name) + "' is no attribute name");
            }
            int end;
            if (eq + 1 < text.length() && text.charAt(eq + 1) == '"') {
                int quote = text.indexOf('"', eq + 2);
                if (quote < 0) {
                    throw new PlaylistException(line, "the value of " + name + " has no closing quote");
                }
                end = quote + 1;
                if (end < text.length() && text.charAt(end) != ',') {
                    throw new PlaylistException(line, "the value of " + name + " goes on after its closing quote");
                }
            } else {
                int comma = text.indexOf(',', eq + 1);
                end = comma < 0 ? text.length() : comma;
                if (end == eq + 1) {
                    throw new PlaylistException(line, name + " has no value");
                }
            }
            if (found.put(name, text.substring(eq + 1, end)) != null) {
                throw new PlaylistException(line, name + " is given twice");
            }
            at = end + 1;
        }
        return new Attributes(found);
    }

    private static boolean isName(String name) {
        return !name.isEmpty() && name.chars().allMatch(c -> c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-');
    }

    static String shorten(String text) {
        return text.length() <= 40 ? text : text.substring(0, 40) + "...";
    }

    /** The value without quotes, where it is given. */
    public Optional<String> get(String name) {
        String v = raw.get(name);
        if (v == null) {
            return Optional.empty();
        }
        return Optional.of(v.length() >= 2 && v.startsWith("\"") ? v.substring(1, v.length() - 1) : v);
    }

    /** This list with a quoted string in it; quotes and line breaks cannot be written and are left out. */
    public Attributes quoted(String name, String value) {
        return with(name, '"' + value.replaceAll("[\"\r\n]", "") + '"');
    }

    public Attributes with(String name, String value) {
        Map<String, String> m = new LinkedHashMap<>(raw);
        m.put(name, value);
        return new Attributes(m);
    }

    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        raw.forEach((k, v) ->
                out.append(out.length() == 0 ? "" : ",").append(k).append('=').append(v));
        return out.toString();
    }
}
