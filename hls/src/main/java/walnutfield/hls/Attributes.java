package walnutfield.hls;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * An attribute list (RFC 8216, section 4.2).
 *
 * @param raw values by attribute name, in the order of the text; quoted strings keep their quotes
 */
public record Attributes(Map<String, String> raw) {
    public static final Attributes NONE = new Attributes(Map.of());

    public Attributes {
        raw = Collections.unmodifiableMap(new LinkedHashMap<>(raw));
    }

    /**
     * Parses {@code NAME=value,NAME="quoted, too"}.
     *
     * @param line line number of the tag, for the exception
     * @throws PlaylistException if a name is missing or invalid, if an equals sign, value or closing quote is missing,
     *     if text follows a closing quote, or if an attribute is repeated
     */
    static Attributes parse(String text, int line) throws PlaylistException {
        Map<String, String> values = new LinkedHashMap<>();
        int position = 0;
        while (position < text.length()) {
            int equals = text.indexOf('=', position);
            if (equals < 0) {
                throw new PlaylistException(
                        line, "attribute without '=' at column " + (position + 1) + " of the attribute list");
            }
            String name = text.substring(position, equals).strip();
            if (!isAttributeName(name)) {
                throw new PlaylistException(line, "'" + shorten(name) + "' is not a valid attribute name");
            }
            int end;
            if (equals + 1 < text.length() && text.charAt(equals + 1) == '"') {
                int closingQuote = text.indexOf('"', equals + 2);
                if (closingQuote < 0) {
                    throw new PlaylistException(line, "the value of " + name + " has no closing quote");
                }
                end = closingQuote + 1;
                if (end < text.length() && text.charAt(end) != ',') {
                    throw new PlaylistException(line, "the value of " + name + " continues after its closing quote");
                }
            } else {
                int comma = text.indexOf(',', equals + 1);
                end = comma < 0 ? text.length() : comma;
                if (end == equals + 1) {
                    throw new PlaylistException(line, name + " has no value");
                }
            }
            if (values.put(name, text.substring(equals + 1, end)) != null) {
                throw new PlaylistException(line, name + " is given twice");
            }
            position = end + 1;
        }
        return new Attributes(values);
    }

    private static boolean isAttributeName(String name) {
        return !name.isEmpty() && name.chars().allMatch(c -> c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-');
    }

    /** Truncates a text for an error message. */
    static String shorten(String text) {
        return text.length() <= 40 ? text : text.substring(0, 40) + "...";
    }

    /** The value of an attribute without its quotes, if the attribute is present. */
    public Optional<String> get(String name) {
        String value = raw.get(name);
        if (value == null) {
            return Optional.empty();
        }
        return Optional.of(
                value.length() >= 2 && value.startsWith("\"") ? value.substring(1, value.length() - 1) : value);
    }

    /**
     * This list with an attribute set to a quoted string. Quotes and line breaks are dropped from the value, as a
     * quoted string cannot contain them.
     */
    public Attributes withQuoted(String name, String value) {
        return with(name, '"' + value.replaceAll("[\"\r\n]", "") + '"');
    }

    /** This list with an attribute set to a value that is written as it is. */
    public Attributes with(String name, String value) {
        Map<String, String> values = new LinkedHashMap<>(raw);
        values.put(name, value);
        return new Attributes(values);
    }

    /** The list as the value of a tag. */
    @Override
    public String toString() {
        StringBuilder out = new StringBuilder();
        raw.forEach((name, value) -> out.append(out.length() == 0 ? "" : ",")
                .append(name)
                .append('=')
                .append(value));
        return out.toString();
    }
}
