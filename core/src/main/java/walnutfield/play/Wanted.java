package walnutfield.play;

import java.util.List;

/**
 * A viewer's wish to play.
 *
 * @param customer  null where service is not shared out
 * @param firstCell where the cells that hold the title begin
 * @param holders   how many there are in a row
 * @param bestRung  highest rung that this viewer can use
 * @param moved     back after a move
 * @param lengthMs  expected length; 0 if not told
 * @param leftMs    the viewer waits so much longer
 */
public record Wanted(PlayId play, ViewerId viewer, TitleId title, CustomerId customer, Band band,
                     int firstCell, int holders, int bestRung, boolean moved,
                     double lengthMs, double leftMs) {
    /** What seats are counted for: title and band. */
    public List<Object> seat() {
        return List.of(title, band.name());
    }
}
