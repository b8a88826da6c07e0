import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Some connections to one media host come up late (at most 1 s late). It is sound, its open connections stay open and
 * its sessions play on. None of them may be ended, and the seats that they hold may not be given away.
 */
final class LateConnections {
    private static final String OTHER_TITLE = "00f31b70aa19c4e2";
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
        rig.startGateway(board, hosts, Rig.settings("lang-sal"));
        Thread.sleep(6_000); // no host counts as cold any more
        Rig.Viewer viewer = rig.new Viewer();

        // All seats of the title are taken, at least one of them at the host in question.
        Set<String> ofTitle = new HashSet<>();
        for (int round = 0; round < 8 && standing(hosts, ofTitle, late.host) == 0; round++) {
            for (String id : ofTitle) {
                viewer.end(id);
            }
            Thread.sleep(200);
            ofTitle.clear();
            for (int i = 0; i < Rig.SEATS; i++) {
                ask(viewer, ofTitle);
            }
        }
        if (standing(hosts, ofTitle, late.host) == 0 || standing(hosts, ofTitle, null) != Rig.SEATS) {
            throw new Rig.CannotRun("the seats are not taken as wanted");
        }
        rig.note("all " + Rig.SEATS + " seats of title " + Rig.TITLE + " are taken, "
                + standing(hosts, ofTitle, late.host) + " of them at " + late.host.name);

        hosts.forEach(host -> host.answerMs = 900);
        for (int burst = 0; burst < BURSTS && ended(viewer, ofTitle).isEmpty(); burst++) {
            double note = late.host.notedAt;
            for (int i = 0; i < 500 && late.host.notedAt == note; i++) {
                Thread.sleep(10);
            }
            Thread.sleep(1_300); // until then the host has nothing to say
            if (Rig.TROUBLE) {
                late.beLate();
            }
            List<String> asked = new ArrayList<>();
            for (int i = 0; i < BURST; i++) {
                asked.add(viewer.setUp(OTHER_TITLE, "prove", 0, 3, 12_000));
                Thread.sleep(10);
            }
            for (String id : asked) {
                Rig.Message answer = viewer.answer(id, 12_600);
                if (answer != null && answer.status() == 200) {
                    viewer.end(id);
                }
            }
        }
        Thread.sleep(1_500);
        for (String id : ended(viewer, ofTitle)) {
            rig.note("session " + id + " was ended towards its viewer; at its media host it "
                    + (late.host.standing.containsKey(id) ? "still stands" : "is over"));
        }
        int ended = ended(viewer, ofTitle).size();
        hosts.forEach(host -> host.answerMs = 60);

        // Viewers ask for the title again; with all seats taken they have to be turned away.
        for (int i = 0; i < Rig.SEATS; i++) {
            ask(viewer, ofTitle);
        }
        int held = standing(hosts, ofTitle, null);
        rig.note("sessions of title " + Rig.TITLE + " that stand at media hosts now: " + held + ", seats: " + Rig.SEATS);
        return held <= Rig.SEATS
                ? null
                : ended + " playing sessions were ended towards their viewers, though their media host was sound; "
                        + held + " sessions of one title stand at media hosts, where " + Rig.SEATS + " seats are set";
    }

    private static void ask(Rig.Viewer viewer, Set<String> ofTitle) throws Exception {
        String id = viewer.setUp("direkte", 0, 3, 6_000);
        ofTitle.add(id);
        viewer.answer(id, 6_600);
        Thread.sleep(50);
    }

    /** How many sessions of the title stand, as the media hosts see it; at one of them, or (null) at all together. */
    private static int standing(List<Rig.Host> hosts, Set<String> ofTitle, Rig.Host only) {
        return hosts.stream()
                .filter(host -> only == null || host == only)
                .mapToInt(host -> (int) host.standing.keySet().stream().filter(ofTitle::contains).count())
                .sum();
    }

    /** The sessions of the title that the gateway has ended towards their viewer. */
    private static List<String> ended(Rig.Viewer viewer, Set<String> ofTitle) {
        synchronized (viewer.received) {
            return viewer.received.stream()
                    .filter(message -> message.is("TEARDOWN") && ofTitle.contains(message.session()))
                    .map(Rig.Message::session)
                    .toList();
        }
    }
}
