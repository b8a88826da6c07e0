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
 * A complete host list, or the changes that lead to its next version. Hosts that a complete list does not name are
 * gone. The version number is that of the resulting list; it grows with each change.
 *
 * <p>As text, a header line {@code walnutfield-hosts 1 whole|changes NUMBER} (1 is the version of the format) is
 * followed by one line per host:
 * {@code host ID address=A:P place=P slots=N cell=N state=ready|draining|gone units=X started=MS}.
 */
public record HostList(boolean complete, long version, List<HostEntry> hosts) {
    private static final String HEADER_PREFIX = "walnutfield-hosts 1 ";

    /** Thrown for a text that is not a valid host list; the message names the line and the reason. */
    public static final class Malformed extends Exception {
        private static final long serialVersionUID = 1L;

        Malformed(int line, String reason) {
            super("line " + line + ": " + reason);
        }
    }

    public HostList {
        hosts = List.copyOf(hosts);
    }

    /** The list in its text form. */
    public String text() {
        StringBuilder out = new StringBuilder(HEADER_PREFIX)
                .append(complete ? "whole " : "changes ")
                .append(version)
                .append('\n');
        for (HostEntry entry : hosts) {
            HostDescriptor descriptor = entry.descriptor();
            out.append("host ")
                    .append(descriptor.host().value())
                    .append(" address=")
                    .append(entry.address().getHostString())
                    .append(':')
                    .append(entry.address().getPort())
                    .append(" place=")
                    .append(descriptor.place().value())
                    .append(" slots=")
                    .append(descriptor.maxStreams())
                    .append(" cell=")
                    .append(descriptor.cell())
                    .append(" state=")
                    .append(descriptor.state().name().toLowerCase(Locale.ROOT))
                    .append(" units=")
                    .append(descriptor.capacityUnits())
                    .append(" started=")
                    .append(descriptor.startedAt())
                    .append('\n');
        }
        return out.toString();
    }

    /** Reads a list from its text form; blank lines and unknown attributes of hosts are ignored. */
    public static HostList parse(String text) throws Malformed {
        String[] lines = text.split("\r?\n", -1);
        if (!lines[0].startsWith(HEADER_PREFIX)) {
            throw new Malformed(1, "a list begins with '" + HEADER_PREFIX + "whole|changes NUMBER'");
        }
        String[] header = lines[0].substring(HEADER_PREFIX.length()).strip().split(" ");
        if (header.length != 2
                || !header[0].equals("whole") && !header[0].equals("changes")
                || !header[1].matches("[0-9]{1,18}")) {
            throw new Malformed(1, "the header must end in 'whole' or 'changes' and a version number");
        }
        List<HostEntry> hosts = new ArrayList<>();
        Set<String> hostIds = new HashSet<>();
        for (int i = 1; i < lines.length; i++) {
            if (lines[i].isBlank()) {
                continue;
            }
            HostEntry entry = parseEntry(lines[i], i + 1);
            if (!hostIds.add(entry.descriptor().host().value())) {
                throw new Malformed(i + 1, "host " + entry.descriptor().host().value() + " is listed twice");
            }
            hosts.add(entry);
        }
        return new HostList(header[0].equals("whole"), Long.parseLong(header[1]), hosts);
    }

    private static HostEntry parseEntry(String text, int lineNumber) throws Malformed {
        String[] words = text.strip().split(" +");
        if (words.length < 2 || !words[0].equals("host")) {
            throw new Malformed(lineNumber, "a line must have the form 'host ID name=value ...'");
        }
        Map<String, String> attributes = new TreeMap<>();
        for (int i = 2; i < words.length; i++) {
            int equals = words[i].indexOf('=');
            if (equals < 1) {
                throw new Malformed(lineNumber, "'" + words[i] + "' is not of the form name=value");
            }
            attributes.put(words[i].substring(0, equals), words[i].substring(equals + 1));
        }
        String address = attributes.getOrDefault("address", "");
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new Malformed(lineNumber, "address is missing or not of the form name:port");
        }
        int port = (int) parseNumber(address.substring(colon + 1), "port", 1, 65_535, lineNumber);
        HostDescriptor.LifecycleState state;
        try {
            state = HostDescriptor.LifecycleState.valueOf(
                    attributes.getOrDefault("state", "").toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new Malformed(lineNumber, "state must be ready, draining or gone");
        }
        HostDescriptor descriptor = new HostDescriptor(
                new HostId(words[1]),
                new PlaceId(attributes.getOrDefault("place", "")),
                (int) parseNumber(attributes.getOrDefault("slots", "0"), "slots", 0, 1e6, lineNumber),
                (int) parseNumber(attributes.getOrDefault("cell", "0"), "cell", 0, 1e6, lineNumber),
                state,
                parseNumber(attributes.getOrDefault("units", "1"), "units", 0, 1e9, lineNumber),
                parseNumber(attributes.getOrDefault("started", "0"), "started", 0, 1e15, lineNumber));
        return new HostEntry(descriptor, new InetSocketAddress(address.substring(0, colon), port));
    }

    private static double parseNumber(String text, String attribute, double min, double max, int lineNumber)
            throws Malformed {
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, as a number out of range is.
        }
        throw new Malformed(lineNumber, attribute + " is not a number from " + (long) min + " to " + (long) max);
    }
}
