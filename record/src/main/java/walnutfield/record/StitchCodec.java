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

/**
 * The part of the codec for the calls and results that a desk handles outside the Director: viewings, inserts, and
 * the recovery of interrupted plays. {@link Codec} falls back to it for each kind that it does not encode itself.
 */
final class StitchCodec {
    private StitchCodec() {}

    /**
     * Encodes the call into the builder; returns false, and sets nothing, if it is none of the calls handled here.
     */
    static boolean encodeCall(Call call, walnutfield.record.wire.Call.Builder builder) {
        if (call instanceof Call.ScheduleUpdated updated) {
            builder.getScheduleTakenBuilder()
                    .addAllInserts(updated.schedule().inserts().stream()
                            .map(StitchCodec::encodeInsert)
                            .toList());
        } else if (call instanceof Call.ViewingStarted started) {
            walnutfield.record.wire.ViewingBegan.Builder viewing = builder.getViewingBeganBuilder()
                    .setViewing(started.viewing().value())
                    .setViewer(started.viewer().value())
                    .setBand(Codec.encodeTrafficClass(started.trafficClass()))
                    .setStartBy(started.startDeadline())
                    .setLengthMs(started.lengthMs());
            if (started.tenant() != null) {
                viewing.setCustomer(started.tenant().value());
            }
        } else if (call instanceof Call.InsertDue due) {
            builder.setInsertDue(InsertDue.newBuilder()
                    .setViewing(due.viewing().value())
                    .setSlot(due.slot())
                    .setBand(Codec.encodeTrafficClass(due.trafficClass())));
        } else if (call instanceof Call.InsertRejected rejected) {
            builder.getInsertNotTakenBuilder()
                    .setViewing(rejected.viewing().value())
                    .setSlot(rejected.slot())
                    .setWhy(rejected.reason().ordinal());
        } else if (call instanceof Call.InsertPlaced placed) {
            builder.setInsertPlaced(encodeSlot(placed.viewing(), placed.slot()));
        } else if (call instanceof Call.InsertStarted started) {
            builder.getInsertBegunBuilder()
                    .setViewing(started.viewing().value())
                    .setSlot(started.slot())
                    .setViewer(started.viewer().value());
        } else if (call instanceof Call.InsertEnded ended) {
            builder.getInsertEndedBuilder()
                    .setViewing(ended.viewing().value())
                    .setSlot(ended.slot())
                    .setWhole(ended.complete());
        } else if (call instanceof Call.InsertLost lost) {
            builder.getInsertLostBuilder()
                    .setViewing(lost.viewing().value())
                    .setSlot(lost.slot())
                    .setLeftMs(lost.unlistedMs());
        } else if (call instanceof Call.InsertLate late) {
            builder.setInsertLate(encodeSlot(late.viewing(), late.slot()));
        } else if (call instanceof Call.ViewingEnded ended) {
            builder.getViewingOverBuilder()
                    .setViewing(ended.viewing().value())
                    .addAllFetched(new TreeSet<>(ended.stillFetched()));
        } else if (call instanceof Call.ProgrammeEnded ended) {
            builder.getProgrammeEndedBuilder()
                    .setViewing(ended.viewing().value())
                    .setLengthMs(ended.lengthMs());
        } else if (call instanceof Call.MinuteElapsed) {
            builder.setMinutePassed(Nothing.getDefaultInstance());
        } else if (call instanceof Call.PlayInterrupted interrupted) {
            builder.getPlayBrokeBuilder()
                    .setPlay(interrupted.play().value())
                    .setBand(Codec.encodeTrafficClass(interrupted.trafficClass()))
                    .setBefore(interrupted.priorRecoveries())
                    .setSinceMs(interrupted.sinceStartMs())
                    .setUnlistedMs(interrupted.unlistedMs());
        } else {
            return false;
        }
        return true;
    }

