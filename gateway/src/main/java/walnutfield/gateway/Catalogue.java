package walnutfield.gateway;

import java.util.Map;
import walnutfield.play.Ladder;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;

/** What can be played: titles by id and bands by name, as the settings give them. */
public record Catalogue(Map<TitleId, Title> titles, Map<String, TrafficClass> bands, Ladder ladder) {
    /**
     * @param firstCell where the cells that hold it begin
     * @param holders   how many there are in a row
     * @param lengthMs  0 where it is not known
     */
    public record Title(TitleId id, int firstCell, int holders, double lengthMs) {}

    public Catalogue {
        titles = Map.copyOf(titles);
        bands = Map.copyOf(bands);
    }

    /** The highest rung whose rate is within so many kilobits a second (CMCD's {@code tb}). */
    int rungWithin(TrafficClass band, long kbitS) {
        int best = 0;
        for (int r = 0; r < ladder.kb().size(); r++) {
            best = ladder.rate(band, r) * 8 <= kbitS ? r : best;
        }
        return best;
    }
}
