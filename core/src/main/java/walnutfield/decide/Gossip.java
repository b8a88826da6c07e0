package walnutfield.decide;

import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.function.DoubleSupplier;
import java.util.zip.CRC32;
import walnutfield.play.Gateway;
import walnutfield.play.PlaceId;

/**
 * What gateways that may talk tell each other: hosts found lost. Two bytes (version, place), then three for each host:
 * two of its name's check sum, and its age in steps of AGE_MS. It is told to a few fellows and by them once more, so
 * that it spreads over a place; what would cost more than the told price allows is left unsaid.
 */
final class Gossip {
    private static final int VERSION = 1, HEAD = 2, ENTRY = 3, MOST = 250, BYTES = 256;
    private static final double AGE_MS = 20;
    private static final int FELLOWS = 4;      // are told at once
    private static final double SPEND = 0.002; // of service, on messages, by what a play earns
    private static final double NEAR = 0.8;    // part of messages that go to fellows of the same place
    private static final double SAVED = 2048;  // bytes

    /** A host that a fellow found lost, and when. */
    record Loss(Host host, double of) { }

    private final int me;
    private final int gateways;
    private final int place;
    private final double earned;
    private final DoubleSupplier chance;
    private final List<Integer> near = new ArrayList<>(); // fellows heard from the same place; one for each at most
    private double saved = SAVED;
    private double saidAt = Double.NEGATIVE_INFINITY;

    Gossip(int me, int gateways, PlaceId place, double price, DoubleSupplier chance) {
        this.me = me;
        this.gateways = gateways;
        this.place = sum(place.value()) & 255;
        this.chance = chance;
        earned = BYTES * SPEND / Math.max(1e-9, price);
    }

    /** A play was taken: so much more may be said. */
    void earn() {
        saved = Math.min(SAVED, saved + earned);
    }

    /** Says what was found or heard since the last time. */
    void spread(Collection<Host> hosts, double now, Gateway out) {
        List<Host> lost = hosts.stream().filter(h -> h.lostOf > now - 255 * AGE_MS && h.lostAt > saidAt)
            .limit((MOST - HEAD) / ENTRY).toList();
        saidAt = now;
        int size = HEAD + ENTRY * lost.size();
        byte[] bytes = new byte[size];
        bytes[0] = VERSION;
        bytes[1] = (byte) place;
        int i = HEAD;
        for (Host h : lost) {
            bytes[i++] = (byte) (h.sum >> 8);
            bytes[i++] = (byte) h.sum;
            bytes[i++] = (byte) Math.max(0, (now - h.lostOf) / AGE_MS);
        }
        for (int n = 0; n < FELLOWS && !lost.isEmpty() && saved >= size; n++) {
            saved -= size;
            out.say(fellow(), HexFormat.of().formatHex(bytes));
        }
    }

    private int fellow() {
        if (!near.isEmpty() && chance.getAsDouble() < NEAR) {
            return near.get((int) (chance.getAsDouble() * near.size()));
        }
        int other = (int) (chance.getAsDouble() * (gateways - 1));
        return other < me ? other : other + 1;
    }

    /** What a fellow said; null for what is malformed, of another build or from no fellow. A sum that two hosts'
     *  names share is nobody's. Only the same place is believed: others may be cut off from the host. */
    List<Loss> take(int from, String hex, Collection<Host> hosts, double now) {
        byte[] in;
        try {
            in = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            return null;
        }
        if (in.length < HEAD || in.length > MOST || (in.length - HEAD) % ENTRY != 0 || in[0] != VERSION
            || from < 0 || from >= gateways || from == me) {
            return null;
        }
        List<Loss> losses = new ArrayList<>();
        if ((in[1] & 255) != place) {
            return losses;
        }
        if (!near.contains(from)) {
            near.add(from);
        }
        Map<Integer, Host> named = new HashMap<>();
        hosts.forEach(h -> named.put(h.sum, named.containsKey(h.sum) ? null : h));
        for (int i = HEAD; i < in.length; i += ENTRY) {
            Host h = named.get((in[i] & 255) << 8 | in[i + 1] & 255);
            if (h != null) {
                losses.add(new Loss(h, now - (in[i + 2] & 255) * AGE_MS));
            }
        }
        return losses;
    }

    static int sum(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue() & 0xffff;
    }
}
