package walnutfield.record;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.PlayId;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.record.wire.InsertDue;
import walnutfield.record.wire.Nothing;
import walnutfield.record.wire.SlotOf;
import walnutfield.stitch.Insert;
import walnutfield.stitch.InsertId;
import walnutfield.stitch.Schedule;
import walnutfield.stitch.Stitcher;

/** The part of the codec for what is decided beside the module. */
final class StitchCodec {
    private StitchCodec() {}

    /** Writes the call; false where it is none of these. */
    static boolean call(Call c, walnutfield.record.wire.Call.Builder b) {
        if (c instanceof Call.ScheduleUpdated s) {
            b.getScheduleTakenBuilder()
                    .addAllInserts(s.schedule().inserts().stream()
                            .map(StitchCodec::insert)
                            .toList());
        } else if (c instanceof Call.ViewingStarted v) {
            walnutfield.record.wire.ViewingBegan.Builder w = b.getViewingBeganBuilder()
                    .setViewing(v.viewing().value())
                    .setViewer(v.viewer().value())
                    .setBand(Codec.band(v.trafficClass()))
                    .setStartBy(v.startDeadline())
                    .setLengthMs(v.lengthMs());
            if (v.tenant() != null) {
                w.setCustomer(v.tenant().value());
            }
        } else if (c instanceof Call.InsertDue i) {
            b.setInsertDue(InsertDue.newBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setBand(Codec.band(i.trafficClass())));
        } else if (c instanceof Call.InsertRejected i) {
            b.getInsertNotTakenBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setWhy(i.reason().ordinal());
        } else if (c instanceof Call.InsertPlaced i) {
            b.setInsertPlaced(slot(i.viewing(), i.slot()));
        } else if (c instanceof Call.InsertStarted i) {
            b.getInsertBegunBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setViewer(i.viewer().value());
        } else if (c instanceof Call.InsertEnded i) {
            b.getInsertEndedBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setWhole(i.whole());
        } else if (c instanceof Call.InsertLost i) {
            b.getInsertLostBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setLeftMs(i.leftMs());
        } else if (c instanceof Call.InsertLate i) {
            b.setInsertLate(slot(i.viewing(), i.slot()));
        } else if (c instanceof Call.ViewingEnded v) {
            b.getViewingOverBuilder().setViewing(v.viewing().value()).addAllFetched(new TreeSet<>(v.fetched()));
        } else if (c instanceof Call.ProgrammeEnded p) {
            b.getProgrammeEndedBuilder().setViewing(p.viewing().value()).setLengthMs(p.lengthMs());
        } else if (c instanceof Call.MinuteElapsed) {
            b.setMinutePassed(Nothing.getDefaultInstance());
        } else if (c instanceof Call.PlayInterrupted p) {
            b.getPlayBrokeBuilder()
                    .setPlay(p.play().value())
                    .setBand(Codec.band(p.trafficClass()))
                    .setBefore(p.priorRecoveries())
                    .setSinceMs(p.sinceMs())
                    .setUnlistedMs(p.unlistedMs());
        } else {
            return false;
        }
        return true;
    }

