package walnutfield.desk;

import java.util.List;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;

/** Receives the decisions that a desk makes outside the Director: on inserts, and on plays whose host was lost. */
public interface InsertActions {
    /** Does nothing. */
    InsertActions NONE = new InsertActions() {
        @Override
        public void insertsPlanned(PlayId viewing, List<Insert> inserts) {}

        @Override
        public void requestInsert(PlayId viewing, int slot, TrafficClass trafficClass) {}

        @Override
        public void retryInsert(PlayId viewing, int slot, double time) {}

        @Override
        public void insertReported(PlayId viewing, int slot, InsertId insert, String report) {}

        @Override
        public void playRecovery(PlayId play, boolean recover) {}
    };

    /** The inserts of a viewing in the order of their positions; a slot's number is its index in the list. */
    void insertsPlanned(PlayId viewing, List<Insert> inserts);

    /** Requests a play of the insert from the Director, in the given traffic class. */
    void requestInsert(PlayId viewing, int slot, TrafficClass trafficClass);

    /** Asks for a {@link Call.InsertDue} for the slot at the given time. */
    void retryInsert(PlayId viewing, int slot, double time);

    /**
     * Reports that an insert started, completed or was dropped.
     *
     * @param slot   -1 for an insert that was never planned
     * @param report "started", "completed", or "dropped-" followed by the reason
     */
    void insertReported(PlayId viewing, int slot, InsertId insert, String report);

    /** Says whether the gateway requests a play anew whose host was lost. */
    void playRecovery(PlayId play, boolean recover);
}
