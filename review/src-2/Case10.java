import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway that has just started stands still three times; each time two media hosts of a rolling deploy begin to drain. */
final class Case10 {
    private static final double GRACE_MS = 250;
    private static final double SLACK_MS = 50;
    private static final int STALLS = 3;
    private static final double STALL_MS = 1_800;
    private static final double PERIOD_MS = 2_400;
    private static final double DRAIN_MS = 2_500;
    private static final int CELLS = 20;
    private static final int COPIES = 3;
    private static final int[][] POPULAR = {{0, 9}, {3, 12}, {6, 15}}; // first cells of the titles wanted most, until each stall

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case10::run);
    }

    private static int home(String title) {
        return Integer.parseInt(title.substring(14), 16);
    }

    /** A host that turns set-ups away while it drains. */
    private static final class Draining extends Rig.MediaHost {
        volatile boolean drains;

        Draining(int number, int cell) throws java.io.IOException {
            super(number, cell, 50);
        }

        @Override
        void setUpReceived(Rig.Standing session) {
            if (!drains) {
                super.setUpReceived(session);
                return;
            }
            session.endedByGateway = true;
            session.link.send(Rig.Message.response(453, 1, session.id).with("X-Circuits", "inflight:0;x0:0.3"));
            Rig.log("%s drains and turned %s away", id, session.id);
        }
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < CELLS; i++) {
            Rig.MediaHost host = new Draining(0xc41f00 + i, i);
            host.reportEvery(3000);
            host.workMs = 80;
            host.lifeMs = 15_000;
            hosts.add(host);
        }
        Rig.Gateway gateway =
                new Rig.Gateway("n0", Sites.bergen(3, CELLS, CELLS, 3000), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Random random = new Random(5);
        List<Rig.FrontLink> links = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            links.add(front.connect());
        }
        AtomicInteger stalls = new AtomicInteger(); // that are over
        double begin = Rig.now();
        double end = begin + 11_000;
        Rig.daemon(
                        () -> {
                            try {
                                for (int i = 0; Rig.now() < end; i++) {
                                    // Two titles are wanted far more than others.
                                    int wanted = random.nextInt(10) < 8
                                            ? POPULAR[stalls.get()][random.nextInt(2)]
                                            : random.nextInt(CELLS);
                                    String title = String.format("7f3a9c21e0b4d6%02x", wanted);
                                    boolean paid = i % 3 == 0;
                                    links.get(i % links.size())
                                            .setUp(
                                                    front.request(
                                                            title,
                                                            paid ? "kurs-logg" : "fri-visning",
                                                            paid ? 3000 : 5000),
                                                    home(title),
                                                    COPIES);
                                    Rig.sleepUntil(begin + (i + 1) * 40.0);
                                }
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "traffic")
                .start();
        Map<Rig.MediaHost, Double> toldAt = new HashMap<>();
        for (int i = 0; i < STALLS; i++) {
            Rig.sleepUntil(begin + 2_000 + i * PERIOD_MS);
            double stallAt = Rig.now();
            if (Rig.TROUBLE) {
                gateway.signal("STOP");
            }
            Rig.MediaHost[] draining = {hosts.get(POPULAR[i][0] + 1), hosts.get(POPULAR[i][1] + 1)};
            Rig.sleepUntil(stallAt + 200);
            for (Rig.MediaHost host : draining) {
                ((Draining) host).drains = true;
                toldAt.put(host, Rig.now());
            }
            board.tell(1, draining);
            Rig.at(Rig.now() + DRAIN_MS, () -> {
                try {
                    draining[0].die();
                    draining[1].die();
                    board.tell(2, draining);
                } catch (java.io.IOException e) {
                    Rig.log("%s", e);
                }
            });
            Rig.sleepUntil(stallAt + STALL_MS);
            if (Rig.TROUBLE) {
                gateway.signal("CONT");
            }
            stalls.set(Math.min(i + 1, STALLS - 1));
        }
        Rig.sleepUntil(end + 2_000);
        int late = 0;
        for (Map.Entry<Rig.MediaHost, Double> one : toldAt.entrySet()) {
            for (Rig.Standing session : one.getKey().sessions.values()) {
                double after = session.receivedAt - one.getValue();
                if (after > GRACE_MS + SLACK_MS) {
                    late++;
                    Rig.say(
                            "set-up %s (%s) reached %s %.0f ms after the notice that it drains; its client was answered %d",
                            session.id,
                            session.trafficClass,
                            session.host.id,
                            after,
                            front.requests.get(session.id).status);
                }
            }
        }
        int total = hosts.stream().mapToInt(host -> host.sessions.size()).sum();
        Rig.say(
                "set-ups at hosts: %d; at hosts that drained, over %.0f ms after the notice: %d",
                total, GRACE_MS + SLACK_MS, late);
        return total == 0 ? 2 : late > 0 ? 1 : 0;
    }
}
