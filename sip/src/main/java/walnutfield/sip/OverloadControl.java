package walnutfield.sip;

import gov.nist.javax.sip.header.Via;
import java.util.List;
import java.util.Locale;

/**
 * Overload control (RFC 7339) by the loss algorithm: the share of requests that a server asks its client not to send,
 * carried in parameters of the topmost Via.
 *
 * @param lossPercent oc: percentage of requests not to send
 * @param validityMs  oc-validity: how long the value holds in ms
 * @param sequence    oc-seq: a later value replaces an earlier one
 */
public record OverloadControl(int lossPercent, double validityMs, double sequence) {
    /**
     * Reads the overload control parameters of a response's Via; null if there are none, they are malformed, or they
     * belong to another algorithm than loss.
     */
    public static OverloadControl read(Via via) {
        String lossParameter = via.getParameter("oc");
        String algorithm = via.getParameter("oc-algo");
        if (lossParameter == null
                || !lossParameter.matches("[0-9]{1,3}")
                || Integer.parseInt(lossParameter) > 100
                || algorithm != null && !algorithm.contains("loss")) {
            return null;
        }
        String validityParameter = via.getParameter("oc-validity");
        String sequenceParameter = via.getParameter("oc-seq");
        return new OverloadControl(
                Integer.parseInt(lossParameter),
                validityParameter != null && validityParameter.matches("[0-9]{1,9}")
                        ? Long.parseLong(validityParameter)
                        : 500,
                sequenceParameter != null && sequenceParameter.matches("[0-9]{1,12}(\\.[0-9]{1,5})?")
                        ? Double.parseDouble(sequenceParameter)
                        : 0);
    }

    /** Whether the sender of a request supports overload control: only then may a response carry it (section 4.1). */
    public static boolean isSupported(Via via) {
        return via.hasParameter("oc");
    }

    /** Writes the parameters into the Via of a response. */
    public void write(Via via) {
        try {
            for (String name : List.of("oc", "oc-algo", "oc-validity", "oc-seq")) {
                via.removeParameter(name); // setting a quoted value over an existing one would quote it twice
            }
            via.setParameter("oc", Integer.toString(lossPercent));
            via.setParameter("oc-algo", "\"loss\"");
            via.setParameter("oc-validity", Long.toString((long) validityMs));
            via.setParameter("oc-seq", String.format(Locale.ROOT, "%.3f", sequence));
        } catch (java.text.ParseException e) {
            throw new IllegalStateException(e); // cannot happen: all values are tokens or quoted strings
        }
    }

    /**
     * The utilization that the loss percentage implies, where 1 is full: the requests that remain after the loss are
     * taken to fill the server, so the offered load is 100 / (100 - loss). NaN without loss; 100 for a total loss.
     */
    public double utilization() {
        return lossPercent == 0 ? Double.NaN : lossPercent >= 100 ? 100 : 100.0 / (100 - lossPercent);
    }
}
