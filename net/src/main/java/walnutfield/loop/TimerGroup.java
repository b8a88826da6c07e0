package walnutfield.loop;

import java.util.HashSet;
import java.util.Set;

/**
 * The timers of one owner, such as a play. Cancelling them as the owner ends keeps it from staying in memory until the
 * last of them is due. Used on the event loop only.
 */
public final class TimerGroup {
    private final EventLoop eventLoop;
    private final Set<EventLoop.Timer> pending = new HashSet<>(); // removed as they fire
    private boolean cancelled;

    public TimerGroup(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Runs the task at the given time, unless the group is cancelled before; does nothing if it is already. */
    public void schedule(double time, Runnable task) {
        if (cancelled) {
            return;
        }
        EventLoop.Timer[] timer = new EventLoop.Timer[1];
        timer[0] = eventLoop.schedule(time, () -> {
            pending.remove(timer[0]);
            task.run();
        });
        pending.add(timer[0]);
    }

    /** Cancels all timers of the group, also those yet to be scheduled. */
    public void cancel() {
        cancelled = true;
        pending.forEach(EventLoop.Timer::cancel);
        pending.clear();
    }
}
