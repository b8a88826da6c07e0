import java.util.ArrayList;
import java.util.List;

/**
 * Discovery is slow: each gateway that asks gets its first frame only some time after its request. Later a media host is
 * listed as draining; once that counts as told, no set-up may reach it any more.
 */
final class SlowBoard {
    private static final long SLOW_MS = Long.getLong("slowMs", 1_500); // from the request to the first frame
    private static final int TOLD_MS = 4_000; // what a silent board has to tell counts as told after this
    private static final int GRACE_MS = 250; // rules.drainGrace
    private static final int SLACK_MS = 50; // of every time limit on sockets

    public static void main(String[] arguments) {
        Rig.main(arguments, SlowBoard::run);
    }

    private static String run(Rig rig) throws Exception {
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Host host = rig.new Host(0x10 + i, i);
            host.answerMs = 60;
            hosts.add(host);
        }
        Rig.Board board = rig.new Board();
        board.answerDelayMs = Rig.TROUBLE ? SLOW_MS : 0;
        rig.startGateway(board, hosts, Rig.settings("bergen-kurs"));
        Rig.Host draining = hosts.get(0);
        double told = Double.POSITIVE_INFINITY;
        Rig.Viewer viewer = rig.new Viewer();
        double until = Rig.now() + 30_000;
        while (Rig.now() < until) {
            String id = viewer.setUp("fri-visning", 0, 4, 5_000);
            Rig.start("end", () -> {
                Rig.Message answer = viewer.answer(id, 5_500);
                if (answer != null && answer.status() == 200) {
                    Thread.sleep(1_000);
                    viewer.end(id);
                }
            });
            Thread.sleep(100);
            if (draining.state == 0 && until - Rig.now() < 20_000) {
                draining.state = 1;
                told = board.tell(draining) + (Rig.TROUBLE ? TOLD_MS : 0);
                rig.note("event told at the latest " + (Rig.TROUBLE ? TOLD_MS : 0) + " ms from now");
            }
        }
        double limit = told + GRACE_MS + SLACK_MS;
        Thread.sleep(500);
        long after = draining.all.stream().filter(at -> at > limit).count();
        double last = draining.all.stream().mapToDouble(at -> at).max().orElse(Double.NaN);
        rig.note(draining.name + ": of " + draining.all.size() + " set-ups " + after + " reached it after the limit");
        if (draining.all.size() - after < 5) {
            throw new Rig.CannotRun("too few set-ups reached the host while it was ready");
        }
        return after == 0
                ? null
                : String.format("%d set-ups reached draining host %s more than %d ms after its event was in the board, the last after %.1f s",
                        after, draining.name, (long) (limit - told + (Rig.TROUBLE ? TOLD_MS : 0)),
                        (last - told + (Rig.TROUBLE ? TOLD_MS : 0)) / 1000);
    }
}
