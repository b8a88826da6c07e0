package walnutfield.record;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.zip.CRC32C;
import walnutfield.record.wire.Frame;

/** Reads frames one after another and says at which byte a record is damaged. */
final class FrameReader implements AutoCloseable {
    private static final int MOST = 1 << 26; // bytes of one frame
    private final DataInputStream in;
    private final long size;
    private long offset;

    FrameReader(Path file) throws IOException {
        size = Files.size(file);
        in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16));
        try {
            head();
        } catch (IOException e) {
            in.close();
            throw e;
        }
    }

    private void head() throws IOException {
        byte[] magic = in.readNBytes(FrameWriter.MAGIC.length);
        if (!Arrays.equals(magic, FrameWriter.MAGIC)) {
            throw new Damaged(0, "this is no record of a desk");
        }
        if (size < FrameWriter.MAGIC.length + 2) {
            throw new Damaged(FrameWriter.MAGIC.length, "the file ends before its version");
        }
        int version = in.readUnsignedShort();
        if (version < 1 || version > FrameWriter.VERSION) {
            throw new Damaged(
                    FrameWriter.MAGIC.length,
                    "version " + version + "; this program reads 1 to " + FrameWriter.VERSION);
        }
        offset = FrameWriter.MAGIC.length + 2;
    }

    /** Where the next frame begins. */
    long offset() {
        return offset;
    }

    /** The next frame, or null at the end of the file. */
    Frame next() throws IOException {
        if (offset == size) {
            return null;
        }
        if (size - offset < 8) {
            throw new Damaged(offset, "the file ends within a frame");
        }
        int length = in.readInt();
        int sum = in.readInt();
        if (length < 0 || length > MOST) {
            throw new Damaged(offset, "a frame of " + (length & 0xffffffffL) + " bytes");
        }
        if (size - offset - 8 < length) {
            throw new Damaged(offset, "the file ends within a frame");
        }
        byte[] b = in.readNBytes(length);
        CRC32C crc = new CRC32C();
        crc.update(b);
        if ((int) crc.getValue() != sum) {
            throw new Damaged(offset, "the checksum of a frame is wrong");
        }
        try {
            Frame f = Frame.parseFrom(b);
            offset += 8 + length;
            return f;
        } catch (InvalidProtocolBufferException e) {
            throw new Damaged(offset, "a frame that cannot be read");
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
