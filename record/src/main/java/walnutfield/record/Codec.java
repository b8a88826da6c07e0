package walnutfield.record;

import java.util.ArrayList;
import java.util.List;
import walnutfield.desk.Call;
import walnutfield.desk.Result;
import walnutfield.play.HostDescriptor;
import walnutfield.play.HostId;
import walnutfield.play.LearnedState;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.play.PlaceId;
import walnutfield.play.PlayId;
import walnutfield.play.PlayRequest;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;
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
        if (c instanceof Call.PersistedHostListLoaded l) {
            b.setListRemembered(list(l.lines()));
        } else if (c instanceof Call.HostListReplaced l) {
            b.setListWhole(list(l.lines()));
        } else if (c instanceof Call.HostListUpdated l) {
            b.setListChanged(list(l.lines()));
        } else if (c instanceof Call.ShutdownStarted) {
            b.setEnding(Nothing.getDefaultInstance());
        } else if (c instanceof Call.HostListUnavailable) {
            b.setListLost(Nothing.getDefaultInstance());
        } else if (c instanceof Call.PlayRequested w) {
            b.setWishTaken(wish(w.request()));
        } else if (c instanceof Call.PlayInProgress u) {
            b.setUnderWay(underWay(u.request(), u.host(), 0));
        } else if (c instanceof Call.RungReported r) {
            b.getRungToldBuilder().setPlay(r.play().value()).setRung(r.rung());
        } else if (c instanceof Call.LegStarted s) {
            b.getStartedBuilder()
                    .setPlay(s.play().value())
                    .setLeg(s.leg())
                    .setHost(s.host().value())
                    .setTookMs(s.elapsedMs());
        } else if (c instanceof Call.LegEnded e) {
            b.getEndedBuilder()
                    .setPlay(e.play().value())
                    .setLeg(e.leg())
                    .setHost(e.host().value())
                    .setHow(e.outcome().ordinal())
                    .setOver(e.over())
                    .setTookMs(e.elapsedMs())
                    .setLoad(load(e.load()));
        } else if (c instanceof Call.ViewerLeft g) {
            b.setGaveUp(g.play().value());
        } else if (c instanceof Call.DeliveredShareReported s) {
            b.getShareToldBuilder().setHost(s.host().value()).setShare(s.share());
        } else if (c instanceof Call.LoadReported l) {
            b.getLoadToldBuilder().setHost(l.host().value()).setLoad(load(l.load()));
        } else if (c instanceof Call.ProbeCompleted p) {
            b.getProbedBuilder()
                    .setHost(p.host().value())
                    .setHow(p.outcome().ordinal())
                    .setTookMs(p.elapsedMs())
                    .setLoad(load(p.load()));
        } else if (c instanceof Call.TimerFired w) {
            b.setWoke(w.timer());
        } else if (c instanceof Call.LearnedStateRestored l) {
            b.setLearntTaken(learnt(l.state()));
        } else if (!StitchCodec.call(c, b)) {
            throw new IllegalStateException("a call that cannot be written: " + c);
        }
        return b.build();
    }

    static Call call(walnutfield.record.wire.Call c) {
        return switch (c.getWhatCase()) {
            case LIST_REMEMBERED -> new Call.PersistedHostListLoaded(lines(c.getListRemembered()));
            case LIST_WHOLE -> new Call.HostListReplaced(lines(c.getListWhole()));
            case LIST_CHANGED -> new Call.HostListUpdated(lines(c.getListChanged()));
            case LIST_LOST -> new Call.HostListUnavailable();
            case ENDING -> new Call.ShutdownStarted();
            case WISH_TAKEN -> new Call.PlayRequested(wish(c.getWishTaken()));
            case UNDER_WAY ->
                new Call.PlayInProgress(
                        wish(c.getUnderWay().getWish()),
                        new HostId(c.getUnderWay().getHost()));
            case RUNG_TOLD ->
                new Call.RungReported(
                        new PlayId(c.getRungTold().getPlay()), c.getRungTold().getRung());
            case STARTED ->
                new Call.LegStarted(
                        new PlayId(c.getStarted().getPlay()),
                        c.getStarted().getLeg(),
                        new HostId(c.getStarted().getHost()),
                        c.getStarted().getTookMs());
            case ENDED ->
                new Call.LegEnded(
                        new PlayId(c.getEnded().getPlay()),
                        c.getEnded().getLeg(),
                        new HostId(c.getEnded().getHost()),
                        Outcome.values()[c.getEnded().getHow()],
                        c.getEnded().getOver(),
                        c.getEnded().getTookMs(),
                        load(c.getEnded().getLoad()));
            case GAVE_UP -> new Call.ViewerLeft(new PlayId(c.getGaveUp()));
            case SHARE_TOLD ->
                new Call.DeliveredShareReported(
                        new HostId(c.getShareTold().getHost()), c.getShareTold().getShare());
            case LOAD_TOLD ->
                new Call.LoadReported(
                        new HostId(c.getLoadTold().getHost()),
                        load(c.getLoadTold().getLoad()));
            case PROBED ->
                new Call.ProbeCompleted(
                        new HostId(c.getProbed().getHost()),
                        Outcome.values()[c.getProbed().getHow()],
                        c.getProbed().getTookMs(),
                        load(c.getProbed().getLoad()));
            case WOKE -> new Call.TimerFired(c.getWoke());
            case LEARNT_TAKEN -> new Call.LearnedStateRestored(learnt(c.getLearntTaken()));
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
        if (r instanceof Result.SetUpLeg s) {
            b.getSetUpBuilder()
                    .setPlay(s.play().value())
                    .setHost(s.host().value())
                    .setPatienceMs(s.timeoutMs());
        } else if (r instanceof Result.SetRung s) {
            b.getSetRungBuilder().setPlay(s.play().value()).setRung(s.rung());
        } else if (r instanceof Result.MovePlay m) {
            b.setMove(m.play().value());
        } else if (r instanceof Result.ShedPlay s) {
            b.getShedBuilder().setPlay(s.play().value()).setHoldOffMs(s.retryAfterMs());
        } else if (r instanceof Result.FailPlay e) {
            b.setErrored(e.play().value());
        } else if (r instanceof Result.ProbeHost p) {
            b.setProbe(p.host().value());
        } else if (r instanceof Result.WatchHostList) {
            b.setFollowList(Nothing.getDefaultInstance());
        } else if (r instanceof Result.SetTimer w) {
            b.getWakeBuilder().setTimeMs(w.time()).setMark(w.timer());
        } else if (r instanceof Result.WriteLog n) {
            b.setNoted(n.line());
        } else if (!StitchCodec.result(r, b)) {
            throw new IllegalStateException("a result that cannot be written: " + r);
        }
        return b.build();
    }

    private static walnutfield.record.wire.List list(List<HostDescriptor> lines) {
        walnutfield.record.wire.List.Builder b = walnutfield.record.wire.List.newBuilder();
        for (HostDescriptor l : lines) {
            b.addHostsBuilder()
                    .setName(l.host().value())
                    .setPlace(l.place().value())
                    .setSlots(l.maxStreams())
                    .setCell(l.cell())
                    .setStanding(l.state().ordinal())
                    .setUnits(l.capacityUnits())
                    .setLaunched(l.startedAt());
        }
        return b.build();
    }

    static List<HostDescriptor> lines(walnutfield.record.wire.List l) {
        List<HostDescriptor> out = new ArrayList<>(l.getHostsCount());
        for (walnutfield.record.wire.Host h : l.getHostsList()) {
            out.add(new HostDescriptor(
                    new HostId(h.getName()),
                    new PlaceId(h.getPlace()),
                    h.getSlots(),
                    h.getCell(),
                    HostDescriptor.LifecycleState.values()[h.getStanding()],
                    h.getUnits(),
                    h.getLaunched()));
        }
        return out;
    }

    static walnutfield.record.wire.UnderWay underWay(PlayRequest w, HostId host, int rung) {
        return walnutfield.record.wire.UnderWay.newBuilder()
                .setWish(wish(w))
                .setHost(host.value())
                .setRung(rung)
                .build();
    }

    static walnutfield.record.wire.Snapshot snapshot(
            double time, List<HostDescriptor> hosts, List<walnutfield.record.wire.UnderWay> plays) {
        return walnutfield.record.wire.Snapshot.newBuilder()
                .setTimeMs(time)
                .setHosts(list(hosts))
                .addAllPlays(plays)
                .build();
    }

    private static walnutfield.record.wire.Wish wish(PlayRequest w) {
        walnutfield.record.wire.Wish.Builder b = walnutfield.record.wire.Wish.newBuilder()
                .setPlay(w.play().value())
                .setViewer(w.viewer().value())
                .setTitle(w.title().value())
                .setFirstCell(w.firstCell())
                .setHolders(w.holderCount())
                .setBestRung(w.highestRung())
                .setMoved(w.moved())
                .setLengthMs(w.expectedDurationMs())
                .setLeftMs(w.remainingWaitMs())
                .setOwn(w.gatewayInitiated());
        b.setBand(band(w.trafficClass()));
        if (w.tenant() != null) {
            b.setCustomer(w.tenant().value());
        }
        return b.build();
    }

    static PlayRequest wish(walnutfield.record.wire.Wish w) {
        return new PlayRequest(
                new PlayId(w.getPlay()),
                new ViewerId(w.getViewer()),
                new TitleId(w.getTitle()),
                w.hasCustomer() ? new TenantId(w.getCustomer()) : null,
                band(w.getBand()),
                w.getFirstCell(),
                w.getHolders(),
                w.getBestRung(),
                w.getMoved(),
                w.getLengthMs(),
                w.getLeftMs(),
                w.getOwn());
    }

    static walnutfield.record.wire.Band band(TrafficClass d) {
        return walnutfield.record.wire.Band.newBuilder()
                .setName(d.name())
                .setExpectedMs(d.latencyTargetMs())
                .setHardStopMs(d.deadlineMs())
                .setCredit(d.weight())
                .setPaid(d.paid())
                .setRates(d.rateScale())
                .setFloor(d.minRung())
                .setTop(d.maxRung())
                .setSeats(d.seats())
                .build();
    }

    static TrafficClass band(walnutfield.record.wire.Band d) {
        return new TrafficClass(
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

    private static walnutfield.record.wire.Learnt learnt(LearnedState l) {
        walnutfield.record.wire.Learnt.Builder b =
                walnutfield.record.wire.Learnt.newBuilder().setAtMs(l.at()).setLifeMs(l.life());
        l.uplinks().forEach(u -> b.addUplinksBuilder().setRack(u.rack()).setNarrow(u.narrow()));
        l.hosts()
                .forEach(h -> b.addHostsBuilder()
                        .setHost(h.host().value())
                        .setLaunched(h.startedAt())
                        .setSuspect(h.outlier())
                        .setSilent(h.unresponsive())
                        .setRetryAt(h.retryAt())
                        .setColdSince(h.coldSince()));
        return b.build();
    }

    private static LearnedState learnt(walnutfield.record.wire.Learnt l) {
        return new LearnedState(
                l.getAtMs(),
                l.getLifeMs(),
                l.getUplinksList().stream()
                        .map(u -> new LearnedState.UplinkCorrection(u.getRack(), u.getNarrow()))
                        .toList(),
                l.getHostsList().stream()
                        .map(h -> new LearnedState.HostHealth(
                                new HostId(h.getHost()),
                                h.getLaunched(),
                                h.getSuspect(),
                                h.getSilent(),
                                h.getRetryAt(),
                                h.getColdSince()))
                        .toList());
    }

    private static walnutfield.record.wire.Load load(LoadReport l) {
        return walnutfield.record.wire.Load.newBuilder()
                .setLink(l.linkUse())
                .setUplink(l.uplinkUse())
                .setStreams(l.activeStreams())
                .build();
    }

    private static LoadReport load(walnutfield.record.wire.Load l) {
        return new LoadReport(l.getLink(), l.getUplink(), l.getStreams());
    }
}
