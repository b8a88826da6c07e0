package walnutfield.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import walnutfield.net.Exchange;

/** A wish on its way to the desk's thread: either that takes it, or the front sheds it, never both. */
final class Waiting {
    final Exchange exchange;
    final double at;
    private final AtomicBoolean settled = new AtomicBoolean();

    Waiting(Exchange exchange, double at) {
        this.exchange = exchange;
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
