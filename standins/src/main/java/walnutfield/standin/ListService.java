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

/** Simulated list service: streams the list of hosts to gateways, first the complete list, then numbered changes. */
public final class ListService implements AutoCloseable {
    private static final Limits LIMITS = new Limits(1000, 8192, 60, 1024, 5000, 30_000, 30_000, 2);

    private final Auditor auditor;
    private final Map<String, HostEntry> entries = new TreeMap<>();
    private final Map<Exchange, String> streams =
            new LinkedHashMap<>(); // gateway by its open stream; removed when the stream ends
    private final Server server;
    private int port;
    private long version;
    private boolean isUnreachable;

    public ListService(Auditor auditor) throws IOException {
        this.auditor = auditor;
        server = new Server("list", 1, LIMITS, this::handle);
        server.start();
        port = server.bind(0);
    }

    public int port() {
        return port;
    }

    private void handle(Exchange exchange) {
        if (!exchange.request().path().equals("/hosts")) {
            exchange.respond(404, Headers.NONE, new byte[0]);
            return;
        }
        String via = exchange.request().headers().get("Via");
        String gateway = via == null ? "" : via.substring(via.indexOf(' ') + 1);
        synchronized (this) {
            exchange.beginResponse(200, Headers.of("Content-Type", "text/event-stream"));
            streams.put(exchange, gateway);
            send(exchange, gateway, new HostList(true, version, List.copyOf(entries.values())));
        }
        exchange.onDisconnect(() -> {
            synchronized (this) {
                streams.remove(exchange);
            }
        });
    }

    /** Sends a list or change over a stream and reports it to the auditor. */
    private void send(Exchange exchange, String gateway, HostList update) {
        double now = Clock.now();
        exchange.sendChunk(new Event("hosts", update.text(), Long.toString(update.version())).bytes());
        for (HostEntry entry : update.hosts()) {
            auditor.hostUpdateSent(
                    gateway,
                    entry.descriptor().host().value(),
                    entry.descriptor().state(),
                    entry.descriptor().startedAt(),
                    now);
        }
    }

    /** Records a change of a host and sends it to all connected gateways. */
    public synchronized void publish(HostEntry changed) {
        version++;
        if (changed.descriptor().state() == HostDescriptor.LifecycleState.GONE) {
            entries.remove(changed.descriptor().host().value());
        } else {
            entries.put(changed.descriptor().host().value(), changed);
        }
        for (Map.Entry<Exchange, String> stream : new ArrayList<>(streams.entrySet())) {
            send(stream.getKey(), stream.getValue(), new HostList(false, version, List.of(changed)));
        }
    }

    /** Makes the service unreachable, with all connections cut, or reachable again. */
    public synchronized void setUnreachable(boolean unreachable) throws IOException {
        if (unreachable == isUnreachable) {
            return;
        }
        isUnreachable = unreachable;
        if (unreachable) {
            server.unbind(port);
            server.resetConnections(port);
        } else {
            server.bind(port);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
