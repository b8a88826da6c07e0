package walnutfield.record;

import java.util.List;
import walnutfield.desk.Carrier;
import walnutfield.desk.Desk;
import walnutfield.desk.Listener;
import walnutfield.play.ColdTerms;
import walnutfield.play.CustomerId;
import walnutfield.play.Gateway;
import walnutfield.play.Ladder;
import walnutfield.play.LegTerms;
import walnutfield.play.LinkTerms;
import walnutfield.play.MoveTerms;
import walnutfield.play.PlaceId;
import walnutfield.play.Post;
import walnutfield.play.ReportTerms;
import walnutfield.play.Share;
import walnutfield.play.ShedTerms;
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
            Post post,
            Ladder ladder,
            LinkTerms links,
            LegTerms legs,
            ColdTerms cold,
            ShedTerms shed,
            ReportTerms reports,
            MoveTerms moves,
            List<Share> shares) {
        Head.Builder b = Head.newBuilder()
                .setGateway(gateway)
                .setBuild(build)
                .setStartedMs(startedMs)
                .setMostHoldOffMs(shed.mostHoldOffMs())
                .setMovePrice(moves.price())
                .setCrossingPrice(moves.crossing());
        b.getPostBuilder()
                .setSeed(post.seed())
                .setMe(post.me())
                .setGateways(post.gateways())
                .setPlace(post.place().value());
        b.getLadderBuilder().addAllKb(ladder.kb()).addAllCredit(ladder.credit()).setStall(ladder.stall());
        b.getLinksBuilder()
                .setAllKb(links.allKb())
                .setUnitKb(links.unitKb())
                .setRackKb(links.rackKb())
                .setRacks(links.racks())
                .setCells(links.cells())
                .setSizeListed(links.sizeListed());
        b.getLegsBuilder()
                .setMost(legs.most())
                .setSpare(legs.spare())
                .setShare(legs.share())
                .setSpanMs(legs.spanMs());
        b.getColdBuilder()
                .setFrom(cold.from())
                .setWarmMs(cold.warmMs())
                .setMultiple(cold.multiple())
                .setFallMs(cold.fallMs());
        b.getReportsBuilder()
                .setMayProbe(reports.mayProbe())
                .setProbePrice(reports.probePrice())
                .setToldLateMs(reports.toldLateMs())
                .setAskForList(reports.askForList())
                .setInAnswers(reports.inAnswers());
        shares.forEach(s -> b.addSharesBuilder()
                .setCustomer(s.customer().value())
                .setPlaysPerS(s.playsPerS())
                .setBeyond(s.beyond()));
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
    public Desk desk(Gateway out, Listener listener) {
        return desk(out, Carrier.NONE, listener);
    }

    /** The same where what is decided beside the module is carried out too. */
    public Desk desk(Gateway out, Carrier carrier, Listener listener) {
        return new Desk(
                new Post(
                        seed(),
                        head.getPost().getMe(),
                        head.getPost().getGateways(),
                        new PlaceId(head.getPost().getPlace())),
                new Ladder(
                        head.getLadder().getKbList(),
                        head.getLadder().getCreditList(),
                        head.getLadder().getStall()),
                new LinkTerms(
                        head.getLinks().getAllKb(),
                        head.getLinks().getUnitKb(),
                        head.getLinks().getRackKb(),
                        head.getLinks().getRacks(),
                        head.getLinks().getCells(),
                        head.getLinks().getSizeListed()),
                new LegTerms(
                        head.getLegs().getMost(),
                        head.getLegs().getSpare(),
                        head.getLegs().getShare(),
                        head.getLegs().getSpanMs()),
                new ColdTerms(
                        head.getCold().getFrom(),
                        head.getCold().getWarmMs(),
                        head.getCold().getMultiple(),
                        head.getCold().getFallMs()),
                new ShedTerms(head.getMostHoldOffMs()),
                new ReportTerms(
                        head.getReports().getMayProbe(),
                        head.getReports().getProbePrice(),
                        head.getReports().getToldLateMs(),
                        head.getReports().getAskForList(),
                        head.getReports().getInAnswers()),
                new MoveTerms(head.getMovePrice(), head.getCrossingPrice()),
                head.getSharesList().stream()
                        .map(s -> new Share(new CustomerId(s.getCustomer()), s.getPlaysPerS(), s.getBeyond()))
                        .toList(),
                out,
                carrier,
                listener);
    }
}
