package walnutfield.gateway;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.hosts.HostEntry;
import walnutfield.hosts.HostList;
import walnutfield.net.Client;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Server;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.sse.Event;

/** Runs a gateway against simulated hosts and a list service: their requests wait until the test answers them. */
final class GatewayHarness implements AutoCloseable {
    static final TrafficClass FREE = new TrafficClass("free", 1000, 4000, 1, false, 1, 0, 2, 0);
    static final TrafficClass PAID = new TrafficClass("paid", 1000, 4000, 3, true, 1, 0, 2, 0);
    static final TrafficClass SEATED = new TrafficClass("seated", 1000, 4000, 3, false, 1, 1, 2, 1);
    private static final Limits SERVER_LIMITS = new Limits(500, 8192, 60, 65_536, 5000, 60_000, 60_000, 4);
    private static final Ladder LADDER = new Ladder(List.of(100.0, 200.0, 400.0), List.of(0.4, 0.7, 1.0), 8);

    /** A request that reached a host. */
    record HostRequest(int host, Exchange exchange) {
        String requestLine() {
            return exchange.request().method() + " " + exchange.request().path().replaceFirst("/sessions/[^/?]*", "/S");
        }

        String session() {
            return exchange.request().path().split("/")[2];
        }
    }

    final BlockingQueue<HostRequest> hostRequests = new LinkedBlockingQueue<>();
    final AtomicReference<PlayId> nextMovedPlay = new AtomicReference<>();
    private final AtomicReference<Runnable> nextRungChange = new AtomicReference<>();
    private final AtomicReference<GatewayActions> actions = new AtomicReference<>();
    final BlockingQueue<Exchange> listRequests = new LinkedBlockingQueue<>();
    // the event loop adds entries, the test's thread reads copies
    private final List<String> deskCalls = new ArrayList<>();
    private final Map<Integer, Server> hosts = new LinkedHashMap<>();
    private final Map<Integer, Integer> ports = new LinkedHashMap<>();
    private final Server listServer;
    private final int listPort;
    private final HttpClient viewerClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    Exchange list;
    GatewayServer gateway;
    int port;
    private final List<Closeable> toClose = new ArrayList<>();
    private long listNumber;
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();

