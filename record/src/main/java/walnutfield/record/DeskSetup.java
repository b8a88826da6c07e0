package walnutfield.record;

import java.util.List;
import walnutfield.desk.Desk;
import walnutfield.desk.InsertActions;
import walnutfield.desk.Listener;
import walnutfield.play.GatewayActions;
import walnutfield.play.GatewayIdentity;
import walnutfield.play.Ladder;
import walnutfield.play.LinkSettings;
import walnutfield.play.LoadReportSettings;
import walnutfield.play.MoveCosts;
import walnutfield.play.PlaceId;
import walnutfield.play.RetryPolicy;
import walnutfield.play.SheddingPolicy;
import walnutfield.play.SlowStartPolicy;
import walnutfield.play.TenantId;
import walnutfield.play.TenantQuota;
import walnutfield.record.wire.Head;

/**
 * The settings that a desk is constructed with, as the header frame of a record holds them. Two desks made from the
 * same header decide alike.
 */
public final class DeskSetup {
    private final Head header;

    DeskSetup(Head header) {
        this.header = header;
    }

    /**
     * @param build     the version of the program, kept in the record for information only
     * @param startedMs when the gateway was started, in ms
     */
    public DeskSetup(
            String gateway,
            String build,
            double startedMs,
            GatewayIdentity identity,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy retryPolicy,
            SlowStartPolicy slowStart,
            SheddingPolicy shedding,
            LoadReportSettings loadReports,
            MoveCosts moveCosts,
            List<TenantQuota> quotas) {
        Head.Builder builder = Head.newBuilder()
                .setGateway(gateway)
                .setBuild(build)
                .setStartedMs(startedMs)
                .setMostHoldOffMs(shedding.maxRetryAfterMs())
                .setMovePrice(moveCosts.moveCost())
                .setCrossingPrice(moveCosts.crossPlaceCost());
        builder.getPostBuilder()
                .setSeed(identity.seed())
                .setMe(identity.index())
                .setGateways(identity.gatewayCount())
                .setPlace(identity.place().value());
        builder.getLadderBuilder()
                .addAllKb(ladder.ratesKb())
                .addAllCredit(ladder.weights())
                .setStall(ladder.stallPenalty());
        builder.getLinksBuilder()
                .setAllKb(links.totalLinkKb())
                .setUnitKb(links.linkKbPerUnit())
                .setRackKb(links.rackUplinkKb())
                .setRacks(links.rackCount())
                .setCells(links.cellCount())
                .setSizeListed(links.capacityListed());
        builder.getLegsBuilder()
                .setMost(retryPolicy.maxLegs())
                .setSpare(retryPolicy.baseRetries())
                .setShare(retryPolicy.retryRatio())
                .setSpanMs(retryPolicy.windowMs());
        builder.getColdBuilder()
                .setFrom(slowStart.initialShare())
                .setWarmMs(slowStart.warmMs())
                .setMultiple(slowStart.overloadFactor())
                .setFallMs(slowStart.overloadMs());
        builder.getReportsBuilder()
                .setMayProbe(loadReports.probingAllowed())
                .setProbePrice(loadReports.probeCost())
                .setToldLateMs(loadReports.reportDelayMs())
                .setAskForList(loadReports.pullHostList())
                .setInAnswers(loadReports.loadInResponses());
        quotas.forEach(quota -> builder.addSharesBuilder()
                .setCustomer(quota.tenant().value())
                .setPlaysPerS(quota.playsPerS())
                .setBeyond(quota.excessWeight()));
        header = builder.build();
    }

    Head header() {
        return header;
    }

    public String gateway() {
        return header.getGateway();
    }

    public String build() {
        return header.getBuild();
    }

    public long seed() {
        return header.getPost().getSeed();
    }

    /**
     * Returns the other settings with this one's gateway name, random seed, gateway index, gateway count and place.
     */
    public DeskSetup withSettingsOf(DeskSetup other) {
        return new DeskSetup(other.header.toBuilder()
                .setGateway(header.getGateway())
                .setPost(header.getPost())
                .build());
    }

    /**
     * Creates a desk whose decisions about inserts and play recoveries are not carried out.
     *
     * @param actions  carries out what the Director decides
     * @param listener null for none
     */
    public Desk createDesk(GatewayActions actions, Listener listener) {
        return createDesk(actions, InsertActions.NONE, listener);
    }

    /**
     * Creates a desk.
     *
     * @param actions       carries out what the Director decides
     * @param insertActions carries out what is decided about inserts and play recoveries
     * @param listener      null for none
     */
    public Desk createDesk(GatewayActions actions, InsertActions insertActions, Listener listener) {
        return new Desk(
                new GatewayIdentity(
                        seed(),
                        header.getPost().getMe(),
                        header.getPost().getGateways(),
                        new PlaceId(header.getPost().getPlace())),
                new Ladder(
                        header.getLadder().getKbList(),
                        header.getLadder().getCreditList(),
                        header.getLadder().getStall()),
                new LinkSettings(
                        header.getLinks().getAllKb(),
                        header.getLinks().getUnitKb(),
                        header.getLinks().getRackKb(),
                        header.getLinks().getRacks(),
                        header.getLinks().getCells(),
                        header.getLinks().getSizeListed()),
                new RetryPolicy(
                        header.getLegs().getMost(),
                        header.getLegs().getSpare(),
                        header.getLegs().getShare(),
                        header.getLegs().getSpanMs()),
                new SlowStartPolicy(
                        header.getCold().getFrom(),
                        header.getCold().getWarmMs(),
                        header.getCold().getMultiple(),
                        header.getCold().getFallMs()),
                new SheddingPolicy(header.getMostHoldOffMs()),
                new LoadReportSettings(
                        header.getReports().getMayProbe(),
                        header.getReports().getProbePrice(),
                        header.getReports().getToldLateMs(),
                        header.getReports().getAskForList(),
                        header.getReports().getInAnswers()),
                new MoveCosts(header.getMovePrice(), header.getCrossingPrice()),
                header.getSharesList().stream()
                        .map(quota -> new TenantQuota(
                                new TenantId(quota.getCustomer()), quota.getPlaysPerS(), quota.getBeyond()))
                        .toList(),
                actions,
                insertActions,
                listener);
    }
}
