package walnutfield.desk;

import walnutfield.play.Learnt;

/** Takes what happens at one gateway; what is to be done comes to the gateway that it was made with. */
public interface Taker {
    /**
     * @param time never less than that of the call before, in ms
     */
    void take(double time, Call call);

    /** What was learnt so far and is worth keeping for the next life. */
    default Learnt learnt(double time) {
        return Learnt.NOTHING;
    }
}
