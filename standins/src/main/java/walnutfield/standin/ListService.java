package walnutfield.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import walnutfield.hosts.HostEntry;
import walnutfield.hosts.HostList;
import walnutfield.net.Clock;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.net.Limits;
import walnutfield.net.Server;
import walnutfield.play.HostDescriptor;
import walnutfield.sse.Event;
import walnutfield.standin.audit.Auditor;

/** Tells the list of hosts as a stream: the whole list first, then numbered changes. */
public final class ListService implements AutoCloseable {
    private static final Limits LIMITS = new Limits(1000, 8192, 60, 1024, 5000, 30_000, 30_000, 2);

    private final Auditor auditor;
    private final Map<String, HostEntry> entries = new TreeMap<>();
    private final Map<Exchange, String> streams = new LinkedHashMap<>(); // emptied as gateways go
    private final Server server;
    private int port;
    private long number;
    private boolean lost;

    public ListService(Auditor auditor) throws IOException {
        this.auditor = auditor;
        server = new Server("list", 1, LIMITS, this::take);
        server.start();
        port = server.bind(0);
    }

    public int port() {
        return port;
    }

    private void take(Exchange x) {
        if (!x.request().path().equals("/hosts")) {
            x.answer(404, Headers.NONE, new byte[0]);
            return;
        }
        String via = x.request().headers().get("Via");
        String gateway = via == null ? "" : via.substring(via.indexOf(' ') + 1);
        synchronized (this) {
            x.begin(200, Headers.of("Content-Type", "text/event-stream"));
            streams.put(x, gateway);
            send(x, gateway, new HostList(true, number, List.copyOf(entries.values())));
        }
        x.onGone(() -> {
            synchronized (this) {
                streams.remove(x);
            }
        });
    }

    private void send(Exchange x, String gateway, HostList list) {
        double now = Clock.now();
        x.piece(new Event("hosts", list.text(), Long.toString(list.number())).bytes());
        for (HostEntry e : list.hosts()) {
            auditor.listTold(
                    gateway, e.line().host().value(), e.line().state(), e.line().startedAt(), now);
        }
    }

    /** Tells a change to all who follow. */
    public synchronized void publish(HostEntry e) {
        number++;
        if (e.line().state() == HostDescriptor.LifecycleState.GONE) {
            entries.remove(e.line().host().value());
        } else {
            entries.put(e.line().host().value(), e);
        }
        for (Map.Entry<Exchange, String> s : new ArrayList<>(streams.entrySet())) {
            send(s.getKey(), s.getValue(), new HostList(false, number, List.of(e)));
        }
    }

    /** Out of reach, or back. */
    public synchronized void lost(boolean on) throws IOException {
        if (on == lost) {
            return;
        }
        lost = on;
        if (on) {
            server.unbind(port);
            server.cut(port);
        } else {
            server.bind(port);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
