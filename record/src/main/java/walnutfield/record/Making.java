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

/** How a desk is made, as a record's first frame tells it: the same head makes the same desk. */
public final class Making {
    private final Head head;

    Making(Head head) {
        this.head = head;
    }

    public Making(
            String gateway,
            String build,
            double startedMs,
            GatewayIdentity post,
            Ladder ladder,
            LinkSettings links,
            RetryPolicy legs,
            SlowStartPolicy cold,
            SheddingPolicy shed,
            LoadReportSettings reports,
            MoveCosts moves,
            List<TenantQuota> shares) {
        Head.Builder b = Head.newBuilder()
                .setGateway(gateway)
                .setBuild(build)
                .setStartedMs(startedMs)
                .setMostHoldOffMs(shed.mostHoldOffMs())
                .setMovePrice(moves.moveCost())
                .setCrossingPrice(moves.crossPlaceCost());
        b.getPostBuilder()
                .setSeed(post.seed())
                .setMe(post.index())
                .setGateways(post.gatewayCount())
                .setPlace(post.place().value());
        b.getLadderBuilder().addAllKb(ladder.kb()).addAllCredit(ladder.credit()).setStall(ladder.stall());
        b.getLinksBuilder()
                .setAllKb(links.totalLinkKb())
                .setUnitKb(links.linkKbPerUnit())
                .setRackKb(links.rackUplinkKb())
                .setRacks(links.rackCount())
                .setCells(links.cellCount())
                .setSizeListed(links.capacityListed());
        b.getLegsBuilder()
                .setMost(legs.maxLegs())
                .setSpare(legs.baseRetries())
                .setShare(legs.retryRatio())
                .setSpanMs(legs.windowMs());
        b.getColdBuilder()
                .setFrom(cold.initialShare())
                .setWarmMs(cold.warmMs())
                .setMultiple(cold.overloadFactor())
                .setFallMs(cold.overloadMs());
        b.getReportsBuilder()
                .setMayProbe(reports.probingAllowed())
                .setProbePrice(reports.probeCost())
                .setToldLateMs(reports.reportDelayMs())
                .setAskForList(reports.pullHostList())
                .setInAnswers(reports.loadInResponses());
        shares.forEach(s -> b.addSharesBuilder()
                .setCustomer(s.tenant().value())
                .setPlaysPerS(s.playsPerS())
                .setBeyond(s.excessWeight()));
        head = b.build();
    }

    Head head() {
        return head;
    }

    public String gateway() {
        return head.getGateway();
    }

    public String build() {
        return head.getBuild();
    }

    public long seed() {
        return head.getPost().getSeed();
    }

    /** This making with another's settings, but this one's gateway, seed and number among its fellows. */
    public Making with(Making settings) {
        return new Making(settings.head.toBuilder()
                .setGateway(head.getGateway())
                .setPost(head.getPost())
                .build());
    }

    /**
     * @param listener null for none
     */
    public Desk desk(GatewayActions out, Listener listener) {
        return desk(out, InsertActions.NONE, listener);
    }

    /** The same where what is decided beside the module is carried out too. */
    public Desk desk(GatewayActions out, InsertActions carrier, Listener listener) {
        return new Desk(
                new GatewayIdentity(
                        seed(),
                        head.getPost().getMe(),
                        head.getPost().getGateways(),
                        new PlaceId(head.getPost().getPlace())),
                new Ladder(
                        head.getLadder().getKbList(),
                        head.getLadder().getCreditList(),
                        head.getLadder().getStall()),
                new LinkSettings(
                        head.getLinks().getAllKb(),
                        head.getLinks().getUnitKb(),
                        head.getLinks().getRackKb(),
                        head.getLinks().getRacks(),
                        head.getLinks().getCells(),
                        head.getLinks().getSizeListed()),
                new RetryPolicy(
                        head.getLegs().getMost(),
                        head.getLegs().getSpare(),
                        head.getLegs().getShare(),
                        head.getLegs().getSpanMs()),
                new SlowStartPolicy(
                        head.getCold().getFrom(),
                        head.getCold().getWarmMs(),
                        head.getCold().getMultiple(),
                        head.getCold().getFallMs()),
                new SheddingPolicy(head.getMostHoldOffMs()),
                new LoadReportSettings(
                        head.getReports().getMayProbe(),
                        head.getReports().getProbePrice(),
                        head.getReports().getToldLateMs(),
                        head.getReports().getAskForList(),
                        head.getReports().getInAnswers()),
                new MoveCosts(head.getMovePrice(), head.getCrossingPrice()),
                head.getSharesList().stream()
                        .map(s -> new TenantQuota(new TenantId(s.getCustomer()), s.getPlaysPerS(), s.getBeyond()))
                        .toList(),
                out,
                carrier,
                listener);
    }
}
