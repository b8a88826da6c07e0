package walnutfield.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a rename that also changes a name outside the program: every name of docs/outer-names.txt must still
 * occur where such names come from, that is in a string literal, in the schema, in record.proto or in the deploy file,
 * and for constants and classes that are printed under their own names, as an identifier.
 */
class OuterNamesTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern COMMENT_OR_LITERAL = Pattern.compile(
            "(?s)/\\*.*?\\*/|//[^\\n]*|\"\"\"(.*?)\"\"\"|\"((?:\\\\.|[^\"\\\\\\n])*)\"|'(?:\\\\.|[^'\\\\])+'");
    private static final Pattern IDENTIFIER_SECTION = Pattern.compile("# (enum constants|stages) .*");

    @Test
    void everyOuterNameStillOccurs() throws IOException {
        String literals = read("java", true)
                + read("xsd", false)
                + read("proto", false)
                + Files.readString(ROOT.resolve("deploy/balancer.toml"));
        String sources = read("java", false);
        List<String> missing = new ArrayList<>();
        String searched = literals;
        int count = 0;
        for (String line : Files.readAllLines(ROOT.resolve("docs/outer-names.txt"))) {
            if (line.startsWith("# ")) {
                searched = IDENTIFIER_SECTION.matcher(line).matches() ? sources : literals;
            } else if (!occurs(line, searched)) {
                missing.add(line);
            }
            count++;
        }
        assertTrue(count > 1000, "only " + count + " lines were read");
        assertEquals(List.of(), missing);
    }

    /** Whether the name occurs and is not a part of a longer word there. */
    private static boolean occurs(String name, String text) {
        String start = Character.isLetterOrDigit(name.charAt(0)) ? "(?:(?<![A-Za-z0-9_])|(?<=\\\\[rnt]))" : "";
        String end = Character.isLetterOrDigit(name.charAt(name.length() - 1)) ? "(?![A-Za-z0-9_])" : "";
        return Pattern.compile(start + Pattern.quote(name) + end).matcher(text).find();
    }

    /** The main files of all modules with this ending; of Java files, if wanted, the string literals only. */
    private static String read(String ending, boolean literalsOnly) throws IOException {
        StringBuilder text = new StringBuilder();
        try (Stream<Path> modules = Files.list(ROOT)) {
            for (Path main : modules.map(module -> module.resolve("src/main"))
                    .filter(Files::isDirectory)
                    .toList()) {
                try (Stream<Path> files = Files.walk(main)) {
                    for (Path file : files.filter(f -> f.toString().endsWith("." + ending))
                            .toList()) {
                        String content = Files.readString(file);
                        text.append(literalsOnly ? literalsOf(content) : content)
                                .append('\n');
                    }
                }
            }
        }
        return text.toString();
    }

    private static String literalsOf(String source) {
        StringBuilder literals = new StringBuilder();
        Matcher matcher = COMMENT_OR_LITERAL.matcher(source);
        while (matcher.find()) {
            for (int group = 1; group <= 2; group++) {
                if (matcher.group(group) != null) {
                    literals.append(matcher.group(group)).append('\n');
                }
            }
        }
        return literals.toString();
    }
}
