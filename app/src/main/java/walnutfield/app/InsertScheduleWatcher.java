package walnutfield.app;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.net.PeriodicTask;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Schedule;

/**
 * Watches a file that holds a schedule of inserts and reads it again whenever it changes. An invalid schedule is
 * rejected with a warning, and the previous one stays in use.
 */
final class InsertScheduleWatcher {
    private static final Logger LOG = LoggerFactory.getLogger(InsertScheduleWatcher.class);
    private static final long POLL_INTERVAL_MS = 500;
    private final Path file;
    private final Map<String, TrafficClass> trafficClasses;
    private final Consumer<Schedule> onSchedule;
    private String lastText = "";

    InsertScheduleWatcher(Path file, Map<String, TrafficClass> trafficClasses, Consumer<Schedule> onSchedule) {
        this.file = file;
        this.trafficClasses = trafficClasses;
        this.onSchedule = onSchedule;
    }

    /**
     * Reads the file, then starts polling it for changes.
     *
     * @throws InvalidSettingsException where the first schedule is invalid or cannot be read
     */
    void start() throws InvalidSettingsException {
        lastText = readFile();
        onSchedule.accept(Settings.schedule(XmlElement.parse(file.toString(), lastText, "inserts"), trafficClasses));
        PeriodicTask.start("inserts", POLL_INTERVAL_MS, this::poll);
    }

    private String readFile() throws InvalidSettingsException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new InvalidSettingsException(file.toString(), 0, "cannot be read: " + e.getMessage());
        }
    }

    /** Applies the file if it has changed. A rejected text is remembered, so that the warning is not repeated. */
    void poll() {
        try {
            String currentText = readFile();
            if (!currentText.equals(lastText)) {
                lastText = currentText;
                onSchedule.accept(
                        Settings.schedule(XmlElement.parse(file.toString(), currentText, "inserts"), trafficClasses));
            }
        } catch (InvalidSettingsException e) {
            LOG.atWarn()
                    .addKeyValue("reason", e.getMessage())
                    .log("insert schedule rejected; the previous schedule stays in use");
        }
    }
}
