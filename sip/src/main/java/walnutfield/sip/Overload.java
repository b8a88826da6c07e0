package walnutfield.sip;

import gov.nist.javax.sip.header.Via;
import java.util.List;
import java.util.Locale;

/**
 * Overload control (RFC 7339): how many of a hundred requests a server wants to be spared, as it stands in the topmost Via.
 *
 * @param percent  the loss algorithm's oc
 * @param validMs  oc-validity
 * @param sequence oc-seq: a later one replaces an earlier one
 */
public record Overload(int percent, double validMs, double sequence) {
    /** What a response's Via tells; null for nothing, or for what is not of the loss algorithm. */
    public static Overload read(Via via) {
        String oc = via.getParameter("oc");
        String algo = via.getParameter("oc-algo");
        if (oc == null
                || !oc.matches("[0-9]{1,3}")
                || Integer.parseInt(oc) > 100
                || algo != null && !algo.contains("loss")) {
            return null;
        }
        String valid = via.getParameter("oc-validity");
        String seq = via.getParameter("oc-seq");
        return new Overload(
                Integer.parseInt(oc),
                valid != null && valid.matches("[0-9]{1,9}") ? Long.parseLong(valid) : 500,
                seq != null && seq.matches("[0-9]{1,12}(\\.[0-9]{1,5})?") ? Double.parseDouble(seq) : 0);
    }

    /** Whether the sender of a request understands it: only then is it told (section 4.1). */
    public static boolean isAsked(Via via) {
        return via.hasParameter("oc");
    }

    /** Writes it into the Via of a response. */
    public void write(Via via) {
        try {
            for (String name : List.of("oc", "oc-algo", "oc-validity", "oc-seq")) {
                via.removeParameter(name); // one that was quoted would be quoted twice
            }
            via.setParameter("oc", Integer.toString(percent));
            via.setParameter("oc-algo", "\"loss\"");
            via.setParameter("oc-validity", Long.toString((long) validMs));
            via.setParameter("oc-seq", String.format(Locale.ROOT, "%.3f", sequence));
        } catch (java.text.ParseException e) {
            throw new IllegalStateException(e); // they are tokens
        }
    }

    /** Use of a link that wants so many of a hundred spared: what is left fills it. 1 is full. */
    public double use() {
        return percent == 0 ? Double.NaN : percent >= 100 ? 100 : 100.0 / (100 - percent);
    }
}
