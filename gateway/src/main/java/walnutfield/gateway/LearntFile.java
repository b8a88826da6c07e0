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
 * What a gateway has learnt, in one small text file: a line with the version, one for each fact, and the check sum of
 * all before it. It is written beside and moved over, so that a torn one is never read; one that is of another version,
 * cut or changed is refused with its reason, and the gateway starts afresh.
 */
final class LearntFile {
    private static final Logger LOG = LoggerFactory.getLogger(LearntFile.class);
    private static final String VERSION = "walnutfield-learnt 1";
    private static final int MOST_BYTES = 1 << 20;

    private final Path file;

    /**
     * @param file null to keep none
     */
    LearntFile(Path file) {
        this.file = file;
    }

    /** What was kept; nothing where there is no file, or a bad one, which one line of the log tells. */
    LearnedState read() {
        if (file == null || !Files.exists(file)) {
            return LearnedState.NOTHING;
        }
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new IOException("over " + MOST_BYTES + " bytes");
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

    /** Asks for what was learnt only where it is kept. */
    void write(Supplier<LearnedState> learnt) {
        if (file == null) {
            return;
        }
        try {
            KeptFile.write(file, text(learnt.get()));
        } catch (IOException e) {
            LOG.atError()
                    .addKeyValue("file", file)
                    .addKeyValue("reason", e.toString())
                    .log("learnt not kept");
        }
    }

    static String text(LearnedState l) {
        StringBuilder b = new StringBuilder(VERSION)
                .append('\n')
                .append("at ")
                .append(l.at())
                .append('\n')
                .append("life ")
                .append(l.life())
                .append('\n');
        l.uplinks()
                .forEach(u -> b.append("uplink ")
                        .append(u.rack())
                        .append(' ')
                        .append(u.narrow())
                        .append('\n'));
        l.hosts()
                .forEach(h -> b.append("host ")
                        .append(h.host().value())
                        .append(' ')
                        .append(h.startedAt())
                        .append(' ')
                        .append(h.outlier())
                        .append(' ')
                        .append(h.unresponsive())
                        .append(' ')
                        .append(h.retryAt())
                        .append(' ')
                        .append(h.coldSince())
                        .append('\n'));
        return b + "end " + sum(b.toString()) + "\n";
    }

    static LearnedState parse(String text) {
        int end = text.lastIndexOf("end ");
        if (!text.startsWith(VERSION + "\n")) {
            throw new IllegalArgumentException("line 1: not " + VERSION);
        }
        if (end < 0 || !text.substring(end).equals("end " + sum(text.substring(0, end)) + "\n")) {
            throw new IllegalArgumentException("cut or changed: its check sum does not fit");
        }
        double at = 0;
        double life = 0;
        List<LearnedState.UplinkCorrection> uplinks = new ArrayList<>();
        List<LearnedState.HostHealth> hosts = new ArrayList<>();
        String[] lines = text.substring(0, end).split("\n");
        for (int i = 1; i < lines.length; i++) {
            String[] w = lines[i].split(" ");
            try {
                switch (w[0]) {
                    case "at" -> at = finite(w[1]);
                    case "life" -> life = finite(w[1]);
                    case "uplink" ->
                        uplinks.add(new LearnedState.UplinkCorrection(Integer.parseInt(w[1]), finite(w[2])));
                    case "host" ->
                        hosts.add(new LearnedState.HostHealth(
                                new HostId(w[1]),
                                finite(w[2]),
                                Boolean.parseBoolean(w[3]),
                                Boolean.parseBoolean(w[4]),
                                finite(w[5]),
                                finite(w[6])));
                    default -> throw new IllegalArgumentException("no such fact");
                }
            } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
                throw new IllegalArgumentException("line " + (i + 1) + ": " + e.getMessage());
            }
        }
        return new LearnedState(at, life, uplinks, hosts);
    }

    private static double finite(String word) {
        double v = Double.parseDouble(word);
        if (!Double.isFinite(v)) {
            throw new IllegalArgumentException(word + " is no figure");
        }
        return v;
    }

    private static String sum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
