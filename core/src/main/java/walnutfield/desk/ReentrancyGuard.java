package walnutfield.desk;

import walnutfield.play.LearnedState;

/** Rejects a call that is made while another call is still being handled, such as one made by a result's receiver. */
public final class ReentrancyGuard implements CallHandler {
    private final CallHandler delegate;
    private boolean handling;

    public ReentrancyGuard(CallHandler delegate) {
        this.delegate = delegate;
    }

    @Override
    public void handle(double time, Call call) {
        if (handling) {
            throw new IllegalStateException("re-entrant call while another call is being handled: " + call);
        }
        handling = true;
        try {
            delegate.handle(time, call);
        } finally {
            handling = false;
        }
    }

    @Override
    public LearnedState learnedState(double time) {
        return delegate.learnedState(time);
    }
}