    /** Reads the call; null where it is none of these. */
    static Call call(walnutfield.record.wire.Call c) {
        return switch (c.getWhatCase()) {
            case SCHEDULE_TAKEN ->
                new Call.ScheduleUpdated(new Schedule(c.getScheduleTaken().getInsertsList().stream()
                        .map(StitchCodec::insert)
                        .toList()));
            case VIEWING_BEGAN -> {
                walnutfield.record.wire.ViewingBegan v = c.getViewingBegan();
                yield new Call.ViewingStarted(
                        new PlayId(v.getViewing()),
                        new ViewerId(v.getViewer()),
                        v.hasCustomer() ? new TenantId(v.getCustomer()) : null,
                        Codec.band(v.getBand()),
                        v.getStartBy(),
                        v.getLengthMs());
            }
            case INSERT_DUE ->
                new Call.InsertDue(
                        new PlayId(c.getInsertDue().getViewing()),
                        c.getInsertDue().getSlot(),
                        Codec.band(c.getInsertDue().getBand()));
            case INSERT_NOT_TAKEN ->
                new Call.InsertRejected(
                        new PlayId(c.getInsertNotTaken().getViewing()),
                        c.getInsertNotTaken().getSlot(),
                        Stitcher.SkipReason.values()[c.getInsertNotTaken().getWhy()]);
            case INSERT_PLACED ->
                new Call.InsertPlaced(
                        new PlayId(c.getInsertPlaced().getViewing()),
                        c.getInsertPlaced().getSlot());
            case INSERT_BEGUN ->
                new Call.InsertStarted(
                        new PlayId(c.getInsertBegun().getViewing()),
                        c.getInsertBegun().getSlot(),
                        new ViewerId(c.getInsertBegun().getViewer()));
            case INSERT_ENDED ->
                new Call.InsertEnded(
                        new PlayId(c.getInsertEnded().getViewing()),
                        c.getInsertEnded().getSlot(),
                        c.getInsertEnded().getWhole());
            case INSERT_LOST ->
                new Call.InsertLost(
                        new PlayId(c.getInsertLost().getViewing()),
                        c.getInsertLost().getSlot(),
                        c.getInsertLost().getLeftMs());
            case INSERT_LATE ->
                new Call.InsertLate(
                        new PlayId(c.getInsertLate().getViewing()),
                        c.getInsertLate().getSlot());
            case VIEWING_OVER ->
                new Call.ViewingEnded(
                        new PlayId(c.getViewingOver().getViewing()),
                        new LinkedHashSet<>(c.getViewingOver().getFetchedList()));
            case PROGRAMME_ENDED ->
                new Call.ProgrammeEnded(
                        new PlayId(c.getProgrammeEnded().getViewing()),
                        c.getProgrammeEnded().getLengthMs());
            case MINUTE_PASSED -> new Call.MinuteElapsed();
            case PLAY_BROKE ->
                new Call.PlayInterrupted(
                        new PlayId(c.getPlayBroke().getPlay()),
                        Codec.band(c.getPlayBroke().getBand()),
                        c.getPlayBroke().getBefore(),
                        c.getPlayBroke().getSinceMs(),
                        c.getPlayBroke().getUnlistedMs());
            default -> null;
        };
    }

    /** Writes the result; false where it is none of these. */
    static boolean result(Result r, walnutfield.record.wire.Result.Builder b) {
        if (r instanceof Result.InsertsPlanned p) {
            b.getPlannedBuilder()
                    .setViewing(p.viewing().value())
                    .addAllInserts(p.inserts().stream().map(StitchCodec::insert).toList());
        } else if (r instanceof Result.RequestInsert a) {
            b.setAskFor(InsertDue.newBuilder()
                    .setViewing(a.viewing().value())
                    .setSlot(a.slot())
                    .setBand(Codec.band(a.trafficClass())));
        } else if (r instanceof Result.RetryInsert a) {
            b.getAskAgainBuilder()
                    .setViewing(a.viewing().value())
                    .setSlot(a.slot())
                    .setTimeMs(a.time());
        } else if (r instanceof Result.InsertReported x) {
            b.getReportedBuilder()
                    .setViewing(x.viewing().value())
                    .setSlot(x.slot())
                    .setInsert(x.insert().value())
                    .setWhat(x.what());
        } else if (r instanceof Result.PlayRecovery x) {
            b.getComesBackBuilder().setPlay(x.play().value()).setBack(x.back());
        } else {
            return false;
        }
        return true;
    }

    private static SlotOf slot(PlayId viewing, int slot) {
        return SlotOf.newBuilder().setViewing(viewing.value()).setSlot(slot).build();
    }

    private static walnutfield.record.wire.Insert insert(Insert i) {
        List<String> customers =
                i.tenants().stream().map(TenantId::value).sorted().toList();
        return walnutfield.record.wire.Insert.newBuilder()
                .setId(i.id().value())
                .setTitle(i.title().value())
                .setFirstCell(i.firstCell())
                .setHolders(i.holderCount())
                .setTopRung(i.maxRung())
                .setDurationMs(i.durationMs())
                .setTargetS(i.targetDurationS())
                .setPlace(i.place().ordinal())
                .setAtMs(i.atMs())
                .setInsteadMs(i.replacedMs())
                .setMust(i.mandatory())
                .addAllBands(new TreeSet<>(i.trafficClasses()))
                .addAllCustomers(customers)
                .setFromMs(i.fromMs())
                .setUntilMs(i.untilMs())
                .setPerHour(i.maxPerHour())
                .build();
    }

    private static Insert insert(walnutfield.record.wire.Insert i) {
        return new Insert(
                new InsertId(i.getId()),
                new TitleId(i.getTitle()),
                i.getFirstCell(),
                i.getHolders(),
                i.getTopRung(),
                i.getDurationMs(),
                i.getTargetS(),
                Insert.Place.values()[i.getPlace()],
                i.getAtMs(),
                i.getInsteadMs(),
                i.getMust(),
                new LinkedHashSet<>(i.getBandsList()),
                i.getCustomersList().stream().map(TenantId::new).collect(Collectors.toSet()),
                i.getFromMs(),
                i.getUntilMs(),
                i.getPerHour());
    }
}
