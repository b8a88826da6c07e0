package walnutfield.decide;

import walnutfield.play.Outcome;

/** A step on a play's way out; what comes back runs the steps the other way. */
interface Stage {
    /** Passed on, kept by the stage, or ended without an answer from a host. */
    enum Verdict {
        PASS,
        KEEP,
        END
    }

    Verdict pass(Play p, double now);

    default void back(Play p, Outcome how, double now) {}
}
