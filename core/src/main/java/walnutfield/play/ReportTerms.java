package walnutfield.play;

/**
 * How load becomes known.
 *
 * @param mayProbe     hosts may be probed
 * @param probePrice   points of service, as a share, for one probe a play
 * @param toldLateMs   how late figures about playing plays are
 * @param askForList   the list of hosts comes only when asked for
 * @param maySay       gateways may say things to each other
 * @param sayPrice     points of service, as a share, for one full message of 256 bytes a play
 */
public record ReportTerms(boolean mayProbe, double probePrice, double toldLateMs, boolean askForList,
                          boolean maySay, double sayPrice) { }
