package walnutfield.gateway;

import java.util.Map;
import walnutfield.play.Ladder;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;

/** What the settings allow to be played: titles by id and traffic classes by name, and the ladder of rungs. */
public record Catalogue(Map<TitleId, Title> titles, Map<String, TrafficClass> trafficClasses, Ladder ladder) {
    /**
     * A title.
     *
     * @param firstCell   first of the consecutive cells that hold it
     * @param holderCount number of those cells
     * @param lengthMs    0 if unknown
     */
    public record Title(TitleId id, int firstCell, int holderCount, double lengthMs) {}

    public Catalogue {
        titles = Map.copyOf(titles);
        trafficClasses = Map.copyOf(trafficClasses);
    }

    /** Returns the highest rung whose rate is within this many kbit/s (CMCD's {@code tb}). */
    int highestRungWithin(TrafficClass trafficClass, long maxKbitS) {
        int highest = 0;
        for (int rung = 0; rung < ladder.ratesKb().size(); rung++) {
            highest = ladder.rateKb(trafficClass, rung) * 8 <= maxKbitS ? rung : highest;
        }
        return highest;
    }
}
