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

/**
 * Converts a desk's calls and results to the protobuf messages of a record and calls back. The encoding is
 * deterministic: equal values always give the same bytes, so replays can compare entries byte for byte.
 */
public final class Codec {
    private Codec() {}

    static walnutfield.record.wire.Entry encodeEntry(double timeMs, Call call, List<Result> results) {
        walnutfield.record.wire.Entry.Builder builder =
                walnutfield.record.wire.Entry.newBuilder().setTimeMs(timeMs).setCall(encodeCall(call));
        results.forEach(result -> builder.addResults(encodeResult(result)));
        return builder.build();
    }

    static walnutfield.record.wire.Call encodeCall(Call call) {
        walnutfield.record.wire.Call.Builder builder = walnutfield.record.wire.Call.newBuilder();
        if (call instanceof Call.PersistedHostListLoaded loaded) {
            builder.setListRemembered(encodeHostList(loaded.hosts()));
        } else if (call instanceof Call.HostListReplaced replaced) {
            builder.setListWhole(encodeHostList(replaced.hosts()));
        } else if (call instanceof Call.HostListUpdated updated) {
            builder.setListChanged(encodeHostList(updated.hosts()));
        } else if (call instanceof Call.ShutdownStarted) {
            builder.setEnding(Nothing.getDefaultInstance());
        } else if (call instanceof Call.HostListUnavailable) {
            builder.setListLost(Nothing.getDefaultInstance());
        } else if (call instanceof Call.PlayRequested requested) {
            builder.setWishTaken(encodePlayRequest(requested.request()));
        } else if (call instanceof Call.PlayInProgress inProgress) {
            builder.setUnderWay(encodePlayInProgress(inProgress.request(), inProgress.host(), 0));
        } else if (call instanceof Call.RungReported reported) {
            builder.getRungToldBuilder().setPlay(reported.play().value()).setRung(reported.rung());
        } else if (call instanceof Call.LegStarted started) {
            builder.getStartedBuilder()
                    .setPlay(started.play().value())
                    .setLeg(started.leg())
                    .setHost(started.host().value())
                    .setTookMs(started.elapsedMs());
        } else if (call instanceof Call.LegEnded ended) {
            builder.getEndedBuilder()
                    .setPlay(ended.play().value())
                    .setLeg(ended.leg())
                    .setHost(ended.host().value())
                    .setHow(ended.outcome().ordinal())
                    .setOver(ended.playFinished())
                    .setTookMs(ended.elapsedMs())
                    .setLoad(encodeLoadReport(ended.load()));
        } else if (call instanceof Call.ViewerLeft left) {
            builder.setGaveUp(left.play().value());
        } else if (call instanceof Call.DeliveredShareReported reported) {
            builder.getShareToldBuilder().setHost(reported.host().value()).setShare(reported.share());
        } else if (call instanceof Call.LoadReported reported) {
            builder.getLoadToldBuilder().setHost(reported.host().value()).setLoad(encodeLoadReport(reported.load()));
        } else if (call instanceof Call.ProbeCompleted probe) {
            builder.getProbedBuilder()
                    .setHost(probe.host().value())
                    .setHow(probe.outcome().ordinal())
                    .setTookMs(probe.elapsedMs())
                    .setLoad(encodeLoadReport(probe.load()));
        } else if (call instanceof Call.TimerFired fired) {
            builder.setWoke(fired.timer());
        } else if (call instanceof Call.LearnedStateRestored restored) {
            builder.setLearntTaken(encodeLearnedState(restored.state()));
        } else if (!StitchCodec.encodeCall(call, builder)) {
            throw new IllegalStateException("no record encoding for call: " + call);
        }
        return builder.build();
    }

