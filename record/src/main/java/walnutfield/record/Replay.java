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

/** Puts a record's calls through a fresh desk and compares what comes out, byte for byte. */
public final class Replay {
    /** Sees each call as it is put through, with what was recorded and what came out now. */
    public interface Ear {
        void passed(double time, Call call, List<Result> now, boolean alike);
    }

    /**
     * What a replay came to.
     *
     * @param compared  calls whose results were compared
     * @param different of these, with other results
     * @param kinds     of results that were recorded and did not come, with a minus, or came and were not recorded
     * @param first     the first difference in words; empty for none
     * @param projected calls after a gap: the desk then began from a snapshot, and differences there prove nothing
     * @param unlike    of these, with other results
     * @param dropped   calls that the record does not have
     * @param ended     whether the record has its end
     * @param damaged   where and why it could not be read on; empty for nowhere
     * @param spanMs    of the calls
     */
    public record Report(
            Making making,
            long compared,
            long different,
            Map<String, Long> kinds,
            String first,
            long projected,
            long unlike,
            long dropped,
            boolean ended,
            String damaged,
            double spanMs) {}

    private final UnaryOperator<Making> settings;
    private final DecisionTracer witness;
    private final Ear ear;
    private final List<Result> came = new ArrayList<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private Making making;
    private Desk desk;
    private boolean projecting;
    private long compared;
    private long different;
    private long projected;
    private long unlike;
    private long dropped;
    private boolean ended;
    private String first = "";
    private double from = Double.NaN;
    private double to;

    private Replay(UnaryOperator<Making> settings, DecisionTracer witness, Ear ear) {
        this.settings = settings;
        this.witness = witness;
        this.ear = ear;
    }

    /**
     * @param settings puts others in place of the record's; the identity for none
     * @param witness  null for none
     * @param ear      null for none
     * @throws IOException where the file cannot be read at all, {@link Damaged} where it is no record
     */
    public static Report run(Path file, UnaryOperator<Making> settings, DecisionTracer witness, Ear ear)
            throws IOException {
        return new Replay(settings, witness, ear).read(file);
    }

    public static Report run(Path file) throws IOException {
        return run(file, UnaryOperator.identity(), null, null);
    }

    private Report read(Path file) throws IOException {
        String damaged = "";
        try (FrameReader in = new FrameReader(file)) {
            try {
                for (Frame f = in.next(); f != null; f = in.next()) {
                    take(f, in.offset());
                }
            } catch (Damaged e) {
                damaged = e.getMessage();
            }
        }
        if (making == null && damaged.isEmpty()) {
            damaged = "offset 8: the record has no head";
        }
        return new Report(
                making,
                compared,
                different,
                kinds,
                first,
                projected,
                unlike,
                dropped,
                ended,
                damaged,
                Double.isNaN(from) ? 0 : to - from);
    }

    private void take(Frame f, long after) throws Damaged {
        if (making == null && f.getWhatCase() != Frame.WhatCase.HEAD) {
            throw new Damaged(FrameWriter.MAGIC.length + 2, "the record does not begin with its head");
        }
        switch (f.getWhatCase()) {
            case HEAD -> {
                making = settings.apply(new Making(f.getHead()));
                fresh();
            }
            case ENTRY -> entry(f.getEntry(), after);
            case DROPPED -> dropped += f.getDropped().getCalls();
            case SNAPSHOT -> {
                projecting = true;
                fresh();
                double t = f.getSnapshot().getTimeMs();
                desk.handle(
                        t,
                        new Call.PersistedHostListLoaded(
                                Codec.lines(f.getSnapshot().getHosts())));
                f.getSnapshot().getPlaysList().forEach(p -> {
                    desk.handle(t, new Call.PlayInProgress(Codec.wish(p.getWish()), new HostId(p.getHost())));
                    desk.handle(t, new Call.RungReported(new PlayId(p.getWish().getPlay()), p.getRung()));
                });
            }
            case END -> ended = true;
            case WHAT_NOT_SET -> throw new Damaged(after, "a frame of a kind that is not known");
        }
    }

    private void fresh() {
        desk = making.desk(GatewayActions.NONE, new Listener() {
            @Override
            public void called(double now, Call call) {}

            @Override
            public void resulted(double now, Result result) {
                came.add(result);
            }
        });
        desk.watch(witness);
    }

    private void entry(Entry e, long after) throws Damaged {
        Call call;
        try {
            call = Codec.call(e.getCall());
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException bad) {
            throw new Damaged(after, "a call that is not known");
        }
        came.clear();
        desk.handle(e.getTimeMs(), call);
        from = Double.isNaN(from) ? e.getTimeMs() : from;
        to = e.getTimeMs();
        boolean alike =
                e.toByteString().equals(Codec.entry(e.getTimeMs(), call, came).toByteString());
        if (projecting) {
            projected++;
            unlike += alike ? 0 : 1;
        } else {
            compared++;
            if (!alike) {
                different++;
                differ(e, call);
            }
        }
        if (ear != null) {
            ear.passed(e.getTimeMs(), call, List.copyOf(came), alike);
        }
    }

    private void differ(Entry e, Call call) {
        List<walnutfield.record.wire.Result> now =
                came.stream().map(Codec::result).toList();
        for (walnutfield.record.wire.Result r : e.getResultsList()) {
            if (!now.contains(r)) {
                kinds.merge("-" + r.getWhatCase().name().toLowerCase(), 1L, Long::sum);
            }
        }
        for (walnutfield.record.wire.Result r : now) {
            if (!e.getResultsList().contains(r)) {
                kinds.merge(r.getWhatCase().name().toLowerCase(), 1L, Long::sum);
            }
        }
        if (first.isEmpty()) {
            first = "call " + compared + " at " + e.getTimeMs() + " ms: " + call + "\n  recorded: "
                    + words(e.getResultsList()) + "\n  now:      " + words(now);
        }
    }

    private static String words(List<walnutfield.record.wire.Result> all) {
        return all.isEmpty()
                ? "nothing"
                : String.join(
                        "; ",
                        all.stream()
                                .map(r -> r.toString().strip().replaceAll("\\s+", " "))
                                .toList());
    }
}
