package walnutfield.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.hls.PlaylistReader;
import walnutfield.net.Client;
import walnutfield.net.Clock;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.net.WholeAnswer;
import walnutfield.play.TrafficClass;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Verdict;

/**
 * Viewers that ask for titles, follow their playlists, fetch every segment from where it is listed, and come again.
 * One lock holds the draws; each viewer is driven by one timer thread.
 */
public final class Viewers implements AutoCloseable {
    /** How viewers behave; see {@link walnutfield.standin.day.Crowd}. */
    public record Habits(double returns, double twice, double impatient, double pollMs) {}

    /** Where a viewer may go now: a gateway's name and port; null where there is none. */
    public record Gate(String name, int port) {}

    private static final int FAULTS_MOST = 100;
    private final Auditor auditor;
    private final Habits habits;
    private final Client client;
    private final StandinThread thread;
    private final SplittableRandom random;
    private final Supplier<Gate> gates;
    private final AtomicLong requests = new AtomicLong();
    private final AtomicLong ids = new AtomicLong();
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicLong segments = new AtomicLong();
    private final AtomicLong missed = new AtomicLong();
    private final AtomicLong watched = new AtomicLong();
    private final AtomicLong broken = new AtomicLong();
    private final AtomicLong malformed = new AtomicLong();
    private final AtomicLong checked = new AtomicLong();
    private final List<String> faults = new ArrayList<>(); // the first ones only
    private volatile boolean closing;
    private volatile String sample = "";

    public Viewers(Habits habits, long seed, Supplier<Gate> gates, Auditor auditor) throws IOException {
        this.habits = habits;
        this.gates = gates;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        client = new Client("viewers", 2, new Client.Terms(2000, 5000, 64, 32_768, 1 << 24));
        thread = new StandinThread("viewers");
    }

    /** A new viewer comes. */
    public void come(long title, TrafficClass band, int bestRung) {
        Viewer v = new Viewer(ids.incrementAndGet(), title, band, bestRung);
        thread.run(v::ask);
    }

    /** No one comes again from now on. */
    public void lastCall() {
        closing = true;
    }

    /** Requests for plays that are still open. */
    public int open() {
        return open.get();
    }

    /** Segments fetched, segments not got, plays watched to their end, plays that broke, malformed playlists. */
    public List<Long> figures() {
        return List.of(segments.get(), missed.get(), watched.get(), broken.get(), malformed.get());
    }

    /** The first whole playlist that a viewer followed, or the longest part of one. */
    public String playlist() {
        return sample;
    }

    private void wrong(String what) {
        synchronized (faults) {
            if (faults.size() < FAULTS_MOST) {
                faults.add(what);
            }
        }
    }

    /** Whether playlists were valid at every reload, as the viewers saw them. */
    public Verdict playlists() {
        synchronized (faults) {
            return new Verdict("playlists valid at every reload", checked.get(), faults);
        }
    }

