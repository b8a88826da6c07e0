package walnutfield.desk;

import walnutfield.play.Learnt;

/** Guards against a result that calls back into the desk that gave it; such a call is refused. */
public final class OneCall implements Taker {
    private final Taker to;
    private boolean within;

    public OneCall(Taker to) {
        this.to = to;
    }

    @Override
    public void take(double time, Call call) {
        if (within) {
            throw new IllegalStateException("a call within a call: " + call);
        }
        within = true;
        try {
            to.take(time, call);
        } finally {
            within = false;
        }
    }

    @Override
    public Learnt learnt(double time) {
        return to.learnt(time);
    }
}
