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

/**
 * Writes a record file: the magic bytes and the format version, then one frame for each message. A frame
 * consists of the length of the message and its CRC32C, four bytes each and big-endian, followed by the message.
 */
final class FrameWriter implements AutoCloseable {
    static final byte[] MAGIC = "WNFREC".getBytes(StandardCharsets.US_ASCII);
    static final int VERSION = 1; // format version, stored in the two bytes after the magic bytes
    private final DataOutputStream out;
    private long bytesWritten;

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
        bytesWritten = MAGIC.length + 2;
    }

    void write(Frame frame) throws IOException {
        byte[] message = frame.toByteArray();
        CRC32C crc = new CRC32C();
        crc.update(message);
        out.writeInt(message.length);
        out.writeInt((int) crc.getValue());
        out.write(message);
        bytesWritten += 8 + message.length;
    }

    long bytesWritten() {
        return bytesWritten;
    }

    void flush() throws IOException {
        out.flush();
    }

    @Override
    public void close() throws IOException {
        out.close();
    }
}