    /** Starts this many hosts, each of which holds the single title, and the list service. */
    GatewayHarness(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            int hostIndex = i;
            Server server = new Server(
                    "h" + i, 1, SERVER_LIMITS, exchange -> hostRequests.add(new HostRequest(hostIndex, exchange)));
            server.start();
            hosts.put(i, server);
            ports.put(i, server.bind(0));
        }
        listServer = new Server("list", 1, SERVER_LIMITS, listRequests::add);
        listServer.start();
        listPort = listServer.bind(0);
    }

    /** File of the learned state; null for none. */
    Path learnedStateFile;

    /** Settings of the SIP front; null for none. */
    GatewaySettings.Sip sipSettings;

    GatewayHarness start(int queue, Path persistedList) throws Exception {
        Map<String, TrafficClass> trafficClasses = Map.of("free", FREE, "paid", PAID, "seated", SEATED);
        Map<TitleId, Catalogue.Title> titles =
                Map.of(new TitleId(7), new Catalogue.Title(new TitleId(7), 0, hosts.size(), 0));
        Listener listener = new Listener() {
            @Override
            public void onCall(double now, walnutfield.desk.Call call) {
                synchronized (deskCalls) {
                    deskCalls.add(call.toString());
                }
                PlayId movedPlay = nextMovedPlay.getAndSet(null);
                Runnable rungChange = nextRungChange.getAndSet(null);
                if (rungChange != null) {
                    rungChange.run();
                }
                if (movedPlay != null) { // as if the desk had decided it during this call
                    actions.get().movePlay(movedPlay);
                }
            }

            @Override
            public void onResult(double now, walnutfield.desk.Result result) {}
        };
        gateway = new GatewayServer(
                "gw",
                new GatewaySettings.Front(0, 1, SERVER_LIMITS, queue, 1200, 3, 2, 3, 60_000),
                sipSettings,
                new GatewaySettings.Hosts(new Client.Settings(1000, 5000, 8, 16_384, 1 << 20), 1, 500, 700),
                new GatewaySettings.Lists(
                        new InetSocketAddress("127.0.0.1", listPort), persistedList, 100, learnedStateFile),
                new Catalogue(titles, trafficClasses, LADDER),
                new SimpleMeterRegistry(),
                () -> "",
                (gatewayActions, insertActions) -> new Desk(
                        new GatewayIdentity(5, 0, 1, new PlaceId("p")),
                        LADDER,
                        new LinkSettings(4000.0 * hosts.size(), 0, 0, 1, hosts.size(), false),
                        new RetryPolicy(3, 5, 0.2, 10_000),
                        new SlowStartPolicy(1, 0, 1, 0),
                        new SheddingPolicy(2000),
                        new LoadReportSettings(false, 0.01, 0, false, false),
                        new MoveCosts(0.1, 0),
                        List.of(),
                        captureActions(gatewayActions),
                        insertActions,
                        listener));
        port = gateway.start();
        return this;
    }

    private GatewayActions captureActions(GatewayActions gatewayActions) {
        actions.set(gatewayActions);
        return gatewayActions;
    }

    /** Starts a gateway and sends it the list of all hosts. */
    static GatewayHarness started(int count) throws Exception {
        GatewayHarness harness = new GatewayHarness(count).start(100, null);
        harness.acceptListStream();
        harness.sendFullList();
        return harness;
    }

    /** Accepts the gateway's next request for the list and opens its event stream. */
    void acceptListStream() throws InterruptedException {
        list = listRequests.poll(10, TimeUnit.SECONDS);
        list.beginResponse(200, Headers.of("Content-Type", "text/event-stream"));
    }

    HostEntry hostEntry(int index, HostDescriptor.LifecycleState state) {
        return new HostEntry(
                new HostDescriptor(new HostId("h" + index), new PlaceId("p"), 40, index, state, 1, 0),
                new InetSocketAddress("127.0.0.1", ports.get(index)));
    }

    String fullListText() {
        List<HostEntry> entries = new ArrayList<>();
        hosts.keySet().forEach(i -> entries.add(hostEntry(i, HostDescriptor.LifecycleState.READY)));
        return new HostList(true, ++listNumber, entries).text();
    }

    /** Sends the list of all hosts and waits until the desk has received a first list. */
    void sendFullList() throws InterruptedException {
        sendList(fullListText());
        awaitCall("PersistedHostListLoaded[hosts=[HostDescriptor");
    }

    /** Sends a change of one host's state and waits until the desk has received it. */
    void sendStateChange(int index, HostDescriptor.LifecycleState state) throws InterruptedException {
        sendList(new HostList(false, ++listNumber, List.of(hostEntry(index, state))).text());
        awaitCall("HostListUpdated[hosts=[HostDescriptor[host=HostId[value=h" + index
                + "], place=PlaceId[value=p], maxStreams=40, cell=" + index + ", state=" + state);
    }

    /** Lists another host, ready, at the address of one of the hosts and waits until the desk has received it. */
    void sendHostAtAddressOf(int index, String id, int cell, double startedAt) throws InterruptedException {
        HostDescriptor descriptor = new HostDescriptor(
                new HostId(id), new PlaceId("p"), 40, cell, HostDescriptor.LifecycleState.READY, 1, startedAt);
        HostEntry entry =
                new HostEntry(descriptor, hostEntry(index, descriptor.state()).address());
        sendList(new HostList(false, ++listNumber, List.of(entry)).text());
        for (int i = 0; i < 1000; i++) {
            if (deskCalls().stream()
                    .anyMatch(c -> c.startsWith("HostListUpdated") && c.contains("value=" + id + "]"))) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("the desk never received host " + id);
    }

    void sendList(String text) {
        list.sendChunk(new Event("hosts", text).bytes());
    }

    /** Returns a copy of the calls that the desk has received so far. */
    List<String> deskCalls() {
        synchronized (deskCalls) {
            return List.copyOf(deskCalls);
        }
    }

    /** Returns how many calls to the desk start with this text. */
    long countCalls(String call) {
        return deskCalls().stream().filter(c -> c.startsWith(call)).count();
    }

    void clearDeskCalls() {
        synchronized (deskCalls) {
            deskCalls.clear();
        }
    }

    private List<String> reportableCalls() {
        return deskCalls().stream()
                .filter(c -> !c.startsWith("TimerFired") && !c.contains("HostList"))
                .toList();
    }

    /** Waits until the desk has received a call that starts with this text. */
    void awaitCall(String call) throws InterruptedException {
        for (int i = 0; i < 1000; i++) {
            if (countCalls(call) > 0) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("the desk never received " + call + ": " + reportableCalls());
    }

    CompletableFuture<HttpResponse<String>> requestPlay(String trafficClass, int viewerId) {
        return viewerGet("/play/7.m3u8?band=" + trafficClass + "&viewer=" + viewerId);
    }

    CompletableFuture<HttpResponse<String>> viewerGet(String target) {
        return viewerClient.sendAsync(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + target))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Waits for a response. */
    static HttpResponse<String> await(CompletableFuture<HttpResponse<String>> future) throws Exception {
        return future.get(5, TimeUnit.SECONDS);
    }

    /** Returns the next request to any host. */
    HostRequest nextRequest() throws InterruptedException {
        HostRequest request = hostRequests.poll(5, TimeUnit.SECONDS);
        if (request == null) {
            throw new AssertionError("no host received a request: " + reportableCalls());
        }
        return request;
    }

    /** Returns the next request to any host that starts with this text; discards others. */
    HostRequest nextRequest(String prefix) throws InterruptedException {
        HostRequest request = nextRequest();
        while (!request.requestLine().startsWith(prefix)) {
            request = nextRequest();
        }
        return request;
    }

    /** Serves a set-up and its event stream with heartbeats; returns the stream. */
    Exchange serve(HostRequest setUp) throws InterruptedException {
        Exchange stream = serveWithoutHeartbeat(setUp);
        heartbeats.scheduleAtFixedRate(
                () -> stream.sendChunk(": beat\n\n".getBytes(StandardCharsets.UTF_8)), 100, 100, TimeUnit.MILLISECONDS);
        return stream;
    }

    /** Serves a set-up and its event stream without any heartbeat; returns the stream. */
    Exchange serveWithoutHeartbeat(HostRequest setUp) throws InterruptedException {
        setUp.exchange()
                .respond(
                        200,
                        Headers.NONE,
                        encryptedPlaylist(
                                setUp.exchange().request().parameters().get("rung")));
        Exchange stream = nextRequest("GET /S/events").exchange();
        stream.beginResponse(200, Headers.of("Content-Type", "text/event-stream"));
        stream.sendChunk(": here\n\n".getBytes(StandardCharsets.UTF_8));
        return stream;
    }

    /** Serves a set-up with this many segments of one second each; returns the event stream. */
    Exchange serve(HostRequest setUp, int segments) throws InterruptedException {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:2\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXTINF:1,\ni/").append(i).append(".ts\n");
        }
        return serve(setUp, text.append("#EXT-X-ENDLIST\n").toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a growing playlist that has this many segments of one second so far, named after the given name. */
    static byte[] growingPlaylist(String name, int segments, boolean ended) {
        StringBuilder text = new StringBuilder("#EXTM3U\n#EXT-X-TARGETDURATION:1\n#EXT-X-PLAYLIST-TYPE:EVENT\n");
        for (int i = 0; i < segments; i++) {
            text.append("#EXTINF:1,\n").append(name).append('/').append(i).append(".ts\n");
        }
        return text.append(ended ? "#EXT-X-ENDLIST\n" : "").toString().getBytes(StandardCharsets.UTF_8);
    }

    Exchange serve(HostRequest setUp, byte[] playlist) throws InterruptedException {
        setUp.exchange().respond(200, Headers.NONE, playlist);
        Exchange stream = nextRequest("GET /S/events").exchange();
        stream.beginResponse(200, Headers.of("Content-Type", "text/event-stream"));
        heartbeats.scheduleAtFixedRate(
                () -> stream.sendChunk(": beat\n\n".getBytes(StandardCharsets.UTF_8)), 0, 100, TimeUnit.MILLISECONDS);
        return stream;
    }

    static byte[] encryptedPlaylist(String rung) {
        StringBuilder text = new StringBuilder(
                "#EXTM3U\n#EXT-X-TARGETDURATION:2\n#EXT-X-KEY:METHOD=AES-128,URI=\"k" + rung + "\"\n");
        for (int i = 0; i < 6; i++) {
            text.append("#EXTINF:2,\nm/").append(rung).append('/').append(i).append(".ts\n");
        }
        return text.append("#EXT-X-ENDLIST\n").toString().getBytes(StandardCharsets.UTF_8);
    }

    void cutHost(int host) {
        hosts.get(host).unbind(ports.get(host));
        hosts.get(host).resetConnections(ports.get(host));
    }

    /** Replaces host 0 by a socket with a full backlog, which accepts no connection; returns 0. */
    int fillBacklog() throws Exception {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        toClose.add(server);
        for (boolean accepted = true; accepted; ) {
            Socket connection = new Socket();
            toClose.add(connection);
            try {
                connection.connect(server.getLocalSocketAddress(), 100);
            } catch (SocketTimeoutException full) {
                accepted = false;
            }
        }
        ports.put(0, server.getLocalPort());
        sendStateChange(0, HostDescriptor.LifecycleState.READY);
        return 0;
    }

    /** Changes the rung as if the desk had decided it, during the next call to the desk. */
    void setRung(PlayId play, int rung) throws InterruptedException {
        nextRungChange.set(() -> actions.get().setRung(play, rung));
        sendFullList();
    }

    int portOf(int host) {
        return ports.get(host);
    }

    @Override
    public void close() throws IOException {
        heartbeats.shutdownNow();
        for (Closeable connection : toClose) {
            connection.close();
        }
        gateway.close();
        for (Server server : hosts.values()) {
            server.close();
        }
        listServer.close();
    }
}
