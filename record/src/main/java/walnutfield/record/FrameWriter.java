package walnutfield.record;

import java.io.BufferedOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;
import walnutfield.record.wire.Frame;

/** Appends frames: length and CRC32C, four bytes each, big end first, then the message. */
final class FrameWriter implements AutoCloseable {
    static final byte[] MAGIC = "WNFREC".getBytes(StandardCharsets.US_ASCII);
    static final int VERSION = 1;
    private final DataOutputStream out;
    private long bytes;

    FrameWriter(Path file) throws IOException {
        out = new DataOutputStream(new BufferedOutputStream(
                Files.newOutputStream(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE),
                1 << 16));
        out.write(MAGIC);
        out.writeShort(VERSION);
        bytes = MAGIC.length + 2;
    }

    void write(Frame f) throws IOException {
        byte[] b = f.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(b);
        out.writeInt(b.length);
        out.writeInt((int) crc.getValue());
        out.write(b);
        bytes += 8 + b.length;
    }

    long bytes() {
        return bytes;
    }

    void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
