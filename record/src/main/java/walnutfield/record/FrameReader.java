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

/**
 * Reads the frames of a record file in order. Damage is reported with the offset of the frame in which it was found.
 */
final class FrameReader implements AutoCloseable {
    private static final int MAX_FRAME_BYTES = 1 << 26; // larger lengths are taken as damage, not allocated
    private final DataInputStream in;
    private final long fileSize;
    private long offset;

    FrameReader(Path file) throws IOException {
        fileSize = Files.size(file);
        in = new DataInputStream(new BufferedInputStream(Files.newInputStream(file), 1 << 16));
        try {
            readFileHeader();
        } catch (IOException e) {
            in.close();
            throw e;
        }
    }

    private void readFileHeader() throws IOException {
        byte[] magic = in.readNBytes(FrameWriter.MAGIC.length);
        if (!Arrays.equals(magic, FrameWriter.MAGIC)) {
            throw new CorruptRecordException(0, "this is no record of a desk");
        }
        if (fileSize < FrameWriter.MAGIC.length + 2) {
            throw new CorruptRecordException(FrameWriter.MAGIC.length, "the file ends before the format version");
        }
        int version = in.readUnsignedShort();
        if (version < 1 || version > FrameWriter.VERSION) {
            throw new CorruptRecordException(
                    FrameWriter.MAGIC.length,
                    "version " + version + "; this program reads 1 to " + FrameWriter.VERSION);
        }
        offset = FrameWriter.MAGIC.length + 2;
    }

    /** The offset, in bytes, at which the next frame begins. */
    long offset() {
        return offset;
    }

    /** Returns the next frame, or null at the end of the file. */
    Frame next() throws IOException {
        if (offset == fileSize) {
            return null;
        }
        if (fileSize - offset < 8) {
            throw new CorruptRecordException(offset, "the file ends within a frame");
        }
        int length = in.readInt();
        int expectedCrc = in.readInt();
        if (length < 0 || length > MAX_FRAME_BYTES) {
            throw new CorruptRecordException(offset, "invalid frame length of " + (length & 0xffffffffL) + " bytes");
        }
        if (fileSize - offset - 8 < length) {
            throw new CorruptRecordException(offset, "the file ends within a frame");
        }
        byte[] message = in.readNBytes(length);
        CRC32C crc = new CRC32C();
        crc.update(message);
        if ((int) crc.getValue() != expectedCrc) {
            throw new CorruptRecordException(offset, "the frame's checksum does not match its content");
        }
        try {
            Frame frame = Frame.parseFrom(message);
            offset += 8 + length;
            return frame;
        } catch (InvalidProtocolBufferException e) {
            throw new CorruptRecordException(offset, "the frame is not a valid protobuf message");
        }
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
