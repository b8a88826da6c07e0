import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Some bad clients each send hundreds of set-ups of nearly 16 KiB and take them back at once; meanwhile usual clients
 * ask, and every one of their set-ups has to get its final answer.
 */
final class TakenBack {
    private static final int BAD_CLIENTS = Integer.getInteger("clients", 20);
    private static final int SET_UPS_EACH = Integer.getInteger("each", 300);
    private static final int DESCRIPTION_BYTES = Integer.getInteger("bytes", 15_800);
    private static final int GROUP = Integer.getInteger("group", 10); // bad clients that come together
    private static final int GROUP_MS = Integer.getInteger("groupMs", 700); // then the next ones come
    private static final int WAIT_MS = 5_000; // deadline of the class
    private static final int LATEST_MS = 550; // half a second after its time, and the slack of 50 ms

    private record Asked(String id, Rig.Viewer viewer, double at, boolean first) {}

    public static void main(String[] arguments) {
        Rig.main(arguments, TakenBack::run);
    }

    private static String run(Rig rig) throws Exception {
        List<Rig.Host> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Rig.Host host = rig.new Host(0x10 + i, i);
            host.answerMs = 60;
            hosts.add(host);
        }
        Rig.Board board = rig.new Board();
        rig.startGateway(board, hosts, Rig.settings("treino-parana"));
        Thread.sleep(6_000); // no host counts as cold any more
        List<Asked> asked = new CopyOnWriteArrayList<>();
        List<String> lost = new CopyOnWriteArrayList<>();
        Thread usual = new Thread(() -> ask(rig, asked, lost));
        usual.setDaemon(true);
        usual.start();
        Thread.sleep(2_000);
        if (Rig.TROUBLE) {
            rig.note(BAD_CLIENTS + " bad clients begin: " + SET_UPS_EACH + " set-ups each");
            hosts.forEach(host -> host.quiet = true);
            List<Thread> bad = new ArrayList<>();
            for (int i = 0; i < BAD_CLIENTS; i++) {
                bad.add(new Thread(() -> takeBack(rig)));
                bad.get(i).setDaemon(true);
                bad.get(i).start();
                Thread.sleep(i % GROUP == GROUP - 1 ? GROUP_MS : 0);
            }
            for (Thread thread : bad) {
                thread.join(6_000); // it may be stuck where the gateway reads no more
            }
            hosts.forEach(host -> host.quiet = false);
        }
        usual.join(20_000);
        Thread.sleep(WAIT_MS + LATEST_MS + 500);
        boolean tested = false;
        boolean answered = false;
        try (Rig.Viewer last = rig.new Viewer()) {
            tested = last.test(2_000);
            answered = last.answer(last.setUp("aula-certificada", 0, 4, WAIT_MS), WAIT_MS + LATEST_MS) != null;
        } catch (java.io.IOException e) {
            rig.note("viewer: " + e);
        }
        rig.note("at the end: a test is " + (tested ? "" : "not ") + "passed, a set-up is " + (answered ? "" : "not ")
                + "answered");
        if (rig.gateway.isAlive()) {
            rig.note("thread dump: the thread that decides is " + (rig.hasDecidingThread() ? "there" : "gone"));
        }
        rig.note("the gateway is " + (rig.gateway.isAlive() ? "alive" : "dead") + "; usual clients sent " + asked.size()
                + " set-ups, of which lost " + lost.size());
        lost.forEach(rig::note);
        if (!rig.gateway.isAlive()) {
            return "the gateway has crashed";
        }
        return lost.isEmpty() ? null : lost.size() + " of " + asked.size() + " set-ups of usual clients lost";
    }

    /** Usual clients: 20 set-ups a second for 14 s, on one connection while it is open. */
    private static void ask(Rig rig, List<Asked> asked, List<String> lost) {
        Rig.Viewer viewer = null;
        boolean first = true;
        for (int i = 0; i < 280; i++) {
            try {
                if (viewer == null || viewer.hasEnded()) {
                    viewer = rig.new Viewer();
                    first = true;
                }
                double at = Rig.now();
                Asked one = new Asked(viewer.setUp("aula-certificada", 0, 4, WAIT_MS), viewer, at, first);
                first = false;
                asked.add(one);
                Rig.start("wait", () -> judge(rig, one, lost));
            } catch (Exception e) {
                rig.note("viewer: a set-up could not be sent: " + e);
                viewer = null;
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void judge(Rig rig, Asked one, List<String> lost) throws Exception {
        Rig.Message answer = one.viewer.answer(one.id, WAIT_MS + LATEST_MS);
        if (answer != null && answer.status() == 200) {
            one.viewer.end(one.id);
        } else if (answer == null && one.viewer.hasEnded()) {
            // A set-up that crosses a close within 50 ms is sent again, and the first one on a connection is excused.
            if (!one.first && one.viewer.endedAt() - one.at > 50) {
                lost.add("LOST " + one.id + ": its connection was closed without an answer, "
                        + (long) (one.viewer.endedAt() - one.at) + " ms after it was sent");
            }
        } else if (answer == null) {
            lost.add("LOST " + one.id + ": no answer " + (WAIT_MS + LATEST_MS) + " ms after it was sent");
        }
    }

    private static void takeBack(Rig rig) {
        String filler = "a=x\r\n".repeat(DESCRIPTION_BYTES / 5);
        int sent = 0;
        try (Rig.Line line = new Rig.Line(new Socket(Rig.LOOPBACK, rig.port))) {
            Rig.start("bad client reads", () -> {
                byte[] bytes = new byte[8192];
                while (line.in.read(bytes) >= 0) {
                    continue;
                }
            });
            for (; sent < SET_UPS_EACH; sent++) {
                String id = rig.newId();
                line.send(Rig.setUpMessage(Rig.TITLE, id, "aula-certificada", 0, 4, WAIT_MS, filler));
                line.send(Rig.tearDown(id));
            }
            rig.note("bad client: took back " + sent + " set-ups");
            Thread.sleep(3_000);
        } catch (Exception e) {
            rig.note("bad client: after " + sent + " set-ups: " + e);
        }
    }
}
