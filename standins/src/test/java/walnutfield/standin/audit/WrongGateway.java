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
import walnutfield.standin.day.Rig;

/** A gateway of a few lines that keeps the rules on a day without faults, or breaks one of them on purpose. */
final class WrongGateway implements Rig.Running {
    /** What it does wrong. */
    enum Wrong {
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

    private static final Limits LIMITS = new Limits(500, 8192, 60, 4096, 5000, 60_000, 60_000, 4);
    private final Wrong wrong;
    private final String name;
    private final Server server;
    private final Client client = new Client("wrong", 1, new Client.Terms(1000, 3000, 50, 16_384, 1 << 20));
    private final Client lists = new Client("wrong-list", 1, new Client.Terms(1000, 3000, 5, 16_384, Long.MAX_VALUE));
    private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
    private final TreeMap<String, HostEntry> hosts = new TreeMap<>();
    private final AtomicLong plays = new AtomicLong();
    private final int port;
    private int turn;

    WrongGateway(Wrong wrong, String name, InetSocketAddress list) throws IOException {
        this.wrong = wrong;
        this.name = name;
        EventReader reader = new EventReader(1 << 20, e -> listed(e.data()));
        lists.send(list, Request.get("/hosts", via()), new Client.Answer() {
            @Override
            public void head(int status, Headers headers) {}

            @Override
            public void body(byte[] piece) {
                reader.take(piece);
            }

            @Override
            public void done() {}

            @Override
            public void failed(Client.Failure how) {}
        });
        server = new Server(name, 1, LIMITS, this::take);
        server.start();
        port = server.bind(0);
    }

    private Headers via() {
        return Headers.of("Via", "1.1 " + name);
    }

    private synchronized void listed(String text) {
        try {
            for (HostEntry e : HostList.parse(text).hosts()) {
                hosts.put(e.line().host().value(), e);
            }
        } catch (HostList.Malformed e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized InetSocketAddress host(int leg) {
        List<HostEntry> fit = new ArrayList<>();
        for (HostEntry e : hosts.values()) {
            boolean draining = e.line().state() == HostDescriptor.LifecycleState.DRAINING;
            boolean cold = e.line().startedAt() > 0;
            boolean wanted = switch (wrong) {
                case SENDS_TO_DRAINING -> draining;
                case FLOODS_COLD -> cold;
                default -> !draining && !cold;
            };
            if (wanted) {
                fit.add(e);
            }
        }
        fit = fit.isEmpty() ? List.copyOf(hosts.values()) : fit;
        return fit.get((turn++ + leg) % fit.size()).address();
    }

    private void take(Exchange x) {
        Query q = x.request().parameters();
        long play = plays.incrementAndGet();
        if (wrong == Wrong.NO_ANSWER && play % 3 == 0) {
            return;
        }
        if (!x.request().path().startsWith("/play/")) {
            x.answer(404, Headers.NONE, new byte[0]);
            return;
        }
        String title = x.request().path().replaceAll("[^0-9]", "").substring(0, 1);
        leg(x, q.get("band", ""), title, name + "-" + play, 0);
        if (wrong == Wrong.TWO_LEGS) {
            leg(x, q.get("band", ""), title, name + "-" + play, 1);
        }
    }

    private void leg(Exchange x, String band, String title, String play, int leg) {
        int rung = wrong == Wrong.UNDER_THE_FLOOR ? 0 : 1;
        InetSocketAddress to = host(leg);
        client.send(
                to,
                Request.of(
                        "POST",
                        "/sessions/" + play + "?title=" + title + "&rung=" + rung + "&band=" + band + "&leg=" + leg,
                        via(),
                        ""),
                new Client.Answer() {
                    private int status;

                    @Override
                    public void head(int s, Headers headers) {
                        status = s;
                    }

                    @Override
                    public void body(byte[] piece) {}

                    @Override
                    public void done() {
                        over(x, band, title, play, leg, status);
                        if (status == 200 && wrong != Wrong.SEATS_IGNORED) {
                            client.send(to, Request.of("DELETE", "/sessions/" + play, via(), ""), this);
                            status = -1;
                        }
                    }

                    @Override
                    public void failed(Client.Failure how) {
                        over(x, band, title, play, leg, 0);
                    }
                });
    }

    private void over(Exchange x, String band, String title, String play, int leg, int status) {
        boolean again = wrong == Wrong.PAID_AGAIN && leg < 1 || wrong == Wrong.ENDLESS_LEGS && leg < 8;
        if (status != 200 && status != 204 && again) {
            leg(x, band, title, play, leg + 1);
        } else if (!x.isDone()) {
            boolean late = wrong == Wrong.LATE_ANSWER;
            timers.schedule(() -> answer(x, play, status), late ? 1300 : 0, TimeUnit.MILLISECONDS);
        }
    }

    private void answer(Exchange x, String play, int status) {
        if (!x.isDone()) {
            int s = status == 200 ? 200 : wrong == Wrong.PAID_SHED ? 503 : 502;
            x.answer(
                    s,
                    Headers.of("Session-Id", play),
                    s == 200
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
        lists.close();
    }

    @Override
    public void stall(double ms) {}

    @Override
    public void drain(double mostMs) throws IOException {
        kill();
    }
}
