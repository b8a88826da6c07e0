package walnutfield.gateway;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.zip.CRC32;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;

/**
 * Persists the learned state of a gateway in one small text file: a line with the version, one line for each fact, and
 * a line with the checksum of all lines before it. The file is replaced atomically, so that a partly written one is
 * never read. A file of another version, or one that was truncated or changed, is rejected with the reason, and the
 * gateway starts without learned state.
 */
final class LearnedStateFile {
    private static final Logger LOG = LoggerFactory.getLogger(LearnedStateFile.class);
    private static final String VERSION = "walnutfield-learnt 1";
    private static final int MAX_BYTES = 1 << 20;

    private final Path file;

    /**
     * @param file null to persist nothing
     */
    LearnedStateFile(Path file) {
        this.file = file;
    }

    /** Returns the persisted state; empty if there is no file or, with a warning in the log, if it is invalid. */
    LearnedState read() {
        if (file == null || !Files.exists(file)) {
            return LearnedState.NOTHING;
        }
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new IOException("larger than " + MAX_BYTES + " bytes");
            }
            return parse(Files.readString(file));
        } catch (IOException | IllegalArgumentException e) {
            LOG.atWarn()
                    .addKeyValue("file", file)
                    .addKeyValue("reason", e.getMessage())
                    .log("learnt file not used");
            return LearnedState.NOTHING;
        }
    }

    /** Writes the state; the supplier is called only if there is a file to write. */
    void write(Supplier<LearnedState> state) {
        if (file == null) {
            return;
        }
        try {
            AtomicFile.write(file, text(state.get()));
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("file", file)
                    .addKeyValue("reason", e.toString())
                    .log("learnt not kept");
        }
    }

    static String text(LearnedState state) {
        StringBuilder text = new StringBuilder(VERSION)
                .append('\n')
                .append("at ")
                .append(state.at())
                .append('\n')
                .append("life ")
                .append(state.averagePlayMs())
                .append('\n');
        state.uplinks()
                .forEach(uplink -> text.append("uplink ")
                        .append(uplink.rack())
                        .append(' ')
                        .append(uplink.factor())
                        .append('\n'));
        state.hosts()
                .forEach(host -> text.append("host ")
                        .append(host.host().value())
                        .append(' ')
                        .append(host.startedAt())
                        .append(' ')
                        .append(host.outlier())
                        .append(' ')
                        .append(host.unresponsive())
                        .append(' ')
                        .append(host.retryAt())
                        .append(' ')
                        .append(host.slowStartSince())
                        .append('\n'));
        return text + "end " + checksum(text.toString()) + "\n";
    }

    static LearnedState parse(String text) {
        int end = text.lastIndexOf("end ");
        if (!text.startsWith(VERSION + "\n")) {
            throw new IllegalArgumentException("line 1: not " + VERSION);
        }
        if (end < 0 || !text.substring(end).equals("end " + checksum(text.substring(0, end)) + "\n")) {
            throw new IllegalArgumentException("cut or changed: the checksum does not match");
        }
        double at = 0;
        double lifetimeMs = 0;
        List<LearnedState.UplinkCorrection> uplinks = new ArrayList<>();
        List<LearnedState.HostHealth> hosts = new ArrayList<>();
        String[] lines = text.substring(0, end).split("\n");
        for (int i = 1; i < lines.length; i++) {
            String[] words = lines[i].split(" ");
            try {
                switch (words[0]) {
                    case "at" -> at = finiteNumber(words[1]);
                    case "life" -> lifetimeMs = finiteNumber(words[1]);
                    case "uplink" ->
                        uplinks.add(
                                new LearnedState.UplinkCorrection(Integer.parseInt(words[1]), finiteNumber(words[2])));
                    case "host" ->
                        hosts.add(new LearnedState.HostHealth(
                                new HostId(words[1]),
                                finiteNumber(words[2]),
                                Boolean.parseBoolean(words[3]),
                                Boolean.parseBoolean(words[4]),
                                finiteNumber(words[5]),
                                finiteNumber(words[6])));
                    default -> throw new IllegalArgumentException("unknown fact");
                }
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IllegalArgumentException("line " + (i + 1) + ": " + e.getMessage());
            }
        }
        return new LearnedState(at, lifetimeMs, uplinks, hosts);
    }

    private static double finiteNumber(String word) {
        double value = Double.parseDouble(word);
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(word + " is not a finite number");
        }
        return value;
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
