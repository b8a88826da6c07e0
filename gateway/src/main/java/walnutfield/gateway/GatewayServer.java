package walnutfield.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.CallHandler;
import walnutfield.desk.InsertActions;
import walnutfield.loop.DeskThread;
import walnutfield.net.Client;
import walnutfield.net.Clock;
import walnutfield.net.Server;
import walnutfield.play.GatewayActions;
import walnutfield.stitch.Schedule;

/** One running gateway: its front, its desk's thread, its ways to hosts and list. */
public final class GatewayServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(GatewayServer.class);
    private static final int ANSWER_LOOK_MS = 20;
    private static final int SWEEP_MS = 25;
    private static final int ASK_MS = 5_000; // the desk must come to a question within this

    /** Makes a gateway's desk, given where its results go. */
    public interface DeskMaker {
        CallHandler make(GatewayActions out, InsertActions beside);
    }

    private final String name;
    private final DeskThread thread;
    private final HostClient hosts;
    private final Client lists;
    private final Plays plays;
    private final Hls hls;
    private final Admission admission;
    private final Calls calls; // null where there is no front for calls
    private final ListClient list;
    private final Front front;
    private final Server server;
    private final Terms.Front frontTerms;
    private final ScheduledExecutorService sweeper;
    private int port;

    /**
     * @param name     of the gateway, as hosts and the list service see it
     * @param registry counts and times
     * @param metrics  what /metrics answers
     * @param sip      the front for video calls; null for none
     * @param maker    makes its desk
     */
    public GatewayServer(
            String name,
            Terms.Front frontTerms,
            Terms.Sip sip,
            Terms.Hosts hostTerms,
            Terms.Lists listTerms,
            Catalogue catalogue,
            MeterRegistry registry,
            Supplier<String> metrics,
            DeskMaker maker)
            throws IOException {
        Figures figures = new Figures(registry, name);
        this.name = name;
        this.frontTerms = frontTerms;
        thread = new DeskThread(name + "-desk", frontTerms.queue(), figures::event);
        hosts = new HostClient(name, hostTerms);
        lists = new Client(name + "-list", 1, new Client.Terms(listTerms.retryMs(), 1000, 1, 16_384, Long.MAX_VALUE));
        String life = name + "." + Long.toString((long) Clock.now(), 36);
        hls = new Hls(life, thread, hosts, frontTerms, hostTerms, catalogue, figures);
        calls = sip == null ? null : new Calls(life, thread, sip, hostTerms, catalogue, hls.inserts);
        plays = new Plays(
                life,
                thread,
                sip != null && sip.probes() ? calls : this::probe,
                frontTerms,
                hostTerms,
                figures,
                maker,
                hls.inserts);
        hls.over(plays);
        admission = new Admission(thread, plays, frontTerms);
        if (calls != null) {
            calls.over(plays, admission);
        }
        list = new ListClient(thread, lists, listTerms, name, plays::tell, plays::listChanged);
        front = new Front(admission, hls, catalogue, metrics);
        server = new Server(name, frontTerms.selectors(), frontTerms.limits(), front::handle);
        sweeper = Executors.newSingleThreadScheduledExecutor(r -> {
            Thread t = new Thread(r, name + "-untaken");
            t.setDaemon(true);
            return t;
        });
        sweeper.scheduleWithFixedDelay(admission::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        if (calls != null) {
            figures.gauge("sip.repeats", calls::repeats);
        }
        figures.gauge("plays.open", plays::playing);
        figures.gauge("desk.queue", thread::waiting);
        figures.gauge("connections", server::connections);
    }

    /** Starts; returns the port that viewers reach it at. */
    public int start() throws IOException {
        thread.start();
        thread.post(() -> {
            plays.begin(list);
            hls.begin();
        });
        server.start();
        port = server.bind(frontTerms.port());
        if (calls != null) {
            LOG.atInfo()
                    .addKeyValue("gateway", name)
                    .addKeyValue("port", calls.bind())
                    .log("calls taken");
        }
        LOG.atInfo().addKeyValue("gateway", name).addKeyValue("port", port).log("gateway started");
        return port;
    }

    private void probe(InetSocketAddress host, Consumer<Viewing.Came> to) {
        hosts.probe(host, reply -> to.accept(reply.came(() -> true)));
    }

    /** The port of the front for calls; 0 for none. */
    public int sipPort() {
        return calls == null ? 0 : calls.port();
    }

    /** From now on these inserts are stitched into viewings that begin; those under way keep theirs. */
    public void schedule(Schedule next) {
        thread.post(() -> hls.schedule(next));
    }

    /** Takes nothing new, answers what it holds, then ends; after that time it ends in any case. */
    public void drain(double mostMs) throws IOException {
        admission.drain();
        double until = Clock.now() + mostMs;
        LOG.atInfo().addKeyValue("gateway", name).log("gateway draining");
        while (Clock.now() < until && thread.ask(plays::unanswered, ASK_MS) != 0) {
            pause();
        }
        thread.ask(
                () -> {
                    plays.keepLearnt();
                    return 0;
                },
                ASK_MS);
        close();
        LOG.atInfo().addKeyValue("gateway", name).log("gateway ended");
    }

    private static void pause() {
        try {
            Thread.sleep(ANSWER_LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Stands still for so long, as on a machine that stops: for rehearsals. */
    public void stall(double ms) {
        thread.post(() -> {
            try {
                Thread.sleep((long) ms);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Ends at once: what is open is cut. */
    @Override
    public void close() throws IOException {
        sweeper.shutdownNow();
        thread.stop();
        server.unbind(port);
        server.cut(port);
        server.close();
        if (calls != null) {
            calls.close();
        }
        hosts.close();
        lists.close();
    }
}
