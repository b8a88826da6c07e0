package walnutfield.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.CallHandler;
import walnutfield.desk.InsertActions;
import walnutfield.loop.EventLoop;
import walnutfield.net.Client;
import walnutfield.net.Clock;
import walnutfield.net.PeriodicTask;
import walnutfield.net.Server;
import walnutfield.play.GatewayActions;
import walnutfield.stitch.Schedule;

/** One running gateway: its fronts, its event loop, and its connections to the media hosts and the list service. */
public final class GatewayServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GatewayServer.class);
    private static final int UNANSWERED_POLL_INTERVAL_MS = 20;
    private static final int SWEEP_INTERVAL_MS = 25;
    private static final int DESK_QUERY_TIMEOUT_MS = 5_000; // time within which the event loop must answer a query

    /** Creates a gateway's desk, given the receivers of its decisions. */
    public interface DeskFactory {
        CallHandler create(GatewayActions gatewayActions, InsertActions insertActions);
    }

    private final String name;
    private final EventLoop eventLoop;
    private final HostClient hostClient;
    private final Client listHttpClient;
    private final Plays plays;
    private final HlsSessions hlsSessions;
    private final Admission admission;
    private final SipFront calls; // null without a SIP front
    private final HostListClient hostListClient;
    private final HttpFront front;
    private final Server server;
    private final GatewaySettings.Front frontSettings;
    private final PeriodicTask sweeper;
    private int port;

    /**
     * Creates a gateway without starting it.
     *
     * @param name        of the gateway, as hosts and the list service see it
     * @param sipSettings of the front for video calls; null for none
     * @param registry    receives the counters and timers
     * @param metrics     supplies the answer to /metrics
     * @param deskFactory creates its desk
     */
    public GatewayServer(
            String name,
            GatewaySettings.Front frontSettings,
            GatewaySettings.Sip sipSettings,
            GatewaySettings.Hosts hostSettings,
            GatewaySettings.Lists listSettings,
            Catalogue catalogue,
            MeterRegistry registry,
            Supplier<String> metrics,
            DeskFactory deskFactory)
            throws IOException {
        GatewayMetrics gatewayMetrics = new GatewayMetrics(registry, name);
        this.name = name;
        this.frontSettings = frontSettings;
        eventLoop = new EventLoop(name + "-desk", frontSettings.maxQueued(), gatewayMetrics::recordDeskEvent);
        hostClient = new HostClient(name, hostSettings);
        listHttpClient = new Client(
                name + "-list", 1, new Client.Settings(listSettings.retryDelayMs(), 1000, 1, 16_384, Long.MAX_VALUE));
        String incarnation = name + "." + Long.toString((long) Clock.now(), 36);
        hlsSessions = new HlsSessions(
                incarnation, eventLoop, hostClient, frontSettings, hostSettings, catalogue, gatewayMetrics);
        calls = sipSettings == null
                ? null
                : new SipFront(incarnation, eventLoop, sipSettings, hostSettings, catalogue, hlsSessions.inserts);
        plays = new Plays(
                incarnation,
                eventLoop,
                sipSettings != null && sipSettings.probesHosts() ? calls : this::probe,
                frontSettings,
                hostSettings,
                gatewayMetrics,
                deskFactory,
                hlsSessions.inserts);
        hlsSessions.attach(plays);
        admission = new Admission(eventLoop, plays, frontSettings);
        if (calls != null) {
            calls.attach(plays, admission);
        }
        hostListClient = new HostListClient(
                eventLoop,
                listHttpClient,
                listSettings,
                name,
                plays::notifyDesk,
                plays::onHostListChanged,
                hostClient::closeIdle);
        front = new HttpFront(admission, hlsSessions, catalogue, metrics);
        server = new Server(name, frontSettings.selectorThreads(), frontSettings.limits(), front::handle);
        sweeper = PeriodicTask.start(name + "-untaken", SWEEP_INTERVAL_MS, admission::shedOverdue);
        if (calls != null) {
            gatewayMetrics.registerGauge("sip.repeats", calls::retransmissions);
        }
        gatewayMetrics.registerGauge("plays.open", plays::countOpenPlays);
        gatewayMetrics.registerGauge("desk.queue", eventLoop::queueSize);
        gatewayMetrics.registerGauge("connections", server::connectionCount);
    }

    /** Starts the gateway; returns the port of its HTTP front. */
    public int start() throws IOException {
        eventLoop.start();
        eventLoop.post(() -> {
            plays.start(hostListClient);
            hlsSessions.start();
        });
        server.start();
        port = server.bind(frontSettings.port());
        if (calls != null) {
            LOG.atInfo()
                    .addKeyValue("gateway", name)
                    .addKeyValue("port", calls.bind())
                    .log("calls taken");
        }
        LOG.atInfo().addKeyValue("gateway", name).addKeyValue("port", port).log("gateway started");
        return port;
    }

    private void probe(InetSocketAddress host, Consumer<Viewing.LegResult> listener) {
        hostClient.probe(host, reply -> listener.accept(reply.toLegResult(() -> true)));
    }

    /** Returns the number of timers that wait for their time, or -1 if the event loop does not answer. */
    int pendingTimers() {
        return eventLoop.evaluate(eventLoop::pendingTimers, DESK_QUERY_TIMEOUT_MS);
    }

    /** Returns the port of the SIP front; 0 if there is none. */
    public int sipPort() {
        return calls == null ? 0 : calls.port();
    }

    /** Stitches these inserts into viewings that start from now on; viewings in progress keep theirs. */
    public void updateInsertSchedule(Schedule schedule) {
        eventLoop.post(() -> hlsSessions.updateInsertSchedule(schedule));
    }

    /** Rejects new plays, answers pending requests, then shuts down; shuts down in any case after the given time. */
    public void drain(double timeoutMs) throws IOException {
        admission.drain();
        double deadline = Clock.now() + timeoutMs;
        LOG.atInfo().addKeyValue("gateway", name).log("gateway draining");
        while (Clock.now() < deadline && eventLoop.evaluate(plays::unansweredRequests, DESK_QUERY_TIMEOUT_MS) != 0) {
            sleepBetweenPolls();
        }
        eventLoop.evaluate(
                () -> {
                    plays.saveLearnedState();
                    return 0;
                },
                DESK_QUERY_TIMEOUT_MS);
        close();
        LOG.atInfo().addKeyValue("gateway", name).log("gateway ended");
    }

    private static void sleepBetweenPolls() {
        try {
            Thread.sleep(UNANSWERED_POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the event loop for this long, like a machine that stalls; used by rehearsals. */
    public void stall(double durationMs) {
        eventLoop.post(() -> {
            try {
                Thread.sleep((long) durationMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Shuts down immediately and closes all open connections. */
    @Override
    public void close() throws IOException {
        sweeper.close();
        eventLoop.stop();
        server.unbind(port);
        server.resetConnections(port);
        server.close();
        if (calls != null) {
            calls.close();
        }
        hostClient.close();
        listHttpClient.close();
    }
}
