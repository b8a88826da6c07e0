package walnutfield.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * Replaces a small file atomically: the text is written to a sibling file that is then moved over the original, so that
 * a partly written file never takes its place.
 */
final class AtomicFile {
    private AtomicFile() {}

    static void write(Path file, String text) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
