package walnutfield.desk;

import walnutfield.play.LearnedState;

/**
 * Handles the events of one gateway. The resulting decisions go to the {@link walnutfield.play.GatewayActions} that the
 * handler was constructed with.
 */
public interface CallHandler {
    /**
     * Handles one event.
     *
     * @param time when it happened, in ms; never less than that of the previous call
     */
    void handle(double time, Call call);

    /** What has been learned so far and is worth persisting for the next process lifetime. */
    default LearnedState learnedState(double time) {
        return LearnedState.NOTHING;
    }
}
