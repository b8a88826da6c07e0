package walnutfield.desk;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import walnutfield.play.PlayId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
import walnutfield.resume.Resume;
import walnutfield.stitch.Insert;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Slot;
import walnutfield.stitch.Stitcher;

/** What one desk decides beside the module: it keeps the slots of the viewings under way. Only the desk makes one. */
public final class Stitching implements Stitcher.Reports {
    private final InsertActions out;
    private final Stitcher stitcher = new Stitcher(this);
    private final Map<PlayId, List<Slot>> viewings = new HashMap<>(); // emptied as viewings end and their slots do
    private final Map<Slot, PlayId> owners = new HashMap<>(); // the same
    private final Set<PlayId> over = new HashSet<>(); // the same
    private PlayId planning;

    Stitching(InsertActions out) {
        this.out = out;
    }

    void schedule(Schedule next) {
        stitcher.schedule(next);
    }

    void began(double now, Call.ViewingStarted v) {
        planning = v.viewing();
        List<Slot> slots =
                stitcher.plan(now, v.viewer(), v.tenant(), v.trafficClass(), v.startDeadline(), v.lengthMs());
        planning = null;
        List<Insert> inserts = new ArrayList<>();
        for (Slot s : slots) {
            owners.put(s, v.viewing());
            inserts.add(s.insert());
        }
        if (!slots.isEmpty()) {
            viewings.put(v.viewing(), slots);
            out.insertsPlanned(v.viewing(), inserts);
        }
    }

    private Slot slot(PlayId viewing, int number) {
        List<Slot> all = viewings.get(viewing);
        return all == null || number < 0 || number >= all.size() ? null : all.get(number);
    }

    void due(double now, PlayId viewing, int number, TrafficClass play) {
        Slot s = slot(viewing, number);
        TrafficClass band = s == null ? null : stitcher.ask(now, s, play);
        if (band != null) {
            out.requestInsert(viewing, number, band);
        }
    }

    void notTaken(double now, PlayId viewing, int number, Stitcher.SkipReason why) {
        Slot s = slot(viewing, number);
        double again = s == null ? Double.NaN : stitcher.notTaken(now, s, why);
        if (!Double.isNaN(again)) {
            out.retryInsert(viewing, number, again);
        }
    }

    void placed(PlayId viewing, int number) {
        Slot s = slot(viewing, number);
        if (s != null) {
            stitcher.placed(s);
        }
    }

    void begun(double now, PlayId viewing, int number, ViewerId viewer) {
        Slot s = slot(viewing, number);
        if (s != null) {
            stitcher.started(now, s, viewer);
        }
    }

    void ended(PlayId viewing, int number, boolean whole) {
        Slot s = slot(viewing, number);
        if (s != null && whole) {
            stitcher.completed(s);
        }
        if (s != null) {
            stitcher.drop(s, Stitcher.SkipReason.VIEWER_LEFT);
        }
    }

    void lost(double now, PlayId viewing, int number, double leftMs) {
        Slot s = slot(viewing, number);
        if (s != null && stitcher.resumes(now, s, leftMs)) {
            out.retryInsert(viewing, number, now);
        }
    }

    void late(PlayId viewing, int number) {
        Slot s = slot(viewing, number);
        if (s != null) {
            stitcher.late(s);
        }
    }

    void programmeEnded(PlayId viewing, double lengthMs) {
        List<Slot> all = viewings.get(viewing);
        if (all != null) {
            List.copyOf(all).forEach(s -> stitcher.programmeEnds(s, lengthMs));
        }
    }

    void over(PlayId viewing, Set<Integer> fetched) {
        List<Slot> all = viewings.get(viewing);
        if (all != null) {
            over.add(viewing);
            List.copyOf(all).forEach(s -> stitcher.over(s, fetched.contains(s.number())));
            forget(viewing);
        }
    }

    void tidy(double now) {
        stitcher.tidy(now);
    }

    void broke(Call.PlayInterrupted b) {
        out.playRecovery(
                b.play(), Resume.comesBack(b.trafficClass(), b.priorRecoveries(), b.sinceMs(), b.unlistedMs()));
    }

    private void forget(PlayId viewing) {
        List<Slot> all = viewings.get(viewing);
        if (all != null && over.contains(viewing) && all.stream().allMatch(Slot::isOver)) {
            all.forEach(owners::remove);
            viewings.remove(viewing);
            over.remove(viewing);
        }
    }

    /** Viewings whose inserts are known. */
    int known() {
        return viewings.size();
    }

    @Override
    public void started(Slot slot) {
        report(slot, "started");
    }

    @Override
    public void completed(Slot slot) {
        report(slot, "completed");
    }

    @Override
    public void dropped(Slot slot, Stitcher.SkipReason why) {
        report(slot, "dropped-" + why.name().toLowerCase(Locale.ROOT).replace('_', '-'));
    }

    private void report(Slot slot, String what) {
        PlayId viewing = owners.get(slot);
        out.insertReported(
                viewing == null ? planning : viewing,
                viewing == null ? -1 : slot.number(),
                slot.insert().id(),
                what);
        if (viewing != null) {
            forget(viewing);
        }
    }
}
