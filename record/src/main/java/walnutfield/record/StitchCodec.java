package walnutfield.record;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Collectors;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.CustomerId;
import walnutfield.play.PlayId;
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
        if (c instanceof Call.ScheduleTaken s) {
            b.getScheduleTakenBuilder()
                    .addAllInserts(s.schedule().inserts().stream()
                            .map(StitchCodec::insert)
                            .toList());
        } else if (c instanceof Call.ViewingBegan v) {
            walnutfield.record.wire.ViewingBegan.Builder w = b.getViewingBeganBuilder()
                    .setViewing(v.viewing().value())
                    .setViewer(v.viewer().value())
                    .setBand(Codec.band(v.band()))
                    .setStartBy(v.startBy())
                    .setLengthMs(v.lengthMs());
            if (v.customer() != null) {
                w.setCustomer(v.customer().value());
            }
        } else if (c instanceof Call.InsertDue i) {
            b.setInsertDue(InsertDue.newBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setBand(Codec.band(i.band())));
        } else if (c instanceof Call.InsertNotTaken i) {
            b.getInsertNotTakenBuilder()
                    .setViewing(i.viewing().value())
                    .setSlot(i.slot())
                    .setWhy(i.why().ordinal());
        } else if (c instanceof Call.InsertPlaced i) {
            b.setInsertPlaced(slot(i.viewing(), i.slot()));
        } else if (c instanceof Call.InsertBegun i) {
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
        } else if (c instanceof Call.ViewingOver v) {
            b.getViewingOverBuilder().setViewing(v.viewing().value()).addAllFetched(new TreeSet<>(v.fetched()));
        } else if (c instanceof Call.ProgrammeEnded p) {
            b.getProgrammeEndedBuilder().setViewing(p.viewing().value()).setLengthMs(p.lengthMs());
        } else if (c instanceof Call.MinutePassed) {
            b.setMinutePassed(Nothing.getDefaultInstance());
        } else if (c instanceof Call.PlayBroke p) {
            b.getPlayBrokeBuilder()
                    .setPlay(p.play().value())
                    .setBand(Codec.band(p.band()))
                    .setBefore(p.before())
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
                new Call.ScheduleTaken(new Schedule(c.getScheduleTaken().getInsertsList().stream()
                        .map(StitchCodec::insert)
                        .toList()));
            case VIEWING_BEGAN -> {
                walnutfield.record.wire.ViewingBegan v = c.getViewingBegan();
                yield new Call.ViewingBegan(
                        new PlayId(v.getViewing()),
                        new ViewerId(v.getViewer()),
                        v.hasCustomer() ? new CustomerId(v.getCustomer()) : null,
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
                new Call.InsertNotTaken(
                        new PlayId(c.getInsertNotTaken().getViewing()),
                        c.getInsertNotTaken().getSlot(),
                        Stitcher.Why.values()[c.getInsertNotTaken().getWhy()]);
            case INSERT_PLACED ->
                new Call.InsertPlaced(
                        new PlayId(c.getInsertPlaced().getViewing()),
                        c.getInsertPlaced().getSlot());
            case INSERT_BEGUN ->
                new Call.InsertBegun(
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
                new Call.ViewingOver(
                        new PlayId(c.getViewingOver().getViewing()),
                        new LinkedHashSet<>(c.getViewingOver().getFetchedList()));
            case PROGRAMME_ENDED ->
                new Call.ProgrammeEnded(
                        new PlayId(c.getProgrammeEnded().getViewing()),
                        c.getProgrammeEnded().getLengthMs());
            case MINUTE_PASSED -> new Call.MinutePassed();
            case PLAY_BROKE ->
                new Call.PlayBroke(
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
        if (r instanceof Result.Planned p) {
            b.getPlannedBuilder()
                    .setViewing(p.viewing().value())
                    .addAllInserts(p.inserts().stream().map(StitchCodec::insert).toList());
        } else if (r instanceof Result.AskFor a) {
            b.setAskFor(InsertDue.newBuilder()
                    .setViewing(a.viewing().value())
                    .setSlot(a.slot())
                    .setBand(Codec.band(a.band())));
        } else if (r instanceof Result.AskAgain a) {
            b.getAskAgainBuilder()
                    .setViewing(a.viewing().value())
                    .setSlot(a.slot())
                    .setTimeMs(a.time());
        } else if (r instanceof Result.Reported x) {
            b.getReportedBuilder()
                    .setViewing(x.viewing().value())
                    .setSlot(x.slot())
                    .setInsert(x.insert().value())
                    .setWhat(x.what());
        } else if (r instanceof Result.ComesBack x) {
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
                i.customers().stream().map(CustomerId::value).sorted().toList();
        return walnutfield.record.wire.Insert.newBuilder()
                .setId(i.id().value())
                .setTitle(i.title().value())
                .setFirstCell(i.firstCell())
                .setHolders(i.holders())
                .setTopRung(i.topRung())
                .setDurationMs(i.durationMs())
                .setTargetS(i.targetS())
                .setPlace(i.place().ordinal())
                .setAtMs(i.atMs())
                .setInsteadMs(i.insteadMs())
                .setMust(i.must())
                .addAllBands(new TreeSet<>(i.bands()))
                .addAllCustomers(customers)
                .setFromMs(i.fromMs())
                .setUntilMs(i.untilMs())
                .setPerHour(i.perHour())
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
                i.getCustomersList().stream().map(CustomerId::new).collect(Collectors.toSet()),
                i.getFromMs(),
                i.getUntilMs(),
                i.getPerHour());
    }
}
