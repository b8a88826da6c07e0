package walnutfield.standin.day;

import java.util.List;
import walnutfield.standin.HostPlan;
import walnutfield.standin.MediaHostSettings;
import walnutfield.standin.audit.Rules;

/**
 * The plan of one scripted rehearsal day.
 *
 * @param seed         seed of all random draws
 * @param lengthMs     how long viewers keep arriving
 * @param gateways     number of gateways
 * @param listDelayMs  delay of the list service's updates about hosts
 * @param hosts        the media hosts
 * @param hostSettings how the media hosts behave
 * @param population   the viewers and callers
 * @param rules        the limits that the run is audited with
 * @param faults       the faults to inject
 */
public record DayPlan(
        long seed,
        double lengthMs,
        int gateways,
        double listDelayMs,
        List<HostPlan> hosts,
        MediaHostSettings hostSettings,
        ViewerPopulation population,
        Rules rules,
        List<Fault> faults) {}
