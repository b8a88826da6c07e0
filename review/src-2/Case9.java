import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** An idle media host dies and another of the same cell starts at its address; the end is told before the start. */
final class Case9 {
    private static final String SEATED = "board-course";
    private static final int SEATS = 4;
    private static final int CELLS = 12;
    private static final int COPIES = 3;

    private Case9() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case9::run);
    }

    /** The title's first cell is its last hex digit. */
    private static String title(int home) {
        return String.format("7f3a9c21e0b4d65%x", home);
    }

    private static int standing(List<Rig.MediaHost> hosts, String title) {
        return (int) hosts.stream()
                .flatMap(host -> host.sessions.values().stream())
                .filter(session ->
                        session.trafficClass.equals(SEATED) && session.title.equals(title) && session.stands())
                .count();
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < CELLS; i++) {
            hosts.add(new Rig.MediaHost(0xc41f00 + i, i, 50));
        }
        Rig.Gateway gateway =
                new Rig.Gateway("n0", Sites.klubb(2, CELLS, SEATS), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Rig.FrontLink link = front.connect();
        // Until the gateway's first 12 s are over, during which it sends to each host at a slow pace, others are asked for.
        for (int i = 0; i < 32; i++) {
            link.setUp(front.request(title(5 + i % 4), "short-clip", 5000), 5 + i % 4, COPIES);
            Rig.sleep(400);
        }
        Rig.MediaHost old = hosts.get(2);
        double diedAt = Rig.now();
        if (Rig.TROUBLE) {
            old.die();
            Rig.sleepUntil(diedAt + 500);
            Rig.MediaHost successor =
                    new Rig.MediaHost(0xd00001, old.cell, Rig.listen(old.port), System.currentTimeMillis());
            Rig.log("%s of cell %d starts at the address of %s", successor.id, successor.cell, old.id);
            hosts.add(successor);
        }
        Rig.sleepUntil(diedAt + 600);
        for (int i = 0; i < 2 * SEATS - 1; i++) { // the seats of three titles that cell 2 holds
            for (int home = 0; home < COPIES; home++) {
                if (standing(hosts, title(home)) < SEATS) {
                    link.setUp(front.request(title(home), SEATED, 3000), home, COPIES);
                }
            }
            Rig.sleep(200);
        }
        if (Rig.TROUBLE) { // 2.4 s after the end and 2.1 s after the start
            Rig.sleepUntil(diedAt + 2_400);
            board.tell(2, old);
            Rig.sleepUntil(diedAt + 2_600);
            board.tell(0, hosts.get(CELLS));
        }
        double end = diedAt + 14_000;
        int most = 0;
        while (Rig.now() < end) {
            // Viewers whose session was released come again, with new ids.
            for (Rig.Request request : List.copyOf(front.requests.values())) {
                if (request.trafficClass.equals(SEATED) && !Double.isNaN(request.releasedAt) && !request.givenUp) {
                    request.givenUp = true; // came again once
                    Rig.sleep(300);
                    int home = Integer.parseInt(request.title.substring(15), 16);
                    link.setUp(front.request(request.title, SEATED, 3000), home, COPIES);
                }
            }
            for (int home = 0; home < COPIES; home++) {
                most = Math.max(most, standing(hosts, title(home)));
            }
            Rig.sleep(50);
        }
        long cut = hosts.stream()
                .flatMap(host -> host.sessions.values().stream())
                .filter(session -> session.stands()
                        && !Double.isNaN(front.requests.get(session.id).releasedAt))
                .count();
        Rig.say(
                "seats %d, most sessions of one title that stood at the hosts at once: %d; sessions that the gateway released and that still stand at their host: %d",
                SEATS,
                most,
                cut);
        return most == 0 ? 2 : most > SEATS ? 1 : 0;
    }
}
