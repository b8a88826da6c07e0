package walnutfield.app;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.FileAppender;
import ch.qos.logback.core.OutputStreamAppender;
import java.nio.file.Path;
import org.slf4j.LoggerFactory;

/** Configures logging: one line of JSON for each event, to a file or to standard error. */
final class LogSetup {
    private LogSetup() {}

    /**
     * @param file  null for standard error
     * @param level of this program's own loggers; all others log warnings and errors
     */
    static void configure(Path file, Level level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithFormattedMessage(true);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.start();
        OutputStreamAppender<ILoggingEvent> appender;
        if (file == null) {
            ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
            console.setTarget("System.err");
            appender = console;
        } else {
            FileAppender<ILoggingEvent> logFile = new FileAppender<>();
            logFile.setFile(file.toString());
            logFile.setAppend(false);
            appender = logFile;
        }
        appender.setContext(context);
        appender.setEncoder(encoder);
        appender.start();
        context.getLogger("ROOT").setLevel(Level.WARN);
        context.getLogger("walnutfield").setLevel(level);
        context.getLogger("access").setLevel(level);
        context.getLogger("insert").setLevel(level);
        context.getLogger("ROOT").addAppender(appender);
        java.util.logging.LogManager.getLogManager().reset(); // silences Grizzly, which logs through java.util.logging
    }
}
