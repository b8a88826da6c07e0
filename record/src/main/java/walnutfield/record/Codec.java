package walnutfield.record;

import java.util.ArrayList;
import java.util.List;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.Band;
import walnutfield.play.CustomerId;
import walnutfield.play.HostId;
import walnutfield.play.HostLine;
import walnutfield.play.Learnt;
import walnutfield.play.Load;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.TitleId;
import walnutfield.play.ViewerId;
import walnutfield.play.Wanted;
import walnutfield.record.wire.Nothing;

/** Calls and results to protobuf and back; the same fact always gives the same bytes. */
public final class Codec {
    private Codec() {}

    static walnutfield.record.wire.Entry entry(double time, Call call, List<Result> results) {
        walnutfield.record.wire.Entry.Builder b =
                walnutfield.record.wire.Entry.newBuilder().setTimeMs(time).setCall(call(call));
        results.forEach(r -> b.addResults(result(r)));
        return b.build();
    }

    static walnutfield.record.wire.Call call(Call c) {
        walnutfield.record.wire.Call.Builder b = walnutfield.record.wire.Call.newBuilder();
        if (c instanceof Call.ListRemembered l) {
            b.setListRemembered(list(l.lines()));
        } else if (c instanceof Call.ListWhole l) {
            b.setListWhole(list(l.lines()));
        } else if (c instanceof Call.ListChanged l) {
            b.setListChanged(list(l.lines()));
        } else if (c instanceof Call.Ending) {
            b.setEnding(Nothing.getDefaultInstance());
        } else if (c instanceof Call.ListLost) {
            b.setListLost(Nothing.getDefaultInstance());
        } else if (c instanceof Call.WishTaken w) {
            b.setWishTaken(wish(w.wish()));
        } else if (c instanceof Call.UnderWay u) {
            b.setUnderWay(underWay(u.wish(), u.host(), 0));
        } else if (c instanceof Call.RungTold r) {
            b.getRungToldBuilder().setPlay(r.play().value()).setRung(r.rung());
        } else if (c instanceof Call.Started s) {
            b.getStartedBuilder()
                    .setPlay(s.play().value())
                    .setLeg(s.leg())
                    .setHost(s.on().value())
                    .setTookMs(s.tookMs());
        } else if (c instanceof Call.Ended e) {
            b.getEndedBuilder()
                    .setPlay(e.play().value())
                    .setLeg(e.leg())
                    .setHost(e.on().value())
                    .setHow(e.how().ordinal())
                    .setOver(e.over())
                    .setTookMs(e.tookMs())
                    .setLoad(load(e.load()));
        } else if (c instanceof Call.GaveUp g) {
            b.setGaveUp(g.play().value());
        } else if (c instanceof Call.ShareTold s) {
            b.getShareToldBuilder().setHost(s.host().value()).setShare(s.share());
        } else if (c instanceof Call.LoadTold l) {
            b.getLoadToldBuilder().setHost(l.host().value()).setLoad(load(l.load()));
        } else if (c instanceof Call.Probed p) {
            b.getProbedBuilder()
                    .setHost(p.host().value())
                    .setHow(p.how().ordinal())
                    .setTookMs(p.tookMs())
                    .setLoad(load(p.load()));
        } else if (c instanceof Call.Woke w) {
            b.setWoke(w.mark());
        } else if (c instanceof Call.LearntTaken l) {
            b.setLearntTaken(learnt(l.learnt()));
        } else if (!StitchCodec.call(c, b)) {
            throw new IllegalStateException("a call that cannot be written: " + c);
        }
        return b.build();
    }

