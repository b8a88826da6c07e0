package walnutfield.hosts;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.PlaceId;

/**
 * A list, or changes of one. Text: a head {@code walnutfield-hosts 1 whole|changes NUMBER}, then one line a host:
 * {@code host ID address=A:P place=P slots=N cell=N state=ready|draining|gone units=X started=MS}.
 *
 * @param whole  hosts that are not in it are gone
 * @param number of the version that it makes; grows with each change
 */
public record HostList(boolean whole, long number, List<HostEntry> hosts) {
    private static final String HEAD = "walnutfield-hosts 1 ";

    /** A text that is no list; the message names line and reason. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(int line, String reason) {
            super("line " + line + ": " + reason);
        }
    }

    public HostList {
        hosts = List.copyOf(hosts);
    }

    public String text() {
        StringBuilder out = new StringBuilder(HEAD)
                .append(whole ? "whole " : "changes ")
                .append(number)
                .append('\n');
        for (HostEntry e : hosts) {
            HostDescriptor l = e.line();
            out.append("host ")
                    .append(l.host().value())
                    .append(" address=")
                    .append(e.address().getHostString())
                    .append(':')
                    .append(e.address().getPort())
                    .append(" place=")
                    .append(l.place().value())
                    .append(" slots=")
                    .append(l.maxStreams())
                    .append(" cell=")
                    .append(l.cell())
                    .append(" state=")
                    .append(l.state().name().toLowerCase(Locale.ROOT))
                    .append(" units=")
                    .append(l.capacityUnits())
                    .append(" started=")
                    .append(l.startedAt())
                    .append('\n');
        }
        return out.toString();
    }

    public static HostList parse(String text) throws Malformed {
        String[] lines = text.split("\r?\n", -1);
        if (!lines[0].startsWith(HEAD)) {
            throw new Malformed(1, "a list begins with '" + HEAD + "whole|changes NUMBER'");
        }
        String[] head = lines[0].substring(HEAD.length()).strip().split(" ");
        if (head.length != 2
                || !head[0].equals("whole") && !head[0].equals("changes")
                || !head[1].matches("[0-9]{1,18}")) {
            throw new Malformed(1, "the head does not say whole or changes and a number");
        }
        List<HostEntry> hosts = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (int i = 1; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            HostEntry e = entry(lines[i], i + 1);
            if (!names.add(e.line().host().value())) {
                throw new Malformed(i + 1, "host " + e.line().host().value() + " is listed twice");
            }
            hosts.add(e);
        }
        return new HostList(head[0].equals("whole"), Long.parseLong(head[1]), hosts);
    }

    private static HostEntry entry(String text, int line) throws Malformed {
        String[] words = text.strip().split(" +");
        if (words.length < 2 || !words[0].equals("host")) {
            throw new Malformed(line, "a line is 'host ID name=value ...'");
        }
        Map<String, String> given = new TreeMap<>();
        for (int i = 2; i < words.length; i++) {
            int eq = words[i].indexOf('=');
            if (eq < 1) {
                throw new Malformed(line, "'" + words[i] + "' is no name=value");
            }
            given.put(words[i].substring(0, eq), words[i].substring(eq + 1));
        }
        String address = given.getOrDefault("address", "");
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new Malformed(line, "address is no name:port");
        }
        int port = (int) number(address.substring(colon + 1), "port", 1, 65_535, line);
        HostDescriptor.LifecycleState standing;
        try {
            standing = HostDescriptor.LifecycleState.valueOf(
                    given.getOrDefault("state", "").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new Malformed(line, "state is ready, draining or gone");
        }
        HostDescriptor l = new HostDescriptor(
                new HostId(words[1]),
                new PlaceId(given.getOrDefault("place", "")),
                (int) number(given.getOrDefault("slots", "0"), "slots", 0, 1e6, line),
                (int) number(given.getOrDefault("cell", "0"), "cell", 0, 1e6, line),
                standing,
                number(given.getOrDefault("units", "1"), "units", 0, 1e9, line),
                number(given.getOrDefault("started", "0"), "started", 0, 1e15, line));
        return new HostEntry(l, new InetSocketAddress(address.substring(0, colon), port));
    }

    private static double number(String text, String what, double least, double most, int line) throws Malformed {
        try {
            double v = Double.parseDouble(text);
            if (v >= least && v <= most) {
                return v;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new Malformed(line, what + " is no number from " + (long) least + " to " + (long) most);
    }
}