    /** Decodes the call; returns null if it is none of the calls handled here. */
    static Call decodeCall(walnutfield.record.wire.Call encoded) {
        return switch (encoded.getWhatCase()) {
            case SCHEDULE_TAKEN ->
                new Call.ScheduleUpdated(new Schedule(encoded.getScheduleTaken().getInsertsList().stream()
                        .map(StitchCodec::decodeInsert)
                        .toList()));
            case VIEWING_BEGAN -> {
                walnutfield.record.wire.ViewingBegan viewing = encoded.getViewingBegan();
                yield new Call.ViewingStarted(
                        new PlayId(viewing.getViewing()),
                        new ViewerId(viewing.getViewer()),
                        viewing.hasCustomer() ? new TenantId(viewing.getCustomer()) : null,
                        Codec.decodeTrafficClass(viewing.getBand()),
                        viewing.getStartBy(),
                        viewing.getLengthMs());
            }
            case INSERT_DUE ->
                new Call.InsertDue(
                        new PlayId(encoded.getInsertDue().getViewing()),
                        encoded.getInsertDue().getSlot(),
                        Codec.decodeTrafficClass(encoded.getInsertDue().getBand()));
            case INSERT_NOT_TAKEN ->
                new Call.InsertRejected(
                        new PlayId(encoded.getInsertNotTaken().getViewing()),
                        encoded.getInsertNotTaken().getSlot(),
                        Stitcher.SkipReason.values()[encoded.getInsertNotTaken().getWhy()]);
            case INSERT_PLACED ->
                new Call.InsertPlaced(
                        new PlayId(encoded.getInsertPlaced().getViewing()),
                        encoded.getInsertPlaced().getSlot());
            case INSERT_BEGUN ->
                new Call.InsertStarted(
                        new PlayId(encoded.getInsertBegun().getViewing()),
                        encoded.getInsertBegun().getSlot(),
                        new ViewerId(encoded.getInsertBegun().getViewer()));
            case INSERT_ENDED ->
                new Call.InsertEnded(
                        new PlayId(encoded.getInsertEnded().getViewing()),
                        encoded.getInsertEnded().getSlot(),
                        encoded.getInsertEnded().getWhole());
            case INSERT_LOST ->
                new Call.InsertLost(
                        new PlayId(encoded.getInsertLost().getViewing()),
                        encoded.getInsertLost().getSlot(),
                        encoded.getInsertLost().getLeftMs());
            case INSERT_LATE ->
                new Call.InsertLate(
                        new PlayId(encoded.getInsertLate().getViewing()),
                        encoded.getInsertLate().getSlot());
            case VIEWING_OVER ->
                new Call.ViewingEnded(
                        new PlayId(encoded.getViewingOver().getViewing()),
                        new LinkedHashSet<>(encoded.getViewingOver().getFetchedList()));
            case PROGRAMME_ENDED ->
                new Call.ProgrammeEnded(
                        new PlayId(encoded.getProgrammeEnded().getViewing()),
                        encoded.getProgrammeEnded().getLengthMs());
            case MINUTE_PASSED -> new Call.MinuteElapsed();
            case PLAY_BROKE ->
                new Call.PlayInterrupted(
                        new PlayId(encoded.getPlayBroke().getPlay()),
                        Codec.decodeTrafficClass(encoded.getPlayBroke().getBand()),
                        encoded.getPlayBroke().getBefore(),
                        encoded.getPlayBroke().getSinceMs(),
                        encoded.getPlayBroke().getUnlistedMs());
            default -> null;
        };
    }

    /**
     * Encodes the result into the builder; returns false, and sets nothing, if it is none of the results handled
     * here.
     */
    static boolean encodeResult(Result result, walnutfield.record.wire.Result.Builder builder) {
        if (result instanceof Result.InsertsPlanned planned) {
            builder.getPlannedBuilder()
                    .setViewing(planned.viewing().value())
                    .addAllInserts(planned.inserts().stream()
                            .map(StitchCodec::encodeInsert)
                            .toList());
        } else if (result instanceof Result.RequestInsert request) {
            builder.setAskFor(InsertDue.newBuilder()
                    .setViewing(request.viewing().value())
                    .setSlot(request.slot())
                    .setBand(Codec.encodeTrafficClass(request.trafficClass())));
        } else if (result instanceof Result.RetryInsert retry) {
            builder.getAskAgainBuilder()
                    .setViewing(retry.viewing().value())
                    .setSlot(retry.slot())
                    .setTimeMs(retry.time());
        } else if (result instanceof Result.InsertReported reported) {
            builder.getReportedBuilder()
                    .setViewing(reported.viewing().value())
                    .setSlot(reported.slot())
                    .setInsert(reported.insert().value())
                    .setWhat(reported.report());
        } else if (result instanceof Result.PlayRecovery recovery) {
            builder.getComesBackBuilder().setPlay(recovery.play().value()).setBack(recovery.recover());
        } else {
            return false;
        }
        return true;
    }

    private static SlotOf encodeSlot(PlayId viewing, int slot) {
        return SlotOf.newBuilder().setViewing(viewing.value()).setSlot(slot).build();
    }

    private static walnutfield.record.wire.Insert encodeInsert(Insert insert) {
        List<String> tenants =
                insert.tenants().stream().map(TenantId::value).sorted().toList();
        return walnutfield.record.wire.Insert.newBuilder()
                .setId(insert.id().value())
                .setTitle(insert.title().value())
                .setFirstCell(insert.firstCell())
                .setHolders(insert.holderCount())
                .setTopRung(insert.maxRung())
                .setDurationMs(insert.durationMs())
                .setTargetS(insert.targetDurationS())
                .setPlace(insert.place().ordinal())
                .setAtMs(insert.atMs())
                .setInsteadMs(insert.replacedMs())
                .setMust(insert.mandatory())
                .addAllBands(new TreeSet<>(insert.trafficClasses()))
                .addAllCustomers(tenants)
                .setFromMs(insert.fromMs())
                .setUntilMs(insert.untilMs())
                .setPerHour(insert.maxPerHour())
                .build();
    }

    private static Insert decodeInsert(walnutfield.record.wire.Insert encoded) {
        return new Insert(
                new InsertId(encoded.getId()),
                new TitleId(encoded.getTitle()),
                encoded.getFirstCell(),
                encoded.getHolders(),
                encoded.getTopRung(),
                encoded.getDurationMs(),
                encoded.getTargetS(),
                Insert.Place.values()[encoded.getPlace()],
                encoded.getAtMs(),
                encoded.getInsteadMs(),
                encoded.getMust(),
                new LinkedHashSet<>(encoded.getBandsList()),
                encoded.getCustomersList().stream().map(TenantId::new).collect(Collectors.toSet()),
                encoded.getFromMs(),
                encoded.getUntilMs(),
                encoded.getPerHour());
    }
}
