package walnutfield.orca;

import java.util.Locale;
import walnutfield.play.LoadReport;

/**
 * The header field {@code endpoint-load-metrics: TEXT name=value,...} of Open Request Cost Aggregation (ORCA). The
 * metrics {@code named_metrics.link} and {@code named_metrics.uplink} (utilization, 1 is full) and
 * {@code named_metrics.streams} (number of streams) are read and written; all others are ignored.
 */
public final class LoadField {
    /** Name of the header field. */
    public static final String NAME = "endpoint-load-metrics";

    private static final String LINK = "named_metrics.link";
    private static final String UPLINK = "named_metrics.uplink";
    private static final String STREAMS = "named_metrics.streams";

    private LoadField() {}

    /** Formats a load report as the value of the field; metrics that are NaN are left out. */
    public static String write(LoadReport load) {
        StringBuilder out = new StringBuilder("TEXT ");
        appendMetric(out, LINK, load.linkUse());
        appendMetric(out, UPLINK, load.uplinkUse());
        appendMetric(out, STREAMS, load.activeStreams());
        return out.toString();
    }

    private static void appendMetric(StringBuilder out, String name, double value) {
        if (!Double.isNaN(value)) {
            out.append(out.length() > 5 ? "," : "")
                    .append(name)
                    .append('=')
                    .append(String.format(Locale.ROOT, "%.4f", value));
        }
    }

    /**
     * Parses the value of the field. A metric that is absent, malformed, negative or not below 1e9 (infinity included)
     * is NaN.
     *
     * @param field null if the message has no such field
     */
    public static LoadReport read(String field) {
        if (field == null || !field.startsWith("TEXT ")) {
            return LoadReport.NONE;
        }
        double linkUse = Double.NaN;
        double uplinkUse = Double.NaN;
        double activeStreams = Double.NaN;
        for (String pair : field.substring(5).split(",")) {
            int equals = pair.indexOf('=');
            if (equals < 0) {
                continue;
            }
            double value = parseMetric(pair.substring(equals + 1));
            switch (pair.substring(0, equals).strip()) {
                case LINK -> linkUse = value;
                case UPLINK -> uplinkUse = value;
                case STREAMS -> activeStreams = value;
                default -> {}
            }
        }
        return new LoadReport(linkUse, uplinkUse, activeStreams);
    }

    private static double parseMetric(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            return value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
