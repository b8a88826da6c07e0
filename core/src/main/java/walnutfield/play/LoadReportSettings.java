package walnutfield.play;

/**
 * How the load of hosts becomes known.
 *
 * @param probingAllowed  whether hosts may be probed
 * @param probeCost       part of the service that one probe for each play costs
 * @param reportDelayMs   delay of reports about playing plays
 * @param pullHostList    whether the host list comes only on request
 * @param loadInResponses whether hosts report their load in answers to set-ups too, not only to probes
 */
public record LoadReportSettings(
        boolean probingAllowed,
        double probeCost,
        double reportDelayMs,
        boolean pullHostList,
        boolean loadInResponses) {}
