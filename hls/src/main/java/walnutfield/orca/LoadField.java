package walnutfield.orca;

import java.util.Locale;
import walnutfield.play.LoadReport;

/**
 * The field {@code endpoint-load-metrics: TEXT name=value,...} of the Open Request Cost Aggregation format. Read
 * and written are {@code named_metrics.link}, {@code named_metrics.uplink} (use, 1 is full) and
 * {@code named_metrics.streams}; other names are passed over.
 */
public final class LoadField {
    public static final String NAME = "endpoint-load-metrics";
    private static final String LINK = "named_metrics.link";
    private static final String UPLINK = "named_metrics.uplink";
    private static final String STREAMS = "named_metrics.streams";

    private LoadField() {}

    public static String write(LoadReport load) {
        StringBuilder out = new StringBuilder("TEXT ");
        put(out, LINK, load.linkUse());
        put(out, UPLINK, load.uplinkUse());
        put(out, STREAMS, load.activeStreams());
        return out.toString();
    }

    private static void put(StringBuilder out, String name, double value) {
        if (!Double.isNaN(value)) {
            out.append(out.length() > 5 ? "," : "")
                    .append(name)
                    .append('=')
                    .append(String.format(Locale.ROOT, "%.4f", value));
        }
    }

    /** What the field tells; NaN for each figure that is absent, malformed, negative or without end. */
    public static LoadReport read(String field) {
        if (field == null || !field.startsWith("TEXT ")) {
            return LoadReport.NONE;
        }
        double link = Double.NaN;
        double uplink = Double.NaN;
        double streams = Double.NaN;
        for (String pair : field.substring(5).split(",")) {
            int eq = pair.indexOf('=');
            if (eq < 0) {
                continue;
            }
            double v = number(pair.substring(eq + 1));
            switch (pair.substring(0, eq).strip()) {
                case LINK -> link = v;
                case UPLINK -> uplink = v;
                case STREAMS -> streams = v;
                default -> {}
            }
        }
        return new LoadReport(link, uplink, streams);
    }

    private static double number(String text) {
        try {
            double v = Double.parseDouble(text.strip());
            return v >= 0 && v < 1e9 ? v : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