    /**
     * @throws IllegalArgumentException       for a kind of call that this version does not know
     * @throws ArrayIndexOutOfBoundsException for an ordinal past the end of its enum
     */
    static Call decodeCall(walnutfield.record.wire.Call encoded) {
        return switch (encoded.getWhatCase()) {
            case LIST_REMEMBERED -> new Call.PersistedHostListLoaded(decodeHostList(encoded.getListRemembered()));
            case LIST_WHOLE -> new Call.HostListReplaced(decodeHostList(encoded.getListWhole()));
            case LIST_CHANGED -> new Call.HostListUpdated(decodeHostList(encoded.getListChanged()));
            case LIST_LOST -> new Call.HostListUnavailable();
            case ENDING -> new Call.ShutdownStarted();
            case WISH_TAKEN -> new Call.PlayRequested(decodePlayRequest(encoded.getWishTaken()));
            case UNDER_WAY ->
                new Call.PlayInProgress(
                        decodePlayRequest(encoded.getUnderWay().getWish()),
                        new HostId(encoded.getUnderWay().getHost()));
            case RUNG_TOLD ->
                new Call.RungReported(
                        new PlayId(encoded.getRungTold().getPlay()),
                        encoded.getRungTold().getRung());
            case STARTED ->
                new Call.LegStarted(
                        new PlayId(encoded.getStarted().getPlay()),
                        encoded.getStarted().getLeg(),
                        new HostId(encoded.getStarted().getHost()),
                        encoded.getStarted().getTookMs());
            case ENDED ->
                new Call.LegEnded(
                        new PlayId(encoded.getEnded().getPlay()),
                        encoded.getEnded().getLeg(),
                        new HostId(encoded.getEnded().getHost()),
                        Outcome.values()[encoded.getEnded().getHow()],
                        encoded.getEnded().getOver(),
                        encoded.getEnded().getTookMs(),
                        decodeLoadReport(encoded.getEnded().getLoad()));
            case GAVE_UP -> new Call.ViewerLeft(new PlayId(encoded.getGaveUp()));
            case SHARE_TOLD ->
                new Call.DeliveredShareReported(
                        new HostId(encoded.getShareTold().getHost()),
                        encoded.getShareTold().getShare());
            case LOAD_TOLD ->
                new Call.LoadReported(
                        new HostId(encoded.getLoadTold().getHost()),
                        decodeLoadReport(encoded.getLoadTold().getLoad()));
            case PROBED ->
                new Call.ProbeCompleted(
                        new HostId(encoded.getProbed().getHost()),
                        Outcome.values()[encoded.getProbed().getHow()],
                        encoded.getProbed().getTookMs(),
                        decodeLoadReport(encoded.getProbed().getLoad()));
            case WOKE -> new Call.TimerFired(encoded.getWoke());
            case LEARNT_TAKEN -> new Call.LearnedStateRestored(decodeLearnedState(encoded.getLearntTaken()));
            default -> {
                Call decoded = StitchCodec.decodeCall(encoded);
                if (decoded == null) {
                    throw new IllegalArgumentException("unknown kind of call in the record");
                }
                yield decoded;
            }
        };
    }

    static walnutfield.record.wire.Result encodeResult(Result result) {
        walnutfield.record.wire.Result.Builder builder = walnutfield.record.wire.Result.newBuilder();
        if (result instanceof Result.SetUpLeg setUp) {
            builder.getSetUpBuilder()
                    .setPlay(setUp.play().value())
                    .setHost(setUp.host().value())
                    .setPatienceMs(setUp.timeoutMs());
        } else if (result instanceof Result.SetRung setRung) {
            builder.getSetRungBuilder().setPlay(setRung.play().value()).setRung(setRung.rung());
        } else if (result instanceof Result.MovePlay move) {
            builder.setMove(move.play().value());
        } else if (result instanceof Result.ShedPlay shed) {
            builder.getShedBuilder().setPlay(shed.play().value()).setHoldOffMs(shed.retryAfterMs());
        } else if (result instanceof Result.FailPlay fail) {
            builder.setErrored(fail.play().value());
        } else if (result instanceof Result.ProbeHost probe) {
            builder.setProbe(probe.host().value());
        } else if (result instanceof Result.WatchHostList) {
            builder.setFollowList(Nothing.getDefaultInstance());
        } else if (result instanceof Result.SetTimer setTimer) {
            builder.getWakeBuilder().setTimeMs(setTimer.time()).setMark(setTimer.timer());
        } else if (result instanceof Result.WriteLog log) {
            builder.setNoted(log.line());
        } else if (!StitchCodec.encodeResult(result, builder)) {
            throw new IllegalStateException("no record encoding for result: " + result);
        }
        return builder.build();
    }

    private static walnutfield.record.wire.List encodeHostList(List<HostDescriptor> hosts) {
        walnutfield.record.wire.List.Builder builder = walnutfield.record.wire.List.newBuilder();
        for (HostDescriptor host : hosts) {
            builder.addHostsBuilder()
                    .setName(host.host().value())
                    .setPlace(host.place().value())
                    .setSlots(host.maxStreams())
                    .setCell(host.cell())
                    .setStanding(host.state().ordinal())
                    .setUnits(host.capacityUnits())
                    .setLaunched(host.startedAt());
        }
        return builder.build();
    }

    static List<HostDescriptor> decodeHostList(walnutfield.record.wire.List encoded) {
        List<HostDescriptor> hosts = new ArrayList<>(encoded.getHostsCount());
        for (walnutfield.record.wire.Host host : encoded.getHostsList()) {
            hosts.add(new HostDescriptor(
                    new HostId(host.getName()),
                    new PlaceId(host.getPlace()),
                    host.getSlots(),
                    host.getCell(),
                    HostDescriptor.LifecycleState.values()[host.getStanding()],
                    host.getUnits(),
                    host.getLaunched()));
        }
        return hosts;
    }

    /**
     * @param rung the play's present rung; used in snapshots only, 0 in a recorded call
     */
    static walnutfield.record.wire.UnderWay encodePlayInProgress(PlayRequest request, HostId host, int rung) {
        return walnutfield.record.wire.UnderWay.newBuilder()
                .setWish(encodePlayRequest(request))
                .setHost(host.value())
                .setRung(rung)
                .build();
    }

