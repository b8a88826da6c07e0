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
 * Writes a desk's calls and results to a file on a thread of its own. The desk never waits for the disk: if the queue
 * to the writing thread is full, calls are dropped until more than half of it is free again; the record then states
 * the gap and goes on from a snapshot. This protects the gateway against a slow or full disk, at the cost that the
 * dropped stretch may be the one that is needed later.
 */
public final class Recorder implements Listener, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final int MAX_QUEUED_CALLS = 20_000; // calls that may wait to be written
    private static final long FLUSH_INTERVAL_MS = 200; // an idle writer flushes the file after this time

    /** What is written next: either a call with its results, or a gap with the snapshot that follows it. */
    private record QueuedItem(double timeMs, Call call, List<Result> results, Dropped gap, Snapshot snapshot) {}

    private final ArrayBlockingQueue<QueuedItem> queue;
    private final int queueCapacity;
    private final Runnable beforeWriting;
    private final DeskStateTracker tracker = new DeskStateTracker();
    private final FrameWriter out;
    private final long maxBytes;
    private final double maxDurationMs;
    private final Thread thread;
    private Call currentCall; // null before the first call
    private double currentCallMs;
    private double firstCallMs = Double.NaN;
    private List<Result> currentResults; // what the current call has led to so far
    private long keptCalls;
    private long droppedCalls;
    private double gapStartMs = Double.NaN;
    private long callsInGap; // 0 if there is no open gap
    private volatile boolean full; // further calls are dropped: size reached, write error or interrupted
    private volatile boolean closing;

    /**
     * @param maxBytes      once the file has this size, further calls are dropped
     * @param maxDurationMs time after the first call from which on calls are dropped
     */
    public Recorder(Path file, DeskSetup setup, long maxBytes, double maxDurationMs) throws IOException {
        this(file, setup, maxBytes, maxDurationMs, MAX_QUEUED_CALLS, () -> {});
    }

    /**
     * @param queueCapacity calls that may wait to be written
     * @param beforeWriting runs on the writing thread before it writes anything
     */
    Recorder(Path file, DeskSetup setup, long maxBytes, double maxDurationMs, int queueCapacity, Runnable beforeWriting)
            throws IOException {
        this.beforeWriting = beforeWriting;
        this.queueCapacity = queueCapacity;
        queue = new ArrayBlockingQueue<>(queueCapacity);
        this.maxBytes = maxBytes;
        this.maxDurationMs = maxDurationMs;
        out = new FrameWriter(file);
        out.write(Frame.newBuilder().setHead(setup.header()).build());
        out.flush();
        thread = new Thread(this::writeQueue, "record-" + setup.gateway());
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void onCall(double now, Call call) {
        queueCurrentCall();
        currentCall = call;
        currentCallMs = now;
        firstCallMs = Double.isNaN(firstCallMs) ? now : firstCallMs;
        currentResults = new ArrayList<>(4);
    }

    @Override
    public void onResult(double now, Result result) {
        currentResults.add(result);
    }

    /** Queues the current call, which is complete once the next one arrives. */
    private void queueCurrentCall() {
        if (currentCall == null) {
            return;
        }
        Call completed = currentCall;
        currentCall = null;
        tracker.called(completed);
        currentResults.forEach(tracker::resulted);
        if (full || currentCallMs - firstCallMs > maxDurationMs) {
            countDropped();
            return;
        }
        if (callsInGap > 0) { // there may be room again: the snapshot includes this call
            countDropped();
            QueuedItem gap = new QueuedItem(
                    currentCallMs, null, null, gapMessage("the disk was too slow"), tracker.snapshot(currentCallMs));
            if (queue.remainingCapacity() > queueCapacity / 2 && queue.offer(gap)) {
                callsInGap = 0;
            }
            return;
        }
        if (queue.offer(new QueuedItem(currentCallMs, completed, currentResults, null, null))) {
            keptCalls++;
        } else {
            countDropped();
        }
    }

    private void countDropped() {
        gapStartMs = callsInGap == 0 ? currentCallMs : gapStartMs;
        callsInGap++;
        droppedCalls++;
    }

    private Dropped gapMessage(String reason) {
        return Dropped.newBuilder()
                .setFromMs(gapStartMs)
                .setToMs(currentCallMs)
                .setCalls(callsInGap)
                .setWhy(reason)
                .build();
    }

    private void writeQueue() {
        try {
            beforeWriting.run();
            while (!closing || !queue.isEmpty()) {
                QueuedItem item = queue.poll(FLUSH_INTERVAL_MS, TimeUnit.MILLISECONDS);
                if (item == null) {
                    out.flush();
                } else if (item.gap() != null) {
                    out.write(Frame.newBuilder().setDropped(item.gap()).build());
                    out.write(Frame.newBuilder().setSnapshot(item.snapshot()).build());
                } else {
                    out.write(Frame.newBuilder()
                            .setEntry(Codec.encodeEntry(item.timeMs(), item.call(), item.results()))
                            .build());
                }
                full |= out.bytesWritten() > maxBytes;
            }
        } catch (IOException e) {
            full = true;
            queue.clear();
            LOG.atError()
                    .addKeyValue("reason", e.toString())
                    .log("recording stopped: could not write to the record file");
        } catch (InterruptedException e) {
            full = true;
        }
    }

    /** Writes the queued calls and the end frame and closes the file. The desk must not be called any more. */
    @Override
    public void close() throws IOException {
        queueCurrentCall();
        closing = true;
        try {
            thread.join(10_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (callsInGap > 0) {
            out.write(Frame.newBuilder()
                    .setDropped(gapMessage(full ? "the file was full" : "its time was over"))
                    .build());
        }
        out.write(Frame.newBuilder()
                .setEnd(End.newBuilder().setCalls(keptCalls).setDropped(droppedCalls))
                .build());
        out.close();
    }

    /** The number of calls dropped so far. */
    public long droppedCalls() {
        return droppedCalls;
    }
}
