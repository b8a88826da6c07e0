package walnutfield.desk;

import java.util.List;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Through this leaves what a desk decides beside the module: on inserts, and on plays whose host was lost. */
public interface InsertActions {
    /** Carries nothing out. */
    InsertActions NONE = new InsertActions() {
        @Override
        public void insertsPlanned(PlayId viewing, List<Insert> inserts) {}

        @Override
        public void requestInsert(PlayId viewing, int slot, TrafficClass band) {}

        @Override
        public void retryInsert(PlayId viewing, int slot, double at) {}

        @Override
        public void insertReported(PlayId viewing, int slot, InsertId insert, String what) {}

        @Override
        public void playRecovery(PlayId play, boolean back) {}
    };

    /** The viewing's inserts in the order of their places; a slot's number is its place in the list. */
    void insertsPlanned(PlayId viewing, List<Insert> inserts);

    /** Take a wish for it to the module, under this band. */
    void requestInsert(PlayId viewing, int slot, TrafficClass band);

    /** Say at that time that it is due. */
    void retryInsert(PlayId viewing, int slot, double at);

    /**
     * What it came to.
     *
     * @param slot -1 for one that was never planned
     * @param what started, completed, or dropped- and why
     */
    void insertReported(PlayId viewing, int slot, InsertId insert, String what);

    /** Whether a play whose host was lost is wished for anew. */
    void playRecovery(PlayId play, boolean back);
}
