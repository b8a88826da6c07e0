package walnutfield.standin.audit;

import java.util.Map;
import walnutfield.play.Band;
import walnutfield.play.ColdTerms;
import walnutfield.play.LegTerms;

/**
 * The figures of the six rules.
 *
 * @param graceMs drains: nothing new later than this after being told
 * @param slackMs what crossing two sockets may take: sights of two ends are that far apart at most
 */
public record Rules(Map<String, Band> bands, LegTerms legs, ColdTerms cold, double graceMs, double slackMs) { }
