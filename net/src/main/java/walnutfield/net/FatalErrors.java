package walnutfield.net;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What becomes of an {@link Error}, such as exhausted memory, on a thread that the process cannot do without. The state
 * that the thread has left behind is unknown, and a process that lives on without it answers nobody and is not
 * restarted: the process ends, so that its peers see their connections close.
 */
public final class FatalErrors {
    /** Exit status of a process that ended because of an error. */
    public static final int EXIT_STATUS = 70;

    private static final Logger LOG = LoggerFactory.getLogger(FatalErrors.class);

    private FatalErrors() {}

    /** Makes an error that no thread handles end the process; to be called once, as a process starts. */
    public static void endProcessOnError() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            try {
                LOG.atError().setCause(failure).log("thread {} ended", thread.getName());
            } finally {
                if (failure instanceof Error) {
                    Runtime.getRuntime().halt(EXIT_STATUS); // an exit would run hooks that may need what has failed
                }
            }
        });
    }

    /**
     * Passes an error to the default handler of uncaught ones. For threads of a library that would go on without a word;
     * their own handler may be the library's, which only logs.
     */
    public static void report(Throwable failure) {
        Thread.UncaughtExceptionHandler handler = Thread.getDefaultUncaughtExceptionHandler();
        if (failure instanceof Error && handler != null) {
            handler.uncaughtException(Thread.currentThread(), failure);
        }
    }
}
