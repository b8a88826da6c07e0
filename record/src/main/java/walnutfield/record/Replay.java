package walnutfield.record;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import walnutfield.desk.Call;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.desk.Result;
import walnutfield.play.DecisionTracer;
import walnutfield.play.GatewayActions;
import walnutfield.play.HostId;
import walnutfield.play.PlayId;
import walnutfield.record.wire.Entry;
import walnutfield.record.wire.Frame;

/**
 * Replays a record's calls through a new desk and compares the desk's results with the recorded ones byte for byte.
 */
public final class Replay {
    /** Receives each call after it has been replayed. */
    public interface CallListener {
        /**
         * @param timeMs  when the call was recorded
         * @param results what the call led to in this replay
         * @param same    whether these are the recorded results
         */
        void replayed(double timeMs, Call call, List<Result> results, boolean same);
    }

    /**
     * The outcome of a replay.
     *
     * @param setup              the settings that the desk was given; null if the record has no readable header
     * @param compared           calls whose results were compared
     * @param different          number of compared calls whose results differ
     * @param differencesByKind  number of differing results by kind: recorded but not produced now (prefixed with a
     *                           minus), or produced now but not recorded
     * @param firstDifference    the first difference as text; empty if there is none
     * @param projected          calls after a gap: the desk was then restored from a snapshot, which is incomplete, so
     *                           differences in these calls prove nothing
     * @param projectedDifferent number of projected calls whose results differ
     * @param droppedCalls       calls that are missing from the record
     * @param ended              whether the record has its end frame
     * @param damage             where and why the record could not be read any further; empty if it was read whole
     * @param spanMs             time from the first call to the last one
     */
    public record Report(
            DeskSetup setup,
            long compared,
            long different,
            Map<String, Long> differencesByKind,
            String firstDifference,
            long projected,
            long projectedDifferent,
            long droppedCalls,
            boolean ended,
            String damage,
            double spanMs) {}

    private final UnaryOperator<DeskSetup> setupOverride;
    private final DecisionTracer tracer;
    private final CallListener listener;
    private final List<Result> results = new ArrayList<>(); // of the present call, as decided now
    private final Map<String, Long> differencesByKind = new TreeMap<>();
    private DeskSetup setup;
    private Desk desk;
    private boolean afterGap; // the desk was restored from a snapshot
    private long compared;
    private long different;
    private long projected;
    private long projectedDifferent;
    private long droppedCalls;
    private boolean ended;
    private String firstDifference = "";
    private double firstCallMs = Double.NaN;
    private double lastCallMs;

    private Replay(UnaryOperator<DeskSetup> setupOverride, DecisionTracer tracer, CallListener listener) {
        this.setupOverride = setupOverride;
        this.tracer = tracer;
        this.listener = listener;
    }

    /**
     * @param setupOverride gives the settings of the desk from the recorded ones; the identity for these themselves
     * @param tracer        null for none
     * @param listener      null for none
     * @throws IOException if the file cannot be read at all; {@link CorruptRecordException} if it is not a record.
     *                     Damage further on ends the replay and is given in the report
     */
    public static Report run(
            Path file, UnaryOperator<DeskSetup> setupOverride, DecisionTracer tracer, CallListener listener)
            throws IOException {
        return new Replay(setupOverride, tracer, listener).read(file);
    }

    /** Replays a record under its own settings. */
    public static Report run(Path file) throws IOException {
        return run(file, UnaryOperator.identity(), null, null);
    }

    private Report read(Path file) throws IOException {
        String damage = "";
        try (FrameReader in = new FrameReader(file)) {
            try {
                for (Frame frame = in.next(); frame != null; frame = in.next()) {
                    processFrame(frame, in.offset());
                }
            } catch (CorruptRecordException e) {
                damage = e.getMessage();
            }
        }
        if (setup == null && damage.isEmpty()) {
            damage = "offset 8: the record has no header frame";
        }
        return new Report(
                setup,
                compared,
                different,
                differencesByKind,
                firstDifference,
                projected,
                projectedDifferent,
                droppedCalls,
                ended,
                damage,
                Double.isNaN(firstCallMs) ? 0 : lastCallMs - firstCallMs);
    }

