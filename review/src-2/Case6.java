import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A machine vanishes and another host starts at its address; the new one is told before the end of the old one. */
final class Case6 {
    private static final String TITLE = "7f3a9c21e0b4d655";
    private static final double SLACK_MS = 50;

    private Case6() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), Case6::run);
    }

    private static int run() throws Exception {
        Rig.Board board = new Rig.Board();
        List<Rig.MediaHost> hosts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            Rig.MediaHost host = new Rig.MediaHost(0xc41f00 + i, i % 6);
            host.reportEvery(4000);
            host.lifeMs = 26_000;
            hosts.add(host);
        }
        Rig.Gateway gateway =
                new Rig.Gateway("n0", Sites.bergen(2, 12, 6, 4000), Rig.known(hosts), board.address(), 512);
        Rig.Front front = new Rig.Front(gateway);
        Rig.FrontLink link = front.connect();
        for (int i = 0; i < 30; i++) {
            link.setUp(front.request(TITLE, i % 3 == 0 ? "kurs-logg" : "fri-visning", 3000), 0, 3);
            Rig.sleep(300);
        }
        Rig.sleep(1000);
        Rig.MediaHost old = hosts.stream()
                .max((a, b) -> Long.compare(a.standingCount(), b.standingCount()))
                .orElseThrow();
        if (old.standingCount() == 0) {
            throw new IllegalStateException("no session stands");
        }
        double before = old.lastReportAt;
        for (double limit = Rig.now() + 6_000; Double.isNaN(old.lastReportAt) || old.lastReportAt == before; Rig.sleep(5)) {
            if (Rig.now() > limit) {
                throw new IllegalStateException("no report");
            }
        }
        Rig.sleep(50);
        double at = Rig.now();
        if (Rig.TROUBLE) {
            old.vanish();
            Rig.sleepUntil(at + 2_000);
            Rig.MediaHost successor = old.replacedBy(0xd00001);
            successor.admitConnections();
            Rig.sleepUntil(at + 3_500);
            board.tell(0, successor);
            Rig.sleepUntil(at + 6_500);
            board.tell(2, old);
        }
        Rig.sleepUntil(at + 32_000);
        return check(front, hosts);
    }

    /** What stood and is over is released within 1 s of its host's release, and within 8 s of its end otherwise. */
    private static int check(Rig.Front front, List<Rig.MediaHost> hosts) {
        int ended = 0;
        int late = 0;
        int wrong = 0;
        for (Rig.MediaHost host : hosts) {
            for (Rig.Standing session : host.sessions.values()) {
                Rig.Request request = front.requests.get(session.id);
                if (request.status == 200 && session.stands()) {
                    wrong += Double.isNaN(request.releasedAt) ? 0 : 1;
                }
                if (request.status != 200 || Double.isNaN(session.endedAt) || session.endedByGateway) {
                    continue;
                }
                ended++;
                double due = (Double.isNaN(session.releasedAt) ? session.endedAt + 8_000 : session.releasedAt + 1_000)
                        + SLACK_MS;
                if (Double.isNaN(request.releasedAt) || request.releasedAt > due) {
                    late++;
                    Rig.say(
                            "session %s at %s was over at %.0f, release %s, due at %.0f; its client was told %s",
                            session.id,
                            host.id,
                            session.endedAt,
                            Double.isNaN(session.releasedAt) ? "not sent" : "sent",
                            due,
                            Double.isNaN(request.releasedAt) ? "never" : String.format("at %.0f", request.releasedAt));
                }
            }
        }
        Rig.say("sessions that were over: %d, released late or never: %d, released though they stood: %d", ended, late, wrong);
        return ended == 0 ? 2 : late > 0 ? 1 : 0;
    }
}
