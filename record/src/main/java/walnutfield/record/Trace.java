package walnutfield.record;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.DecisionTracer;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;

/** Tells why plays went where they went, in the module's own words: a replay with a witness. */
public final class Trace implements DecisionTracer, Replay.Ear {
    /**
     * What is wanted.
     *
     * @param play  null for any
     * @param host  null for any
     * @param fromMs relative to the record's first call
     */
    public record Wish(Long play, String host, double fromMs, double toMs) {}

    private record Line(Long play, String host, String text) {}

    private final Wish wish;
    private final Consumer<String> to;
    private final List<Line> lines = new ArrayList<>(); // of the present call
    private double begin = Double.NaN;
    private long printed;

    private Trace(Wish wish, Consumer<String> to) {
        this.wish = wish;
        this.to = to;
    }

    /** Prints a line for each call that matters, each holder weighed, each stage passed and each result. */
    public static Replay.Report run(Path file, Wish wish, Consumer<String> to) throws IOException {
        Trace t = new Trace(wish, to);
        Replay.Report r = Replay.run(file, UnaryOperator.identity(), t, t);
        if (t.printed == 0) {
            to.accept("nothing in the record matches");
        }
        return r;
    }

    @Override
    public void candidateScored(
            PlayId play, HostId host, String not, double score, double link, double uplink, double known) {
        String text = not != null
                ? "passed over: " + not
                : String.format(Locale.ROOT, "score %.3f, link %.2f, uplink %.2f", score, link, uplink);
        lines.add(new Line(
                play.value(),
                host.value(),
                String.format(Locale.ROOT, "    holder %s: %s; figure's weight %.2f", host.value(), text, known)));
    }

    @Override
    public void stagePassed(PlayId play, String stage, String verdict) {
        lines.add(new Line(
                play.value(),
                null,
                "    stage " + stage + " for play " + play.value() + ": " + verdict.toLowerCase(Locale.ROOT)));
    }

    @Override
    public void passed(double time, Call call, List<Result> now, boolean alike) {
        begin = Double.isNaN(begin) ? time : begin;
        double at = time - begin;
        for (Result r : now) {
            lines.add(new Line(playOf(r), hostOf(r), "  -> " + words(r)));
        }
        if (at >= wish.fromMs() && at <= wish.toMs()) {
            boolean whole = matches(playOf(call), hostOf(call)) && !(call instanceof Call.TimerFired);
            List<Line> wanted = lines.stream()
                    .filter(l -> whole && wish.host() == null && l.play() == null || matches(l.play(), l.host()))
                    .toList();
            if (whole || !wanted.isEmpty()) {
                printed++;
                to.accept(String.format(
                        Locale.ROOT, "%12.3f ms  %s%s", at, words(call), alike ? "" : "  (not as recorded)"));
                wanted.forEach(l -> to.accept(l.text()));
            }
        }
        lines.clear();
    }

    private boolean matches(Long play, String host) {
        if (wish.play() == null && wish.host() == null) {
            return true;
        }
        boolean byPlay = wish.play() == null || wish.play().equals(play);
        boolean byHost = wish.host() == null || wish.host().equals(host);
        return byPlay && byHost;
    }

    private static String words(Object fact) {
        String s = PrintedText.of(fact);
        return s.length() <= 200 ? s : s.substring(0, 200) + "...";
    }

    private static Long playOf(Call c) {
        return c instanceof Call.PlayRequested w
                ? (Long) w.request().play().value()
                : c instanceof Call.PlayInProgress u
                        ? (Long) u.request().play().value()
                        : c instanceof Call.LegStarted s
                                ? (Long) s.play().value()
                                : c instanceof Call.LegEnded e
                                        ? (Long) e.play().value()
                                        : c instanceof Call.ViewingStarted v
                                                ? (Long) v.viewing().value()
                                                : c instanceof Call.PlayInterrupted b
                                                        ? (Long) b.play().value()
                                                        : c instanceof Call.InsertDue i
                                                                ? (Long) i.viewing()
                                                                        .value()
                                                                : c instanceof Call.ViewerLeft g
                                                                        ? (Long) g.play()
                                                                                .value()
                                                                        : c instanceof Call.RungReported r
                                                                                ? (Long) r.play()
                                                                                        .value()
                                                                                : null;
    }

    private static String hostOf(Call c) {
        return c instanceof Call.LegStarted s
                ? s.host().value()
                : c instanceof Call.LegEnded e
                        ? e.host().value()
                        : c instanceof Call.DeliveredShareReported s
                                ? s.host().value()
                                : c instanceof Call.LoadReported l
                                        ? l.host().value()
                                        : c instanceof Call.ProbeCompleted p
                                                ? p.host().value()
                                                : c instanceof Call.PlayInProgress u
                                                        ? u.host().value()
                                                        : null;
    }

    private static Long playOf(Result r) {
        return r instanceof Result.SetUpLeg s
                ? (Long) s.play().value()
                : r instanceof Result.SetRung s
                        ? (Long) s.play().value()
                        : r instanceof Result.MovePlay m
                                ? (Long) m.play().value()
                                : r instanceof Result.InsertsPlanned p
                                        ? (Long) p.viewing().value()
                                        : r instanceof Result.RequestInsert a
                                                ? (Long) a.viewing().value()
                                                : r instanceof Result.InsertReported x
                                                        ? (Long) x.viewing().value()
                                                        : r instanceof Result.PlayRecovery x
                                                                ? (Long)
                                                                        x.play().value()
                                                                : r instanceof Result.ShedPlay s
                                                                        ? (Long) s.play()
                                                                                .value()
                                                                        : r instanceof Result.FailPlay e
                                                                                ? (Long) e.play()
                                                                                        .value()
                                                                                : null;
    }

    private static String hostOf(Result r) {
        return r instanceof Result.SetUpLeg s
                ? s.host().value()
                : r instanceof Result.ProbeHost p ? p.host().value() : null;
    }
}
