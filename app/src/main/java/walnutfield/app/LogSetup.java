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

/** Sends the log as JSON, a line an event, to a file or to standard error. */
final class LogSetup {
    private LogSetup() {}

    static void to(Path file, Level level) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        JsonEncoder json = new JsonEncoder();
        json.setContext(context);
        json.setWithFormattedMessage(true);
        json.setWithMessage(false);
        json.setWithArguments(false);
        json.setWithContext(false);
        json.setWithSequenceNumber(false);
        json.setWithNanoseconds(false);
        json.start();
        OutputStreamAppender<ILoggingEvent> out;
        if (file == null) {
            ConsoleAppender<ILoggingEvent> c = new ConsoleAppender<>();
            c.setTarget("System.err");
            out = c;
        } else {
            FileAppender<ILoggingEvent> f = new FileAppender<>();
            f.setFile(file.toString());
            f.setAppend(false);
            out = f;
        }
        out.setContext(context);
        out.setEncoder(json);
        out.start();
        context.getLogger("ROOT").setLevel(Level.WARN);
        context.getLogger("walnutfield").setLevel(level);
        context.getLogger("access").setLevel(level);
        context.getLogger("insert").setLevel(level);
        context.getLogger("ROOT").addAppender(out);
        java.util.logging.LogManager.getLogManager().reset(); // Grizzly's own
    }
}