    private double draw() {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    private void later(double ms, Runnable what) {
        thread.at(Clock.now() + ms, what);
    }

    @Override
    public void close() throws IOException {
        thread.close();
        client.close();
    }

    private interface Whole {
        void take(int status, Headers headers, String body);
    }

    /** Status 0 stands for no answer. */
    private Client.Sent get(InetSocketAddress to, String target, Whole then) {
        return client.send(to, Request.get(target, Headers.NONE), new WholeAnswer() {
            @Override
            protected void whole(int status, Headers headers, String body) {
                then.take(status, headers, body);
            }

            @Override
            protected void not(Client.Failure how) {
                then.take(0, Headers.NONE, "");
            }
        });
    }

    /** One viewer, over all tries. */
    private final class Viewer {
        private final long id;
        private final long title;
        private final TrafficClass band;
        private final int bestRung;
        private InetSocketAddress gateway;
        private String media;
        private int next; // segment to fetch
        private MediaPlaylist list;
        private boolean fetching;
        private boolean over;
        private PlaylistCheck check = new PlaylistCheck();

        Viewer(long id, long title, TrafficClass band, int bestRung) {
            this.id = id;
            this.title = title;
            this.band = band;
            this.bestRung = bestRung;
        }

        private void ask() {
            Gate g = gates.get();
            if (g == null) {
                comeAgain(0);
                return;
            }
            gateway = new InetSocketAddress("127.0.0.1", g.port());
            over = false;
            media = null;
            list = null;
            next = 0;
            check = new PlaylistCheck();
            send(g, true);
            if (draw() < habits.twice()) {
                send(g, false);
            }
        }

        private void send(Gate g, boolean first) {
            long request = requests.incrementAndGet();
            auditor.asked(request, g.name(), band.name(), Clock.now());
            open.incrementAndGet();
            boolean[] settled = new boolean[1];
            Client.Sent sent = get(
                    gateway,
                    "/play/" + title + ".m3u8?band=" + band.name() + "&viewer=" + id + "&best=" + bestRung,
                    (status, headers, body) -> {
                        double at = Clock.now();
                        synchronized (settled) {
                            if (settled[0]) {
                                return;
                            }
                            settled[0] = true;
                        }
                        open.decrementAndGet();
                        if (status == 0) {
                            auditor.unanswered(request, at);
                        } else {
                            auditor.answered(request, status, headers.get("Session-Id"), at);
                        }
                        if (first) {
                            later(0, () -> answered(status, headers, body));
                        }
                    });
            boolean leaves = draw() < habits.impatient();
            double waits = leaves ? band.deadlineMs() * draw() * 0.2 : band.deadlineMs() + 500;
            later(waits, () -> {
                synchronized (settled) {
                    if (settled[0]) {
                        return;
                    }
                    settled[0] = true;
                }
                open.decrementAndGet();
                sent.callOff();
                if (leaves) {
                    auditor.viewerLeft(request);
                } else {
                    auditor.unanswered(request, Clock.now());
                }
            });
        }

        private void answered(int status, Headers headers, String body) {
            if (status != 200) {
                String after = headers.get("Retry-After");
                comeAgain(after == null ? 0 : 1000 * Double.parseDouble(after));
                return;
            }
            try {
                media = PlaylistReader.multivariant(body).variants().get(0).uri();
            } catch (PlaylistException e) {
                malformed.incrementAndGet();
                return;
            }
            poll();
        }

        private void comeAgain(double advisedMs) {
            over = true;
            if (!closing && draw() < habits.returns()) {
                later(advisedMs > 0 ? advisedMs * (1 + draw()) : 900 + 1500 * draw(), this::ask);
            }
        }

        private void poll() {
            String at = media;
            get(
                    gateway,
                    at,
                    (status, headers, body) -> later(0, () -> {
                        if (!at.equals(media) || over) {
                            return;
                        }
                        if (status != 200) {
                            broken.incrementAndGet();
                            comeAgain(0);
                            return;
                        }
                        try {
                            list = PlaylistReader.media(body);
                            checked.incrementAndGet();
                            String wrong = check.take(list);
                            if (wrong != null) {
                                wrong(wrong);
                            }
                            if (!sample.endsWith("ENDLIST\n") && body.length() > sample.length()) {
                                sample = body;
                            }
                        } catch (PlaylistException e) {
                            malformed.incrementAndGet();
                            wrong(e.getMessage());
                            return;
                        }
                        fetch();
                        if (!list.ended()) {
                            later(habits.pollMs(), this::poll);
                        }
                    }));
        }

        private void fetch() {
            if (fetching || over || list == null) {
                return;
            }
            if (next >= list.segments().size()) {
                if (list.ended()) {
                    over = true;
                    watched.incrementAndGet();
                }
                return;
            }
            fetching = true;
            double since = Clock.now();
            URI uri = URI.create(list.segments().get(next).uri());
            double plays = list.segments().get(next).durationS() * 1000;
            String at = media;
            get(
                    new InetSocketAddress(uri.getHost(), uri.getPort()),
                    uri.getRawPath() + "?" + uri.getRawQuery(),
                    (status, headers, body) -> later(0, () -> {
                        if (!at.equals(media) || over) {
                            fetching = false;
                            return;
                        }
                        next++;
                        (status == 200 ? segments : missed).incrementAndGet();
                        later(
                                Math.max(0, plays - (Clock.now() - since)),
                                () -> { // it plays in real time
                                    fetching = false;
                                    fetch();
                                });
                    }));
        }
    }
}
