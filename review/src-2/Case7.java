import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An idle media host dies, and a host that holds other titles starts at its address and is told first. */
final class Case7 {
    private static final int CELLS = 14;
    private static final int COPIES = 3;
    private static final double GRACE_MS = 250;
    private static final double SLACK_MS = 50;

    private Case7() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case7::run);
    }

    /** The title's first cell is its last hex digit. */
    private static String title(int home) {
        return String.format("7f3a9c21e0b4d65%x", home);
    }

    private static boolean holds(Rig.MediaHost host, String title) {
        int home = Integer.parseInt(title.substring(15), 16);
        return Math.floorMod(host.cell - home, CELLS) < COPIES;
    }

    /** A host that answers 'error' to a title that it does not hold. */
    private static final class Holder extends Rig.MediaHost {
        Holder(int number, int cell) throws Exception {
            super(number, cell, 50);
            reportEvery(3000);
        }

        Holder(int number, int cell, java.net.ServerSocket socket) throws Exception {
            super(number, cell, socket, System.currentTimeMillis());
            reportEvery(3000);
        }

        @Override
        void setUpReceived(Rig.Standing session) {
            if (holds(this, session.title)) {
                super.setUpReceived(session);
            } else {
                session.endedByGateway = true;
                Rig.log("%s does not hold title %s", id, session.title);
                session.link.send(Rig.Message.response(500, 1, session.id));
            }
        }
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < CELLS; i++) {
            hosts.add(new Holder(0xc41f00 + i, i));
        }
        Rig.Gateway gateway =
                new Rig.Gateway("n0", Sites.bergen(2, CELLS, CELLS, 3000), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Rig.FrontLink link = front.connect();
        // At first only titles of cells 4 to 13 are wanted: the hosts of cells 0 to 3 are idle.
        for (int i = 0; i < 60; i++) {
            link.setUp(front.request(title(4 + i % 8), i % 3 == 0 ? "kurs-logg" : "fri-visning", 3000), 4 + i % 8, COPIES);
            Rig.sleep(150);
        }
        Rig.MediaHost old = hosts.get(2);
        double diedAt = Rig.now();
        double toldAt = Double.POSITIVE_INFINITY;
        if (Rig.TROUBLE) {
            old.die();
            Rig.sleepUntil(diedAt + 600);
            Rig.MediaHost successor = new Holder(0xd00001, 9, Rig.listen(old.port));
            Rig.log("%s of cell 9 starts at the address of %s of cell %d", successor.id, old.id, old.cell);
            hosts.add(successor);
            Rig.sleepUntil(diedAt + 1_600);
            toldAt = Rig.now();
            board.tell(0, successor);
        }
        // From now on the titles of cells 0 to 2 are wanted.
        Rig.sleepUntil(diedAt + 2_200);
        for (int i = 0; i < 11; i++) {
            link.setUp(front.request(title(i % 3), i % 3 == 0 ? "kurs-logg" : "fri-visning", 3000), i % 3, COPIES);
            Rig.sleep(200);
        }
        Rig.sleepUntil(diedAt + 4_600);
        if (Rig.TROUBLE) {
            board.tell(2, old);
        }
        Rig.sleepUntil(diedAt + 8_000);
        int wrong = 0;
        int total = 0;
        for (Rig.MediaHost host : hosts) {
            for (Rig.Standing session : host.sessions.values()) {
                total++;
                if (!holds(host, session.title)
                        && (!Rig.TROUBLE || session.receivedAt > toldAt + GRACE_MS + SLACK_MS)) {
                    wrong++;
                    Rig.say(
                            "set-up %s (%s) of title %s reached %s of cell %d%s; its client was answered %d",
                            session.id,
                            session.trafficClass,
                            session.title,
                            host.id,
                            host.cell,
                            Rig.TROUBLE
                                    ? String.format(", %.0f ms after the notice of that host", session.receivedAt - toldAt)
                                    : "",
                            front.requests.get(session.id).status);
                }
            }
        }
        Rig.say("set-ups at hosts: %d, at a host that does not hold the title: %d", total, wrong);
        return total == 0 ? 2 : wrong > 0 ? 1 : 0;
    }
}