    private void processFrame(Frame frame, long nextOffset) throws CorruptRecordException {
        if (setup == null && frame.getWhatCase() != Frame.WhatCase.HEAD) {
            throw new CorruptRecordException(FrameWriter.MAGIC.length + 2, "the first frame is not the header");
        }
        switch (frame.getWhatCase()) {
            case HEAD -> {
                setup = setupOverride.apply(new DeskSetup(frame.getHead()));
                createDesk();
            }
            case ENTRY -> compareEntry(frame.getEntry(), nextOffset);
            case DROPPED -> droppedCalls += frame.getDropped().getCalls();
            case SNAPSHOT -> {
                afterGap = true;
                createDesk();
                double snapshotMs = frame.getSnapshot().getTimeMs();
                desk.handle(
                        snapshotMs,
                        new Call.PersistedHostListLoaded(
                                Codec.decodeHostList(frame.getSnapshot().getHosts())));
                frame.getSnapshot().getPlaysList().forEach(play -> {
                    desk.handle(
                            snapshotMs,
                            new Call.PlayInProgress(
                                    Codec.decodePlayRequest(play.getWish()), new HostId(play.getHost())));
                    desk.handle(
                            snapshotMs,
                            new Call.RungReported(new PlayId(play.getWish().getPlay()), play.getRung()));
                });
            }
            case END -> ended = true;
            case WHAT_NOT_SET -> throw new CorruptRecordException(nextOffset, "unknown kind of frame");
        }
    }

    private void createDesk() {
        desk = setup.createDesk(GatewayActions.NONE, new Listener() {
            @Override
            public void onCall(double now, Call call) {}

            @Override
            public void onResult(double now, Result result) {
                results.add(result);
            }
        });
        desk.traceTo(tracer);
    }

    private void compareEntry(Entry entry, long nextOffset) throws CorruptRecordException {
        Call call;
        try {
            call = Codec.decodeCall(entry.getCall());
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException unknown) {
            throw new CorruptRecordException(
                    nextOffset, "unknown kind of call, or a value that its enum does not have");
        }
        results.clear();
        desk.handle(entry.getTimeMs(), call);
        firstCallMs = Double.isNaN(firstCallMs) ? entry.getTimeMs() : firstCallMs;
        lastCallMs = entry.getTimeMs();
        boolean same = entry.toByteString()
                .equals(Codec.encodeEntry(entry.getTimeMs(), call, results).toByteString());
        if (afterGap) {
            projected++;
            projectedDifferent += same ? 0 : 1;
        } else {
            compared++;
            if (!same) {
                different++;
                recordDifference(entry, call);
            }
        }
        if (listener != null) {
            listener.replayed(entry.getTimeMs(), call, List.copyOf(results), same);
        }
    }

    private void recordDifference(Entry entry, Call call) {
        List<walnutfield.record.wire.Result> now =
                results.stream().map(Codec::encodeResult).toList();
        for (walnutfield.record.wire.Result result : entry.getResultsList()) {
            if (!now.contains(result)) {
                differencesByKind.merge("-" + result.getWhatCase().name().toLowerCase(), 1L, Long::sum);
            }
        }
        for (walnutfield.record.wire.Result result : now) {
            if (!entry.getResultsList().contains(result)) {
                differencesByKind.merge(result.getWhatCase().name().toLowerCase(), 1L, Long::sum);
            }
        }
        if (firstDifference.isEmpty()) {
            firstDifference = "call " + compared + " at " + entry.getTimeMs() + " ms: " + PrintedText.of(call)
                    + "\n  recorded: " + describe(entry.getResultsList()) + "\n  now:      " + describe(now);
        }
    }

    private static String describe(List<walnutfield.record.wire.Result> results) {
        return results.isEmpty()
                ? "nothing"
                : String.join(
                        "; ",
                        results.stream()
                                .map(result -> result.toString().strip().replaceAll("\\s+", " "))
                                .toList());
    }
}
