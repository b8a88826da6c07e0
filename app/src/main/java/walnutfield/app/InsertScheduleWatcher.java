package walnutfield.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Schedule;

/** A schedule of inserts in a file: read again when the file changes; a wrong one is refused and the last one stays. */
final class InsertScheduleWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(InsertScheduleWatcher.class);
    private static final long LOOK_MS = 500;
    private final Path file;
    private final Map<String, TrafficClass> bands;
    private final Consumer<Schedule> to;
    private String last = "";

    InsertScheduleWatcher(Path file, Map<String, TrafficClass> bands, Consumer<Schedule> to) {
        this.file = file;
        this.bands = bands;
        this.to = to;
    }

    /** Reads it now, where a fault is an error, and then looks at it again and again. */
    void start() throws InvalidSettingsException {
        last = text();
        to.accept(Settings.schedule(XmlElement.parse(file.toString(), last, "inserts"), bands));
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, "inserts");
            t.setDaemon(true);
            return t;
        });
        timer.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private String text() throws InvalidSettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(file.toString(), 0, "cannot be read: " + e.getMessage());
        }
    }

    /** Takes what has changed; anything that is wrong is told once and changes nothing. */
    void look() {
        try {
            String now = text();
            if (!now.equals(last)) {
                last = now;
                to.accept(Settings.schedule(XmlElement.parse(file.toString(), now, "inserts"), bands));
            }
        } catch (InvalidSettingsException e) {
            LOG.atWarn().addKeyValue("reason", e.getMessage()).log("schedule refused");
        }
    }
}
