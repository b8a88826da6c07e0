package walnutfield.gateway;

import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import walnutfield.loop.DeskThread;
import walnutfield.net.Clock;

/** How wishes of every front get to the desk's thread: through its bounded queue, or not at all. Any thread may use it. */
final class Admission {
    private final DeskThread thread;
    private final Plays plays;
    private final Terms.Front terms;
    private final Queue<Waiting> waiting = new ConcurrentLinkedQueue<>(); // emptied by the sweep
    private volatile boolean draining;

    Admission(DeskThread thread, Plays plays, Terms.Front terms) {
        this.thread = thread;
        this.plays = plays;
        this.terms = terms;
    }

    /** Takes no more wishes. */
    void drain() {
        draining = true;
    }

    boolean isDraining() {
        return draining;
    }

    /** Whoever cannot be taken is told when to come again. */
    void turnAway(Asker x) {
        x.refuse(503, null, terms.retryAfterS() * 1000.0);
    }

    /**
     * Hands a wish to the desk's thread, unless too many wait there.
     *
     * @param make run on that thread where the wish joins no open play
     */
    void take(Asker x, Viewing.Key key, double at, Supplier<Viewing> make) {
        take(x, at, () -> plays.asked(x, key, at, make));
    }

    /** The same for what is yet to be read there. */
    void take(Asker x, double at, Runnable there) {
        Waiting w = new Waiting(x, at);
        if (draining
                || !thread.offer(() -> {
                    if (w.settle()) {
                        there.run();
                    }
                })) {
            turnAway(x);
        } else {
            waiting.add(w);
        }
    }

    /**
     * Guards against wishes left unanswered while the desk's thread stands still or is far behind: what waited too
     * long for it is shed from here, untaken. It harms where the thread would have come to it just then.
     */
    void sweep() {
        double oldest = Clock.now() - terms.untakenMs();
        for (Iterator<Waiting> all = waiting.iterator(); all.hasNext(); ) {
            Waiting w = all.next();
            if (!w.isSettled() && w.at > oldest) {
                continue;
            }
            all.remove();
            if (w.settle() && !w.asker.isDone()) {
                turnAway(w.asker);
            }
        }
    }
}
