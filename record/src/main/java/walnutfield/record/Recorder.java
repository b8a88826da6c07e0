package walnutfield.record;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import walnutfield.desk.Call;
import walnutfield.desk.Listener;
import walnutfield.desk.Result;
import walnutfield.record.wire.Dropped;
import walnutfield.record.wire.End;
import walnutfield.record.wire.Frame;
import walnutfield.record.wire.Snapshot;

/**
 * Writes what passes a desk to a file, on a thread of its own. The desk is never held up: what the file cannot take
 * is dropped in whole stretches, and the file says so. Guards against a slow or full disk; it harms where just the
 * stretch that is wanted was dropped.
 */
public final class Recorder implements Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final int WAITING = 20_000; // calls that may wait for the disk
    private static final long FLUSH_MS = 200;

    /** What is written next: a call with its results, or what comes after a gap. */
    private record Item(double time, Call call, List<Result> results, Dropped gap, Snapshot then) {}

    private final ArrayBlockingQueue<Item> queue;
    private final int waiting;
    private final Runnable before;
    private final Tracker tracker = new Tracker();
    private final FrameWriter out;
    private final long mostBytes;
    private final double mostMs;
    private final Thread thread;
    private Call call; // the present one, and what it has led to so far
    private double time;
    private double begunAt = Double.NaN;
    private List<Result> results;
    private long calls;
    private long dropped;
    private double droppedFrom = Double.NaN;
    private long droppedNow;
    private volatile boolean full;
    private volatile boolean closing;

    /**
     * @param mostBytes nothing more is written to a file of this size
     * @param mostMs    nor so long after its first call
     */
    public Recorder(Path file, Making making, long mostBytes, double mostMs) throws IOException {
        this(file, making, mostBytes, mostMs, WAITING, () -> {});
    }

    /**
     * @param waiting calls that may wait for the disk
     * @param before  runs on the writing thread before it writes anything
     */
    Recorder(Path file, Making making, long mostBytes, double mostMs, int waiting, Runnable before) throws IOException {
        this.before = before;
        this.waiting = waiting;
        queue = new ArrayBlockingQueue<>(waiting);
        this.mostBytes = mostBytes;
        this.mostMs = mostMs;
        out = new FrameWriter(file);
        out.write(Frame.newBuilder().setHead(making.head()).build());
        out.flush();
        thread = new Thread(this::write, "record-" + making.gateway());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void called(double now, Call next) {
        finish();
        call = next;
        time = now;
        begunAt = Double.isNaN(begunAt) ? now : begunAt;
        results = new ArrayList<>(4);
    }

    @Override
    public void resulted(double now, Result result) {
        results.add(result);
    }

    /** The present call is complete. */
    private void finish() {
        if (call == null) {
            return;
        }
        Call whole = call;
        call = null;
        tracker.called(whole);
        results.forEach(tracker::resulted);
        if (full || time - begunAt > mostMs) {
            drop();
            return;
        }
        if (droppedNow > 0) { // there may be room again: the snapshot stands for this call too
            drop();
            Item gap = new Item(time, null, null, gap("the disk was too slow"), tracker.snapshot(time));
            if (queue.remainingCapacity() > waiting / 2 && queue.offer(gap)) {
                droppedNow = 0;
            }
            return;
        }
        if (queue.offer(new Item(time, whole, results, null, null))) {
            calls++;
        } else {
            drop();
        }
    }

    private void drop() {
        droppedFrom = droppedNow == 0 ? time : droppedFrom;
        droppedNow++;
        dropped++;
    }

    private Dropped gap(String why) {
        return Dropped.newBuilder()
                .setFromMs(droppedFrom)
                .setToMs(time)
                .setCalls(droppedNow)
                .setWhy(why)
                .build();
    }

    private void write() {
        try {
            before.run();
            while (!closing || !queue.isEmpty()) {
                Item i = queue.poll(FLUSH_MS, TimeUnit.MILLISECONDS);
                if (i == null) {
                    out.flush();
                } else if (i.gap() != null) {
                    out.write(Frame.newBuilder().setDropped(i.gap()).build());
                    out.write(Frame.newBuilder().setSnapshot(i.then()).build());
                } else {
                    out.write(Frame.newBuilder()
                            .setEntry(Codec.entry(i.time(), i.call(), i.results()))
                            .build());
                }
                full |= out.bytes() > mostBytes;
            }
        } catch (IOException e) {
            full = true;
            queue.clear();
            LOG.atError().addKeyValue("reason", e.toString()).log("record not written");
        } catch (InterruptedException e) {
            full = true;
        }
    }

    /** Writes what waits and ends the file; the desk must have had its last call. */
    @Override
    public void close() throws IOException {
        finish();
        closing = true;
        try {
            thread.join(10_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (droppedNow > 0) {
            out.write(Frame.newBuilder()
                    .setDropped(gap(full ? "the file was full" : "its time was over"))
                    .build());
        }
        out.write(Frame.newBuilder()
                .setEnd(End.newBuilder().setCalls(calls).setDropped(dropped))
                .build());
        out.close();
    }

    /** Calls that were not kept so far. */
    public long dropped() {
        return dropped;
    }
}
