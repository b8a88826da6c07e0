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
import walnutfield.net.CompleteResponseHandler;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.play.TrafficClass;
import walnutfield.standin.audit.Auditor;
import walnutfield.standin.audit.Verdict;

/**
 * Simulated viewers: they request titles, reload their playlists, fetch every segment from the listed address, and
 * return after failures. A single scheduler thread drives all viewers; random draws are guarded by a lock.
 */
public final class Viewers implements AutoCloseable {
    /**
     * How viewers behave; see {@link walnutfield.standin.day.ViewerPopulation} for the shares.
     *
     * @param pollMs interval at which a viewer reloads a growing playlist
     */
    public record Behavior(double returnRatio, double duplicateRatio, double impatientRatio, double pollMs) {}

    /** A gateway's name, and the port that a viewer may send its request to. */
    public record GatewayAddress(String name, int port) {}

    private static final int MAX_FAULTS = 100;
    private final Auditor auditor;
    private final Behavior behavior;
    private final Client client;
    private final StandinScheduler scheduler;
    private final SplittableRandom random;
    private final Supplier<GatewayAddress> gatewayPicker;
    private final AtomicLong requestIds = new AtomicLong();
    private final AtomicLong viewerIds = new AtomicLong();
    private final AtomicInteger openRequests = new AtomicInteger();
    private final AtomicLong fetchedSegments = new AtomicLong();
    private final AtomicLong missedSegments = new AtomicLong();
    private final AtomicLong completedPlays = new AtomicLong();
    private final AtomicLong brokenPlays = new AtomicLong();
    private final AtomicLong malformedPlaylists = new AtomicLong();
    private final AtomicLong checkedPlaylists = new AtomicLong();
    private final List<String> faults = new ArrayList<>(); // limited to the first ones
    private volatile boolean returnsStopped;
    private volatile String samplePlaylist = "";

    public Viewers(Behavior behavior, long seed, Supplier<GatewayAddress> gatewayPicker, Auditor auditor)
            throws IOException {
        this.behavior = behavior;
        this.gatewayPicker = gatewayPicker;
        this.auditor = auditor;
        random = new SplittableRandom(seed);
        client = new Client("viewers", 2, new Client.Settings(2000, 5000, 64, 32_768, 1 << 24));
        scheduler = new StandinScheduler("viewers");
    }

    /** Starts a new viewer. */
    public void addArrival(long title, TrafficClass trafficClass, int highestRung) {
        Viewer viewer = new Viewer(viewerIds.incrementAndGet(), title, trafficClass, highestRung);
        scheduler.execute(viewer::request);
    }

    /** From now on, no viewer returns after a failed play. */
    public void stopReturns() {
        returnsStopped = true;
    }

    /** Number of play requests that are still open. */
    public int openRequests() {
        return openRequests.get();
    }

    /** Segments fetched, segments not fetched, plays watched to the end, plays that broke, malformed playlists. */
    public List<Long> counts() {
        return List.of(
                fetchedSegments.get(),
                missedSegments.get(),
                completedPlays.get(),
                brokenPlays.get(),
                malformedPlaylists.get());
    }

    /** The first complete playlist that a viewer followed, or the longest incomplete one. */
    public String samplePlaylist() {
        return samplePlaylist;
    }

    private void addFault(String fault) {
        synchronized (faults) {
            if (faults.size() < MAX_FAULTS) {
                faults.add(fault);
            }
        }
    }

    /** Whether the playlists that viewers received were valid at every reload. */
    public Verdict playlistVerdict() {
        synchronized (faults) {
            return new Verdict("playlists valid at every reload", checkedPlaylists.get(), faults);
        }
    }

