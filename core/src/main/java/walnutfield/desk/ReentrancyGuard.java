package walnutfield.desk;

import walnutfield.play.LearnedState;

/** Guards against a result that calls back into the desk that gave it; such a call is refused. */
public final class ReentrancyGuard implements CallHandler {
    private final CallHandler to;
    private boolean within;

    public ReentrancyGuard(CallHandler to) {
        this.to = to;
    }

    @Override
    public void handle(double time, Call call) {
        if (within) {
            throw new IllegalStateException("a call within a call: " + call);
        }
        within = true;
        try {
            to.handle(time, call);
        } finally {
            within = false;
        }
    }

    @Override
    public LearnedState learnt(double time) {
        return to.learnt(time);
    }
}
