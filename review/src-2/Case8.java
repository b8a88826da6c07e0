import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Media hosts forget idle connections; viewers end their sessions. */
final class Case8 {
    private static final String TITLE = "7f3a9c21e0b4d655";
    private static final String SEATED = "board-course";
    private static final int SEATS = 4;
    private static final double IDLE_MS = 3_000;

    private Case8() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case8::run);
    }

    private static List<Rig.Standing> standing(List<Rig.MediaHost> hosts) {
        return hosts.stream()
                .flatMap(host -> host.sessions.values().stream())
                .filter(session -> session.trafficClass.equals(SEATED) && session.stands())
                .toList();
    }

    private static void fillSeats(Rig.Front front, Rig.FrontLink link, List<Rig.MediaHost> hosts, int count)
            throws Exception {
        List<Rig.Request> requests = new ArrayList<>();
        for (int i = 0; i < 12 && served(requests) < count; i++) {
            Rig.Request request = front.request(TITLE, SEATED, 3000);
            requests.add(request);
            link.setUp(request, 0, 3);
            Rig.sleep(500);
        }
    }

    private static long served(List<Rig.Request> requests) {
        return requests.stream().filter(request -> request.status == 200).count();
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            hosts.add(new Rig.MediaHost(0xc41f00 + i, i % 6, 50));
        }
        Rig.Gateway gateway = new Rig.Gateway("n0", Sites.klubb(2, 6, SEATS), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Rig.FrontLink link = front.connect();
        fillSeats(front, link, hosts, SEATS);
        if (standing(hosts).size() != SEATS) {
            throw new IllegalStateException("the seats were not filled: " + standing(hosts).size());
        }
        Rig.sleep(6_000);
        if (Rig.TROUBLE) {
            hosts.forEach(host -> host.forgetIdle(IDLE_MS));
        }
        Rig.sleep(200);
        List<Rig.Request> ended = new ArrayList<>();
        for (Rig.Standing session : standing(hosts)) {
            ended.add(front.requests.get(session.id));
            link.end(front.requests.get(session.id));
        }
        Rig.sleep(2_000);
        long left = standing(hosts).size();
        fillSeats(front, link, hosts, SEATS);
        int most = 0;
        for (double end = Rig.now() + 15_000; Rig.now() < end; Rig.sleep(100)) {
            most = Math.max(most, standing(hosts).size());
        }
        long stillThere = standing(hosts).stream()
                .filter(session -> ended.contains(front.requests.get(session.id)))
                .count();
        Rig.say(
                "sessions that their viewers ended: %d, of which %d stood at their host 2 s later and %d at the end; seats %d, most sessions of the title that stood at once: %d",
                ended.size(),
                left,
                stillThere,
                SEATS,
                most);
        return most > SEATS ? 1 : 0;
    }
}