    private double draw() {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    private void schedule(double delayMs, Runnable task) {
        scheduler.schedule(Clock.now() + delayMs, task);
    }

    @Override
    public void close() throws IOException {
        scheduler.close();
        client.close();
    }

    /** Receives a complete answer. */
    private interface AnswerReceiver {
        void accept(int status, Headers headers, String body);
    }

    /** Sends a GET request; status 0 means that no answer came. */
    private Client.PendingRequest get(InetSocketAddress address, String target, AnswerReceiver receiver) {
        return client.send(address, Request.get(target, Headers.NONE), new CompleteResponseHandler() {
            @Override
            protected void onResponse(int status, Headers headers, String body) {
                receiver.accept(status, headers, body);
            }

            @Override
            protected void onNoResponse(Client.Failure failure) {
                receiver.accept(0, Headers.NONE, "");
            }
        });
    }

    /** One viewer, over all of its play requests. */
    private final class Viewer {
        private final long id;
        private final long title;
        private final TrafficClass trafficClass;
        private final int highestRung;
        private InetSocketAddress gateway;
        private String mediaUri;
        private int nextSegment; // index of the next segment to fetch
        private MediaPlaylist playlist;
        private boolean fetching;
        private boolean finished;
        private PlaylistValidator validator = new PlaylistValidator();

        Viewer(long id, long title, TrafficClass trafficClass, int highestRung) {
            this.id = id;
            this.title = title;
            this.trafficClass = trafficClass;
            this.highestRung = highestRung;
        }

        private void request() {
            GatewayAddress address = gatewayPicker.get();
            if (address == null) {
                maybeReturn(0);
                return;
            }
            gateway = new InetSocketAddress("127.0.0.1", address.port());
            finished = false;
            mediaUri = null;
            playlist = null;
            nextSegment = 0;
            validator = new PlaylistValidator();
            send(address, true);
            if (draw() < behavior.duplicateRatio()) {
                send(address, false);
            }
        }

        private void send(GatewayAddress address, boolean first) {
            long requestId = requestIds.incrementAndGet();
            auditor.requestSent(requestId, address.name(), trafficClass.name(), Clock.now());
            openRequests.incrementAndGet();
            boolean[] settled = new boolean[1];
            Client.PendingRequest sent = get(
                    gateway,
                    "/play/" + title + ".m3u8?band=" + trafficClass.name() + "&viewer=" + id + "&best=" + highestRung,
                    (status, headers, body) -> {
                        double now = Clock.now();
                        synchronized (settled) {
                            if (settled[0]) {
                                return;
                            }
                            settled[0] = true;
                        }
                        openRequests.decrementAndGet();
                        if (status == 0) {
                            auditor.requestUnanswered(requestId, now);
                        } else {
                            auditor.requestAnswered(requestId, status, headers.get("Session-Id"), now);
                        }
                        if (first) {
                            schedule(0, () -> handleAnswer(status, headers, body));
                        }
                    });
            boolean isImpatient = draw() < behavior.impatientRatio();
            double waitMs = isImpatient ? trafficClass.deadlineMs() * draw() * 0.2 : trafficClass.deadlineMs() + 500;
            schedule(waitMs, () -> {
                synchronized (settled) {
                    if (settled[0]) {
                        return;
                    }
                    settled[0] = true;
                }
                openRequests.decrementAndGet();
                sent.cancel();
                if (isImpatient) {
                    auditor.viewerLeft(requestId);
                } else {
                    auditor.requestUnanswered(requestId, Clock.now());
                }
            });
        }

        private void handleAnswer(int status, Headers headers, String body) {
            if (status != 200) {
                String retryAfter = headers.get("Retry-After");
                maybeReturn(retryAfter == null ? 0 : 1000 * Double.parseDouble(retryAfter));
                return;
            }
            try {
                mediaUri = PlaylistReader.multivariant(body).variants().get(0).uri();
            } catch (PlaylistException e) {
                malformedPlaylists.incrementAndGet();
                return;
            }
            reload();
        }

        private void maybeReturn(double retryAfterMs) {
            finished = true;
            if (!returnsStopped && draw() < behavior.returnRatio()) {
                schedule(retryAfterMs > 0 ? retryAfterMs * (1 + draw()) : 900 + 1500 * draw(), this::request);
            }
        }

        private void reload() {
            String requestedUri = mediaUri;
            get(
                    gateway,
                    requestedUri,
                    (status, headers, body) -> schedule(0, () -> {
                        if (!requestedUri.equals(mediaUri) || finished) {
                            return;
                        }
                        if (status != 200) {
                            brokenPlays.incrementAndGet();
                            maybeReturn(0);
                            return;
                        }
                        try {
                            playlist = PlaylistReader.media(body);
                            checkedPlaylists.incrementAndGet();
                            String fault = validator.validate(playlist);
                            if (fault != null) {
                                addFault(fault);
                            }
                            if (!samplePlaylist.endsWith("ENDLIST\n") && body.length() > samplePlaylist.length()) {
                                samplePlaylist = body;
                            }
                        } catch (PlaylistException e) {
                            malformedPlaylists.incrementAndGet();
                            addFault(e.getMessage());
                            return;
                        }
                        fetchNext();
                        if (!playlist.ended()) {
                            schedule(behavior.pollMs(), this::reload);
                        }
                    }));
        }

        private void fetchNext() {
            if (fetching || finished || playlist == null) {
                return;
            }
            if (nextSegment >= playlist.segments().size()) {
                if (playlist.ended()) {
                    finished = true;
                    completedPlays.incrementAndGet();
                }
                return;
            }
            fetching = true;
            double startedAt = Clock.now();
            URI uri = URI.create(playlist.segments().get(nextSegment).uri());
            double durationMs = playlist.segments().get(nextSegment).durationS() * 1000;
            String requestedUri = mediaUri;
            get(
                    new InetSocketAddress(uri.getHost(), uri.getPort()),
                    uri.getRawPath() + "?" + uri.getRawQuery(),
                    (status, headers, body) -> schedule(0, () -> {
                        if (!requestedUri.equals(mediaUri) || finished) {
                            fetching = false;
                            return;
                        }
                        nextSegment++;
                        (status == 200 ? fetchedSegments : missedSegments).incrementAndGet();
                        schedule(
                                Math.max(0, durationMs - (Clock.now() - startedAt)),
                                () -> { // segments are played in real time
                                    fetching = false;
                                    fetchNext();
                                });
                    }));
        }
    }
}
