package walnutfield.desk;

import java.util.List;
import walnutfield.play.Band;
import walnutfield.play.PlayId;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Through this leaves what a desk decides beside the module: on inserts, and on plays whose host was lost. */
public interface Carrier {
    /** Carries nothing out. */
    Carrier NONE = new Carrier() {
        @Override
        public void planned(PlayId viewing, List<Insert> inserts) {}

        @Override
        public void askFor(PlayId viewing, int slot, Band band) {}

        @Override
        public void askAgain(PlayId viewing, int slot, double at) {}

        @Override
        public void reported(PlayId viewing, int slot, InsertId insert, String what) {}

        @Override
        public void comesBack(PlayId play, boolean back) {}
    };

    /** The viewing's inserts in the order of their places; a slot's number is its place in the list. */
    void planned(PlayId viewing, List<Insert> inserts);

    /** Take a wish for it to the module, under this band. */
    void askFor(PlayId viewing, int slot, Band band);

    /** Say at that time that it is due. */
    void askAgain(PlayId viewing, int slot, double at);

    /**
     * What it came to.
     *
     * @param slot -1 for one that was never planned
     * @param what started, completed, or dropped- and why
     */
    void reported(PlayId viewing, int slot, InsertId insert, String what);

    /** Whether a play whose host was lost is wished for anew. */
    void comesBack(PlayId play, boolean back);
}
