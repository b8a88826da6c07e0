import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Some connections to one media host come up late (at most 1 s late). It is sound, its open connections stay open and
 * its sessions play on. None of them may be ended.
 */
final class LateConnections {
    private static final int SESSIONS = 9;
    private static final int BURSTS = 4;
    private static final int BURST = 12; // set-ups
    private static final long LATE_MS = 900; // how long connections do not come up; each is at most 1 s late

    public static void main(String[] arguments) {
        Rig.main(arguments, LateConnections::run);
    }

    /** A media host whose listen queue can be kept full: a connection then comes up when the queue has room again. */
    private static final class LateHost {
        final Rig.Host host;
        private final Rig rig;
        volatile boolean late;

        LateHost(Rig rig, int number, int cell) throws Exception {
            this.rig = rig;
            host = rig.new Host(number, cell, 1) {
                @Override
                Socket next() throws Exception {
                    server.setSoTimeout(20);
                    while (true) {
                        if (late) {
                            Thread.sleep(5);
                            continue;
                        }
                        try {
                            return server.accept();
                        } catch (SocketTimeoutException e) {
                            continue;
                        }
                    }
                }
            };
        }

        void beLate() throws Exception {
            late = true;
            List<Socket> fill = new ArrayList<>();
            Thread.sleep(50);
            for (int i = 0; i < 8; i++) { // until one does not come up
                Socket socket = new Socket();
                try {
                    socket.connect(new InetSocketAddress(Rig.LOOPBACK, host.server.getLocalPort()), 60);
                    fill.add(socket);
                } catch (SocketTimeoutException e) {
                    socket.close();
                    break;
                }
            }
            double from = Rig.now();
            rig.note(host.name + ": new connections are late from now on");
            Rig.start("late", () -> {
                Thread.sleep((long) (LATE_MS - (Rig.now() - from)));
                for (Socket socket : fill) {
                    socket.close();
                }
                late = false;
                rig.note(host.name + ": new connections come up again");
            });
        }
    }

    private static String run(Rig rig) throws Exception {
        List<Rig.Host> hosts = new ArrayList<>();
        LateHost late = new LateHost(rig, 0x10, 0);
        hosts.add(late.host);
        for (int i = 1; i < 4; i++) {
            hosts.add(rig.new Host(0x10 + i, i));
        }
        hosts.forEach(host -> host.answerMs = 60);
        Rig.Board board = rig.new Board();
        rig.startGateway(board, hosts, Rig.settings(false));
        Thread.sleep(6_000); // no host counts as cold any more
        Rig.Viewer viewer = rig.new Viewer();
        Set<String> playing = new HashSet<>();
        for (int i = 0; i < 3 * SESSIONS && late.host.standing.size() < SESSIONS / 3; i++) {
            String id = viewer.setUp("kurs-logg", 0, 3, 3_000);
            Rig.Message answer = viewer.answer(id, 3_500);
            if (answer != null && answer.status() == 200 && late.host.standing.containsKey(id)) {
                playing.add(id);
            }
            Thread.sleep(100);
        }
        if (playing.isEmpty()) {
            throw new Rig.CannotRun("no session stands at the host");
        }
        rig.note(late.host.name + " has the sessions " + playing);
        hosts.forEach(host -> host.answerMs = 400);
        for (int burst = 0; burst < BURSTS && cut(viewer, playing).isEmpty(); burst++) {
            double note = late.host.notedAt;
            for (int i = 0; i < 500 && late.host.notedAt == note; i++) {
                Thread.sleep(10);
            }
            Thread.sleep(1_300); // until then the host has nothing to say
            if (Rig.TROUBLE) {
                late.beLate();
            }
            List<String> asked = new CopyOnWriteArrayList<>();
            for (int i = 0; i < BURST; i++) {
                asked.add(viewer.setUp("kurs-logg", 0, 3, 3_000));
                Thread.sleep(10);
            }
            for (String id : asked) {
                Rig.Message answer = viewer.answer(id, 3_600);
                if (answer != null && answer.status() == 200) {
                    viewer.end(id);
                }
            }
        }
        Thread.sleep(500);
        List<String> cut = cut(viewer, playing);
        for (String id : cut) {
            rig.note("session " + id + " was ended towards its viewer; at its media host it "
                    + (late.host.standing.containsKey(id) ? "still stands" : "is over"));
        }
        return cut.isEmpty() ? null : cut.size() + " of " + playing.size()
                + " playing sessions were ended, though their media host was sound and had not released them";
    }

    /** The playing sessions that the gateway has ended towards their viewer. */
    private static List<String> cut(Rig.Viewer viewer, Set<String> playing) {
        synchronized (viewer.received) {
            return viewer.received.stream()
                    .filter(message -> message.is("TEARDOWN") && playing.contains(message.session()))
                    .map(Rig.Message::session)
                    .toList();
        }
    }
}
