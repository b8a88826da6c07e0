package walnutfield.play;

/**
 * How load becomes known.
 *
 * @param mayProbe     hosts may be probed
 * @param probePrice   points of service, as a share, for one probe a play
 * @param toldLateMs   how late figures about playing plays are
 * @param askForList   the list of hosts comes only when asked for
 * @param inAnswers    hosts tell their load in answers too, not to probes alone
 */
public record LoadReportSettings(
        boolean probingAllowed,
        double probeCost,
        double reportDelayMs,
        boolean pullHostList,
        boolean loadInResponses) {}
