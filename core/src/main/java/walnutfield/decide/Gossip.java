package walnutfield.decide;

import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.function.DoubleSupplier;
import java.util.zip.CRC32;
import walnutfield.play.PlaceId;

/**
 * What this gateway says to its fellows, where they may talk, and what it takes from them: use of links and hosts
 * found bad, from its own hearing only, so that nothing goes in circles. Three bytes (version, place), then four for
 * each host: two of its name's check sum, use in hundredths or BAD, age in AGE_MS. It decides nothing of plays.
 */
final class Gossip {
    private static final int VERSION = 1, HEAD = 2, ENTRY = 4, MOST = 250, BAD = 255, BYTES = 256;
    private static final double AGE_MS = 20;
    private static final double SPEND = 0.000001; // of service, on messages, by what a play earns
    private static final double NEAR = 0.8;    // part of messages that go to fellows of the same place
    private static final double SAVED = 512;   // bytes

    /** A host that was spoken of. */
    interface Ear {
        void told(Host h, double use, double of);

        void bad(Host h, double of);
    }

    private final int me;
    private final int gateways;
    private final int place;
    private final double earned;
    private final DoubleSupplier chance;
    private final List<Integer> near = new ArrayList<>(); // fellows heard from the same place; one for each at most
    private double saved;

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

    /** To whom the next message goes. */
    int peer() {
        if (!near.isEmpty() && chance.getAsDouble() < NEAR) {
            return near.get((int) (chance.getAsDouble() * near.size()));
        }
        int other = (int) (chance.getAsDouble() * (gateways - 1));
        return other < me ? other : other + 1;
    }

    /** What is to be said now, freshest first; null where there is nothing or too little saved for it. */
    String message(Collection<Host> hosts, double now) {
        List<Host> fresh = hosts.stream().filter(h -> now - said(h) < AGE_MS * 255)
            .sorted(Comparator.comparingDouble(h -> -said(h))).limit((MOST - HEAD) / ENTRY).toList();
        int size = HEAD + ENTRY * fresh.size();
        if (fresh.isEmpty() || saved < size) {
            return null;
        }
        saved -= size;
        byte[] out = new byte[size];
        out[0] = VERSION;
        out[1] = (byte) place;
        int i = HEAD;
        for (Host h : fresh) {
            boolean bad = h.badOf > h.ownOf;
            out[i++] = (byte) (h.sum >> 8);
            out[i++] = (byte) h.sum;
            out[i++] = (byte) (bad ? BAD : (int) Math.min(BAD - 1, Math.max(0, 100 * h.ownTold)));
            out[i++] = (byte) Math.max(0, (now - said(h)) / AGE_MS);
        }
        return HexFormat.of().formatHex(out);
    }

    private static double said(Host h) {
        return Math.max(h.ownOf, h.badOf);
    }

    /** Takes what a fellow said; false for what is malformed or of another build. A name that two hosts' sums
     *  share is nobody's. That a host is bad is believed from the same place only: others may be cut off from it. */
    boolean take(int from, String hex, Collection<Host> hosts, double now, Ear ear) {
        byte[] in;
        try {
            in = HexFormat.of().parseHex(hex);
        } catch (IllegalArgumentException e) {
            return false;
        }
        if (in.length < HEAD || in.length > MOST || (in.length - HEAD) % ENTRY != 0 || in[0] != VERSION
            || from < 0 || from >= gateways || from == me) {
            return false;
        }
        boolean here = (in[1] & 255) == place;
        if (here && !near.contains(from)) {
            near.add(from);
        }
        Map<Integer, Host> named = new HashMap<>();
        hosts.forEach(h -> named.put(h.sum, named.containsKey(h.sum) ? null : h));
        for (int i = HEAD; i < in.length; i += ENTRY) {
            Host h = named.get((in[i] & 255) << 8 | in[i + 1] & 255);
            int what = in[i + 2] & 255;
            double of = now - (in[i + 3] & 255) * AGE_MS;
            if (h != null && what != BAD) {
                ear.told(h, what / 100.0, of);
            } else if (h != null && here) {
                ear.bad(h, of);
            }
        }
        return true;
    }

    static int sum(String name) {
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue() & 0xffff;
    }
}
