package walnutfield.standin.audit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import walnutfield.hosts.HostEntry;
import walnutfield.hosts.HostList;
import walnutfield.net.Client;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Query;
import walnutfield.net.Request;
import walnutfield.net.Server;
import walnutfield.play.HostDescriptor;
import walnutfield.sse.EventReader;
import walnutfield.standin.day.GatewayLauncher;

/**
 * A minimal gateway with a chosen defect that breaks one of the six rules. Without a defect it keeps all of them, on a
 * day without faults.
 */
final class FaultyGateway implements GatewayLauncher.RunningGateway {
    /** The rule-breaking behaviour of the gateway. */
    enum Defect {
        NOTHING,
        NO_ANSWER,
        LATE_ANSWER,
        PAID_AGAIN,
        PAID_SHED,
        TWO_LEGS,
        SENDS_TO_DRAINING,
        FLOODS_COLD,
        UNDER_THE_FLOOR,
        SEATS_IGNORED,
        ENDLESS_LEGS
    }

    private static final String SEATED = "seated"; // the class with seats in AuditorTest's day, and their number
    private static final int SEATS = 4;
    private static final Limits LIMITS = new Limits(500, 8192, 60, 4096, 5000, 60_000, 60_000, 4);
    private final Defect defect;
    private final String name;
    private final Server server;
    private final Client client = new Client("wrong", 1, new Client.Settings(1000, 3000, 50, 16_384, 1 << 20));
    private final Client listClient =
            new Client("wrong-list", 1, new Client.Settings(1000, 3000, 5, 16_384, Long.MAX_VALUE));
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final TreeMap<String, HostEntry> hosts = new TreeMap<>();
    private final AtomicLong plays = new AtomicLong();
    private final AtomicInteger takenSeats = new AtomicInteger();
    private final int port;
    private int nextHost;

    FaultyGateway(Defect defect, String name, InetSocketAddress listService) throws IOException {
        this.defect = defect;
        this.name = name;
        EventReader reader = new EventReader(1 << 20, event -> updateHosts(event.data()));
        listClient.send(listService, Request.get("/hosts", via()), new Client.ResponseHandler() {
            @Override
            public void onHead(int status, Headers headers) {}

            @Override
            public void onBody(byte[] piece) {
                reader.feed(piece);
            }

            @Override
            public void onComplete() {}

            @Override
            public void onFailure(Client.Failure failure) {}
        });
        server = new Server(name, 1, LIMITS, this::handle);
        server.start();
        port = server.bind(0);
    }

    private Headers via() {
        return Headers.of("Via", "1.1 " + name);
    }

    private synchronized void updateHosts(String text) {
        try {
            for (HostEntry e : HostList.parse(text).hosts()) {
                hosts.put(e.descriptor().host().value(), e);
            }
        } catch (HostList.Malformed e) {
            throw new IllegalStateException(e);
        }
    }

    /** Picks a host for a leg, in turn among those that the defect asks for, or among all if there are none. */
    private synchronized InetSocketAddress pickHost(int legNumber) {
        List<HostEntry> candidates = new ArrayList<>();
        for (HostEntry entry : hosts.values()) {
            boolean draining = entry.descriptor().state() == HostDescriptor.LifecycleState.DRAINING;
            boolean cold = entry.descriptor().startedAt() > 0;
            boolean isCandidate = switch (defect) {
                case SENDS_TO_DRAINING -> draining;
                case FLOODS_COLD -> cold;
                default -> !draining && !cold;
            };
            if (isCandidate) {
                candidates.add(entry);
            }
        }
        candidates = candidates.isEmpty() ? List.copyOf(hosts.values()) : candidates;
        return candidates.get((nextHost++ + legNumber) % candidates.size()).address();
    }

    /** Takes a seat; false if all are taken. On a busy machine plays overlap, and more than the seats would be held. */
    private boolean takeSeat() {
        return takenSeats.getAndUpdate(taken -> Math.min(SEATS, taken + 1)) < SEATS;
    }

    private void handle(Exchange exchange) {
        Query query = exchange.request().parameters();
        long play = plays.incrementAndGet();
        if (defect == Defect.NO_ANSWER && play % 3 == 0) {
            return;
        }
        if (!exchange.request().path().startsWith("/play/")) {
            exchange.respond(404, Headers.NONE, new byte[0]);
            return;
        }
        if (query.get("band", "").equals(SEATED) && defect != Defect.SEATS_IGNORED && !takeSeat()) {
            exchange.respond(503, Headers.NONE, new byte[0]);
            return;
        }
        String title = exchange.request().path().replaceAll("[^0-9]", "").substring(0, 1);
        sendLeg(exchange, query.get("band", ""), title, name + "-" + play, 0);
        if (defect == Defect.TWO_LEGS) {
            sendLeg(exchange, query.get("band", ""), title, name + "-" + play, 1);
        }
    }

    private void sendLeg(Exchange exchange, String trafficClass, String title, String play, int legNumber) {
        int rung = defect == Defect.UNDER_THE_FLOOR ? 0 : 1;
        InetSocketAddress host = pickHost(legNumber);
        client.send(
                host,
                Request.of(
                        "POST",
                        "/sessions/" + play + "?title=" + title + "&rung=" + rung + "&band=" + trafficClass + "&leg="
                                + legNumber,
                        via(),
                        ""),
                new Client.ResponseHandler() {
                    private int status;

                    @Override
                    public void onHead(int newStatus, Headers headers) {
                        status = newStatus;
                    }

                    @Override
                    public void onBody(byte[] piece) {}

                    @Override
                    public void onComplete() {
                        legEnded(exchange, trafficClass, title, play, legNumber, status);
                        if (status == 200 && defect != Defect.SEATS_IGNORED) {
                            client.send(host, Request.of("DELETE", "/sessions/" + play, via(), ""), this);
                            status = -1;
                        }
                    }

                    @Override
                    public void onFailure(Client.Failure failure) {
                        legEnded(exchange, trafficClass, title, play, legNumber, 0);
                    }
                });
    }

    private void legEnded(
            Exchange exchange, String trafficClass, String title, String play, int legNumber, int status) {
        boolean retries =
                defect == Defect.PAID_AGAIN && legNumber < 1 || defect == Defect.ENDLESS_LEGS && legNumber < 8;
        if (status != 200 && status != 204 && retries) {
            sendLeg(exchange, trafficClass, title, play, legNumber + 1);
            return;
        }
        if (status != 200 && trafficClass.equals(SEATED)) { // failed, or ended at its host
            takenSeats.getAndUpdate(taken -> Math.max(0, taken - 1));
        }
        if (!exchange.isDone()) {
            boolean late = defect == Defect.LATE_ANSWER;
            timers.schedule(() -> answer(exchange, play, status), late ? 1300 : 0, TimeUnit.MILLISECONDS);
        }
    }

    private void answer(Exchange exchange, String play, int status) {
        if (!exchange.isDone()) {
            int answerStatus = status == 200 ? 200 : defect == Defect.PAID_SHED ? 503 : 502;
            exchange.respond(
                    answerStatus,
                    Headers.of("Session-Id", play),
                    answerStatus == 200
                            ? "#EXTM3U\n#EXT-X-STREAM-INF:BANDWIDTH=1\n/none\n".getBytes(StandardCharsets.UTF_8)
                            : new byte[0]);
        }
    }

    @Override
    public int port() {
        return port;
    }

    @Override
    public void kill() throws IOException {
        timers.shutdownNow();
        server.close();
        client.close();
        listClient.close();
    }

    @Override
    public void stall(double ms) {}

    @Override
    public void drain(double maxMs) throws IOException {
        kill();
    }
}
