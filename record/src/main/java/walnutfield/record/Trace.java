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

/** Prints why plays were placed where they were: a replay in which the Director reports its decisions to a tracer. */
public final class Trace implements DecisionTracer, Replay.CallListener {
    /**
     * Selects the calls that are printed.
     *
     * @param play   null for any
     * @param host   null for any
     * @param fromMs relative to the record's first call
     * @param toMs   relative to the record's first call, inclusive
     */
    public record Filter(Long play, String host, double fromMs, double toMs) {}

    private record TraceLine(Long play, String host, String text) {}

    private final Filter filter;
    private final Consumer<String> output;
    private final List<TraceLine> lines = new ArrayList<>(); // of the current call
    private double firstCallMs = Double.NaN;
    private long printedCalls;

    private Trace(Filter filter, Consumer<String> output) {
        this.filter = filter;
        this.output = output;
    }

    /**
     * Prints a line for each matching call, and under it one for each host scored, each stage passed and each result.
     */
    public static Replay.Report run(Path file, Filter filter, Consumer<String> output) throws IOException {
        Trace trace = new Trace(filter, output);
        Replay.Report report = Replay.run(file, UnaryOperator.identity(), trace, trace);
        if (trace.printedCalls == 0) {
            output.accept("nothing in the record matches");
        }
        return report;
    }

    @Override
    public void candidateScored(
            PlayId play,
            HostId host,
            String rejection,
            double score,
            double linkUse,
            double uplinkUse,
            double reportWeight) {
        String text = rejection != null
                ? "passed over: " + rejection
                : String.format(Locale.ROOT, "score %.3f, link %.2f, uplink %.2f", score, linkUse, uplinkUse);
        lines.add(new TraceLine(
                play.value(),
                host.value(),
                String.format(
                        Locale.ROOT, "    holder %s: %s; figure's weight %.2f", host.value(), text, reportWeight)));
    }

    @Override
    public void stagePassed(PlayId play, String stage, String verdict) {
        lines.add(new TraceLine(
                play.value(),
                null,
                "    stage " + stage + " for play " + play.value() + ": " + verdict.toLowerCase(Locale.ROOT)));
    }

    @Override
    public void replayed(double timeMs, Call call, List<Result> results, boolean same) {
        firstCallMs = Double.isNaN(firstCallMs) ? timeMs : firstCallMs;
        double offsetMs = timeMs - firstCallMs;
        for (Result result : results) {
            lines.add(new TraceLine(playOf(result), hostOf(result), "  -> " + describe(result)));
        }
        if (offsetMs >= filter.fromMs() && offsetMs <= filter.toMs()) {
            boolean callMatches = matches(playOf(call), hostOf(call)) && !(call instanceof Call.TimerFired);
            List<TraceLine> matching = lines.stream()
                    .filter(l ->
                            callMatches && filter.host() == null && l.play() == null || matches(l.play(), l.host()))
                    .toList();
            if (callMatches || !matching.isEmpty()) {
                printedCalls++;
                output.accept(String.format(
                        Locale.ROOT, "%12.3f ms  %s%s", offsetMs, describe(call), same ? "" : "  (not as recorded)"));
                matching.forEach(l -> output.accept(l.text()));
            }
        }
        lines.clear();
    }

    private boolean matches(Long play, String host) {
        if (filter.play() == null && filter.host() == null) {
            return true;
        }
        boolean byPlay = filter.play() == null || filter.play().equals(play);
        boolean byHost = filter.host() == null || filter.host().equals(host);
        return byPlay && byHost;
    }

    private static String describe(Object callOrResult) {
        String text = PrintedText.of(callOrResult);
        return text.length() <= 200 ? text : text.substring(0, 200) + "...";
    }

    /** The play that a call is about, or null. */
    private static Long playOf(Call call) {
        return call instanceof Call.PlayRequested requested
                ? (Long) requested.request().play().value()
                : call instanceof Call.PlayInProgress inProgress
                        ? (Long) inProgress.request().play().value()
                        : call instanceof Call.LegStarted started
                                ? (Long) started.play().value()
                                : call instanceof Call.LegEnded ended
                                        ? (Long) ended.play().value()
                                        : call instanceof Call.ViewingStarted viewing
                                                ? (Long) viewing.viewing().value()
                                                : call instanceof Call.PlayInterrupted interrupted
                                                        ? (Long) interrupted
                                                                .play()
                                                                .value()
                                                        : call instanceof Call.InsertDue due
                                                                ? (Long) due.viewing()
                                                                        .value()
                                                                : call instanceof Call.ViewerLeft left
                                                                        ? (Long) left.play()
                                                                                .value()
                                                                        : call instanceof Call.RungReported rung
                                                                                ? (Long) rung.play()
                                                                                        .value()
                                                                                : null;
    }

    /** The host that a call is about, or null. */
    private static String hostOf(Call call) {
        return call instanceof Call.LegStarted started
                ? started.host().value()
                : call instanceof Call.LegEnded ended
                        ? ended.host().value()
                        : call instanceof Call.DeliveredShareReported share
                                ? share.host().value()
                                : call instanceof Call.LoadReported load
                                        ? load.host().value()
                                        : call instanceof Call.ProbeCompleted probe
                                                ? probe.host().value()
                                                : call instanceof Call.PlayInProgress inProgress
                                                        ? inProgress.host().value()
                                                        : null;
    }

    /** The play that a result is about, or null. */
    private static Long playOf(Result result) {
        return result instanceof Result.SetUpLeg setUp
                ? (Long) setUp.play().value()
                : result instanceof Result.SetRung setRung
                        ? (Long) setRung.play().value()
                        : result instanceof Result.MovePlay move
                                ? (Long) move.play().value()
                                : result instanceof Result.InsertsPlanned planned
                                        ? (Long) planned.viewing().value()
                                        : result instanceof Result.RequestInsert request
                                                ? (Long) request.viewing().value()
                                                : result instanceof Result.InsertReported reported
                                                        ? (Long) reported.viewing()
                                                                .value()
                                                        : result instanceof Result.PlayRecovery recovery
                                                                ? (Long) recovery.play()
                                                                        .value()
                                                                : result instanceof Result.ShedPlay shed
                                                                        ? (Long) shed.play()
                                                                                .value()
                                                                        : result instanceof Result.FailPlay fail
                                                                                ? (Long) fail.play()
                                                                                        .value()
                                                                                : null;
    }

    /** The host that a result is about, or null. */
    private static String hostOf(Result result) {
        return result instanceof Result.SetUpLeg setUp
                ? setUp.host().value()
                : result instanceof Result.ProbeHost probe ? probe.host().value() : null;
    }
}