    static Call call(walnutfield.record.wire.Call c) {
        return switch (c.getWhatCase()) {
            case LIST_REMEMBERED -> new Call.ListRemembered(lines(c.getListRemembered()));
            case LIST_WHOLE -> new Call.ListWhole(lines(c.getListWhole()));
            case LIST_CHANGED -> new Call.ListChanged(lines(c.getListChanged()));
            case LIST_LOST -> new Call.ListLost();
            case ENDING -> new Call.Ending();
            case WISH_TAKEN -> new Call.WishTaken(wish(c.getWishTaken()));
            case UNDER_WAY ->
                new Call.UnderWay(
                        wish(c.getUnderWay().getWish()),
                        new HostId(c.getUnderWay().getHost()));
            case RUNG_TOLD ->
                new Call.RungTold(
                        new PlayId(c.getRungTold().getPlay()), c.getRungTold().getRung());
            case STARTED ->
                new Call.Started(
                        new PlayId(c.getStarted().getPlay()),
                        c.getStarted().getLeg(),
                        new HostId(c.getStarted().getHost()),
                        c.getStarted().getTookMs());
            case ENDED ->
                new Call.Ended(
                        new PlayId(c.getEnded().getPlay()),
                        c.getEnded().getLeg(),
                        new HostId(c.getEnded().getHost()),
                        Outcome.values()[c.getEnded().getHow()],
                        c.getEnded().getOver(),
                        c.getEnded().getTookMs(),
                        load(c.getEnded().getLoad()));
            case GAVE_UP -> new Call.GaveUp(new PlayId(c.getGaveUp()));
            case SHARE_TOLD ->
                new Call.ShareTold(
                        new HostId(c.getShareTold().getHost()), c.getShareTold().getShare());
            case LOAD_TOLD ->
                new Call.LoadTold(
                        new HostId(c.getLoadTold().getHost()),
                        load(c.getLoadTold().getLoad()));
            case PROBED ->
                new Call.Probed(
                        new HostId(c.getProbed().getHost()),
                        Outcome.values()[c.getProbed().getHow()],
                        c.getProbed().getTookMs(),
                        load(c.getProbed().getLoad()));
            case WOKE -> new Call.Woke(c.getWoke());
            case LEARNT_TAKEN -> new Call.LearntTaken(learnt(c.getLearntTaken()));
            default -> {
                Call beside = StitchCodec.call(c);
                if (beside == null) {
                    throw new IllegalArgumentException("a call of a kind that is not known");
                }
                yield beside;
            }
        };
    }

    static walnutfield.record.wire.Result result(Result r) {
        walnutfield.record.wire.Result.Builder b = walnutfield.record.wire.Result.newBuilder();
        if (r instanceof Result.SetUp s) {
            b.getSetUpBuilder()
                    .setPlay(s.play().value())
                    .setHost(s.host().value())
                    .setPatienceMs(s.patienceMs());
        } else if (r instanceof Result.SetRung s) {
            b.getSetRungBuilder().setPlay(s.play().value()).setRung(s.rung());
        } else if (r instanceof Result.Move m) {
            b.setMove(m.play().value());
        } else if (r instanceof Result.Shed s) {
            b.getShedBuilder().setPlay(s.play().value()).setHoldOffMs(s.holdOffMs());
        } else if (r instanceof Result.Errored e) {
            b.setErrored(e.play().value());
        } else if (r instanceof Result.Probe p) {
            b.setProbe(p.host().value());
        } else if (r instanceof Result.FollowList) {
            b.setFollowList(Nothing.getDefaultInstance());
        } else if (r instanceof Result.Wake w) {
            b.getWakeBuilder().setTimeMs(w.time()).setMark(w.mark());
        } else if (r instanceof Result.Noted n) {
            b.setNoted(n.line());
        } else if (!StitchCodec.result(r, b)) {
            throw new IllegalStateException("a result that cannot be written: " + r);
        }
        return b.build();
    }

    private static walnutfield.record.wire.List list(List<HostLine> lines) {
        walnutfield.record.wire.List.Builder b = walnutfield.record.wire.List.newBuilder();
        for (HostLine l : lines) {
            b.addHostsBuilder()
                    .setName(l.host().value())
                    .setPlace(l.place().value())
                    .setSlots(l.slots())
                    .setCell(l.cell())
                    .setStanding(l.standing().ordinal())
                    .setUnits(l.units())
                    .setLaunched(l.launched());
        }
        return b.build();
    }

    static List<HostLine> lines(walnutfield.record.wire.List l) {
        List<HostLine> out = new ArrayList<>(l.getHostsCount());
        for (walnutfield.record.wire.Host h : l.getHostsList()) {
            out.add(new HostLine(
                    new HostId(h.getName()),
                    new PlaceId(h.getPlace()),
                    h.getSlots(),
                    h.getCell(),
                    HostLine.Standing.values()[h.getStanding()],
                    h.getUnits(),
                    h.getLaunched()));
        }
        return out;
    }

