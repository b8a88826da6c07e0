package walnutfield.gateway;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** A small file that is kept across starts: written beside and moved over, so that a torn one never takes its place. */
final class KeptFile {
    private KeptFile() {}

    static void write(Path file, String text) throws IOException {
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.writeString(next, text);
        Files.move(next, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
