package walnutfield.desk;

import walnutfield.play.LearnedState;

/** Takes what happens at one gateway; what is to be done comes to the gateway that it was made with. */
public interface CallHandler {
    /**
     * @param time never less than that of the call before, in ms
     */
    void handle(double time, Call call);

    /** What was learnt so far and is worth keeping for the next life. */
    default LearnedState learnt(double time) {
        return LearnedState.NOTHING;
    }
}