    static walnutfield.record.wire.UnderWay underWay(Wanted w, HostId host, int rung) {
        return walnutfield.record.wire.UnderWay.newBuilder()
                .setWish(wish(w))
                .setHost(host.value())
                .setRung(rung)
                .build();
    }

    static walnutfield.record.wire.Snapshot snapshot(
            double time, List<HostLine> hosts, List<walnutfield.record.wire.UnderWay> plays) {
        return walnutfield.record.wire.Snapshot.newBuilder()
                .setTimeMs(time)
                .setHosts(list(hosts))
                .addAllPlays(plays)
                .build();
    }

    private static walnutfield.record.wire.Wish wish(Wanted w) {
        walnutfield.record.wire.Wish.Builder b = walnutfield.record.wire.Wish.newBuilder()
                .setPlay(w.play().value())
                .setViewer(w.viewer().value())
                .setTitle(w.title().value())
                .setFirstCell(w.firstCell())
                .setHolders(w.holders())
                .setBestRung(w.bestRung())
                .setMoved(w.moved())
                .setLengthMs(w.lengthMs())
                .setLeftMs(w.leftMs())
                .setOwn(w.own());
        b.setBand(band(w.band()));
        if (w.customer() != null) {
            b.setCustomer(w.customer().value());
        }
        return b.build();
    }

    static Wanted wish(walnutfield.record.wire.Wish w) {
        return new Wanted(
                new PlayId(w.getPlay()),
                new ViewerId(w.getViewer()),
                new TitleId(w.getTitle()),
                w.hasCustomer() ? new CustomerId(w.getCustomer()) : null,
                band(w.getBand()),
                w.getFirstCell(),
                w.getHolders(),
                w.getBestRung(),
                w.getMoved(),
                w.getLengthMs(),
                w.getLeftMs(),
                w.getOwn());
    }

    static walnutfield.record.wire.Band band(Band d) {
        return walnutfield.record.wire.Band.newBuilder()
                .setName(d.name())
                .setExpectedMs(d.expectedMs())
                .setHardStopMs(d.hardStopMs())
                .setCredit(d.credit())
                .setPaid(d.paid())
                .setRates(d.rates())
                .setFloor(d.floor())
                .setTop(d.top())
                .setSeats(d.seats())
                .build();
    }

    static Band band(walnutfield.record.wire.Band d) {
        return new Band(
                d.getName(),
                d.getExpectedMs(),
                d.getHardStopMs(),
                d.getCredit(),
                d.getPaid(),
                d.getRates(),
                d.getFloor(),
                d.getTop(),
                d.getSeats());
    }

    private static walnutfield.record.wire.Learnt learnt(Learnt l) {
        walnutfield.record.wire.Learnt.Builder b =
                walnutfield.record.wire.Learnt.newBuilder().setAtMs(l.at()).setLifeMs(l.life());
        l.uplinks().forEach(u -> b.addUplinksBuilder().setRack(u.rack()).setNarrow(u.narrow()));
        l.hosts()
                .forEach(h -> b.addHostsBuilder()
                        .setHost(h.host().value())
                        .setLaunched(h.launched())
                        .setSuspect(h.suspect())
                        .setSilent(h.silent())
                        .setRetryAt(h.retryAt())
                        .setColdSince(h.coldSince()));
        return b.build();
    }

    private static Learnt learnt(walnutfield.record.wire.Learnt l) {
        return new Learnt(
                l.getAtMs(),
                l.getLifeMs(),
                l.getUplinksList().stream()
                        .map(u -> new Learnt.Uplink(u.getRack(), u.getNarrow()))
                        .toList(),
                l.getHostsList().stream()
                        .map(h -> new Learnt.Doubted(
                                new HostId(h.getHost()),
                                h.getLaunched(),
                                h.getSuspect(),
                                h.getSilent(),
                                h.getRetryAt(),
                                h.getColdSince()))
                        .toList());
    }

    private static walnutfield.record.wire.Load load(Load l) {
        return walnutfield.record.wire.Load.newBuilder()
                .setLink(l.link())
                .setUplink(l.uplink())
                .setStreams(l.streams())
                .build();
    }

    private static Load load(walnutfield.record.wire.Load l) {
        return new Load(l.getLink(), l.getUplink(), l.getStreams());
    }
}
