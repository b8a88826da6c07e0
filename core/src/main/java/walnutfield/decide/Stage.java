package walnutfield.decide;

import walnutfield.play.Outcome;

/** A stage that a play passes before a leg is set up; the end of a leg runs the stages in reverse order. */
interface Stage {
    /** PASS: on to the next stage; KEEP: the play stays with this stage; END: it ends without an answer from a host. */
    enum Verdict {
        PASS,
        KEEP,
        END
    }

    Verdict process(Play play, double now);

    default void onLegEnded(Play play, Outcome outcome, double now) {}
}
