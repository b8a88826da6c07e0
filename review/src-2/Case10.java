import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Two connections to a sound media host come up late; its sessions stand, and so does the connection of their set-ups. */
final class Case10 {
    private static final String TITLE = "7f3a9c21e0b4d655";
    private static final String SEATED = "board-course";
    private static final int SEATS = 4;

    private Case10() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case10::run);
    }

    private static int standing(List<Rig.MediaHost> hosts) {
        return (int) hosts.stream()
                .flatMap(host -> host.sessions.values().stream())
                .filter(session -> session.trafficClass.equals(SEATED) && session.stands())
                .count();
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            hosts.add(new Rig.MediaHost(0xc41f00 + i, i % 6));
        }
        Rig.Gateway gateway = new Rig.Gateway("n0", Sites.klubb(2, 6, SEATS), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Rig.FrontLink link = front.connect();
        // Three hosts hold the title's sessions; wait for four that stand.
        for (int i = 0; i < 40 && standing(hosts) < SEATS; i++) {
            link.setUp(front.request(TITLE, SEATED, 3000), 0, 3);
            Rig.sleep(400);
        }
        if (standing(hosts) != SEATS) {
            throw new IllegalStateException("the seats were not filled: " + standing(hosts));
        }
        Rig.MediaHost host = hosts.stream()
                .max((a, b) -> Long.compare(a.standingCount(), b.standingCount()))
                .orElseThrow();
        Rig.log("%s has %d of the %d sessions", host.id, host.standingCount(), SEATS);
        Rig.sleep(3_000);
        double end = Rig.now() + 30_000;
        int most = 0;
        double dialAt = nextDial(host, Rig.now());
        if (Rig.TROUBLE) {
            for (int i = 0; i < 2; i++) { // each connection that is asked for in this time comes up at its end
                Rig.sleepUntil(dialAt + 850);
                host.holdConnections();
                Rig.sleepUntil(dialAt + 1_550);
                host.admitConnections();
                dialAt += 1_050;
            }
        }
        while (Rig.now() < end) {
            // Viewers whose session was released come again, with new ids.
            for (Rig.Request request : List.copyOf(front.requests.values())) {
                if (!Double.isNaN(request.releasedAt) && !request.givenUp) {
                    request.givenUp = true; // came again once
                    Rig.sleep(900);
                    link.setUp(front.request(TITLE, SEATED, 3000), 0, 3);
                }
            }
            most = Math.max(most, standing(hosts));
            Rig.sleep(100);
        }
        long cut = front.requests.values().stream()
                .filter(request -> !Double.isNaN(request.releasedAt))
                .count();
        long cutStanding = hosts.stream()
                .flatMap(h -> h.sessions.values().stream())
                .filter(session -> session.stands()
                        && !Double.isNaN(front.requests.get(session.id).releasedAt))
                .count();
        Rig.say(
                "seats %d, most sessions of the title that stood at the hosts at once: %d; released by the gateway: %d, of which %d still stand at their host",
                SEATS,
                most,
                cut,
                cutStanding);
        return most > SEATS ? 1 : 0;
    }

    private static double nextDial(Rig.MediaHost host, double after) throws InterruptedException {
        int count = host.links.size();
        for (double limit = Rig.now() + 5_000; host.links.size() == count; Rig.sleep(2)) {
            if (Rig.now() > limit) {
                throw new IllegalStateException("no further connection to the host");
            }
        }
        return Rig.now();
    }
}
