package walnutfield.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The order in which an event loop runs what was due during a stall of the process. */
class EventLoopTest {
    private static final long STALL_MS = 300;

    private final BlockingQueue<String> run = new LinkedBlockingQueue<>();
    private final EventLoop eventLoop = new EventLoop("test", 1, (waitMs, runMs) -> {});

    @AfterEach
    void stop() {
        eventLoop.stop();
    }

    private static void stall() {
        try {
            Thread.sleep(STALL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String next() throws InterruptedException {
        return run.poll(5, TimeUnit.SECONDS);
    }

    /** Guards against set-ups that are sent by an old host list after the process stood still. */
    @Test
    void anUrgentEventThatIsReadAfterAStallRunsBeforeTimersThatAreDue() throws Exception {
        eventLoop.onStall(() -> eventLoop.postUrgent(() -> run.add("host list")));
        eventLoop.start();
        eventLoop.post(() -> {
            eventLoop.schedule(eventLoop.now() + STALL_MS / 2.0, () -> run.add("timer"));
            stall();
        });
        eventLoop.post(() -> run.add("event"));
        assertEquals("host list", next());
        assertEquals("event", next());
        assertEquals("timer", next());
    }

    @Test
    void anIdleLoopIsNotStalled() throws Exception {
        eventLoop.onStall(() -> run.add("stall"));
        eventLoop.start();
        eventLoop.post(() -> eventLoop.schedule(eventLoop.now() + STALL_MS, () -> run.add("timer")));
        assertEquals("timer", next());
    }
}
