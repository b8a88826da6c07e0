package walnutfield.gateway;

import java.util.concurrent.atomic.AtomicBoolean;

/** A wish on its way to the desk's thread: either that takes it, or the front sheds it, never both. */
final class Waiting {
    final Asker asker;
    final double at;
    private final AtomicBoolean settled = new AtomicBoolean();

    Waiting(Asker asker, double at) {
        this.asker = asker;
        this.at = at;
    }

    /** True for the first who asks only. */
    boolean settle() {
        return settled.compareAndSet(false, true);
    }

    boolean isSettled() {
        return settled.get();
    }
}
