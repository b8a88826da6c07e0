package walnutfield.standin.day;

import java.util.List;
import walnutfield.standin.HostPlan;
import walnutfield.standin.HostTerms;
import walnutfield.standin.audit.Rules;

/**
 * One scripted day.
 *
 * @param lengthMs   viewers come for so long
 * @param listLateMs what the list tells of a host is so late
 */
public record Day(
        long seed,
        double lengthMs,
        int gateways,
        double listLateMs,
        List<HostPlan> hosts,
        HostTerms hostTerms,
        Crowd crowd,
        Rules rules,
        List<Fault> faults) {}