    static walnutfield.record.wire.Snapshot encodeSnapshot(
            double timeMs, List<HostDescriptor> hosts, List<walnutfield.record.wire.UnderWay> plays) {
        return walnutfield.record.wire.Snapshot.newBuilder()
                .setTimeMs(timeMs)
                .setHosts(encodeHostList(hosts))
                .addAllPlays(plays)
                .build();
    }

    private static walnutfield.record.wire.Wish encodePlayRequest(PlayRequest request) {
        walnutfield.record.wire.Wish.Builder builder = walnutfield.record.wire.Wish.newBuilder()
                .setPlay(request.play().value())
                .setViewer(request.viewer().value())
                .setTitle(request.title().value())
                .setFirstCell(request.firstCell())
                .setHolders(request.holderCount())
                .setBestRung(request.highestRung())
                .setMoved(request.moved())
                .setLengthMs(request.expectedDurationMs())
                .setLeftMs(request.remainingWaitMs())
                .setOwn(request.gatewayInitiated());
        builder.setBand(encodeTrafficClass(request.trafficClass()));
        if (request.tenant() != null) {
            builder.setCustomer(request.tenant().value());
        }
        return builder.build();
    }

    static PlayRequest decodePlayRequest(walnutfield.record.wire.Wish encoded) {
        return new PlayRequest(
                new PlayId(encoded.getPlay()),
                new ViewerId(encoded.getViewer()),
                new TitleId(encoded.getTitle()),
                encoded.hasCustomer() ? new TenantId(encoded.getCustomer()) : null,
                decodeTrafficClass(encoded.getBand()),
                encoded.getFirstCell(),
                encoded.getHolders(),
                encoded.getBestRung(),
                encoded.getMoved(),
                encoded.getLengthMs(),
                encoded.getLeftMs(),
                encoded.getOwn());
    }

    static walnutfield.record.wire.Band encodeTrafficClass(TrafficClass trafficClass) {
        return walnutfield.record.wire.Band.newBuilder()
                .setName(trafficClass.name())
                .setExpectedMs(trafficClass.latencyTargetMs())
                .setHardStopMs(trafficClass.deadlineMs())
                .setCredit(trafficClass.weight())
                .setPaid(trafficClass.paid())
                .setRates(trafficClass.rateScale())
                .setFloor(trafficClass.minRung())
                .setTop(trafficClass.maxRung())
                .setSeats(trafficClass.seats())
                .build();
    }

    static TrafficClass decodeTrafficClass(walnutfield.record.wire.Band encoded) {
        return new TrafficClass(
                encoded.getName(),
                encoded.getExpectedMs(),
                encoded.getHardStopMs(),
                encoded.getCredit(),
                encoded.getPaid(),
                encoded.getRates(),
                encoded.getFloor(),
                encoded.getTop(),
                encoded.getSeats());
    }

    private static walnutfield.record.wire.Learnt encodeLearnedState(LearnedState state) {
        walnutfield.record.wire.Learnt.Builder builder =
                walnutfield.record.wire.Learnt.newBuilder().setAtMs(state.at()).setLifeMs(state.averagePlayMs());
        state.uplinks()
                .forEach(uplink ->
                        builder.addUplinksBuilder().setRack(uplink.rack()).setNarrow(uplink.factor()));
        state.hosts()
                .forEach(host -> builder.addHostsBuilder()
                        .setHost(host.host().value())
                        .setLaunched(host.startedAt())
                        .setSuspect(host.outlier())
                        .setSilent(host.unresponsive())
                        .setRetryAt(host.retryAt())
                        .setColdSince(host.slowStartSince()));
        return builder.build();
    }

    private static LearnedState decodeLearnedState(walnutfield.record.wire.Learnt encoded) {
        return new LearnedState(
                encoded.getAtMs(),
                encoded.getLifeMs(),
                encoded.getUplinksList().stream()
                        .map(uplink -> new LearnedState.UplinkCorrection(uplink.getRack(), uplink.getNarrow()))
                        .toList(),
                encoded.getHostsList().stream()
                        .map(host -> new LearnedState.HostHealth(
                                new HostId(host.getHost()),
                                host.getLaunched(),
                                host.getSuspect(),
                                host.getSilent(),
                                host.getRetryAt(),
                                host.getColdSince()))
                        .toList());
    }

    private static walnutfield.record.wire.Load encodeLoadReport(LoadReport report) {
        return walnutfield.record.wire.Load.newBuilder()
                .setLink(report.linkUse())
                .setUplink(report.uplinkUse())
                .setStreams(report.activeStreams())
                .build();
    }

    private static LoadReport decodeLoadReport(walnutfield.record.wire.Load encoded) {
        return new LoadReport(encoded.getLink(), encoded.getUplink(), encoded.getStreams());
    }
}
