package walnutfield.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import walnutfield.net.Clock;
import walnutfield.net.Exchange;
import walnutfield.net.Headers;
import walnutfield.net.Query;
import walnutfield.play.TenantId;
import walnutfield.play.TitleId;
import walnutfield.play.TrafficClass;
import walnutfield.play.ViewerId;

/** The viewers' front: each request passes a chain of small stages until one of them answers or keeps it. */
final class Front {
    private static final Pattern PLAY = Pattern.compile("/play/([0-9]{1,18})\\.m3u8");
    private static final Pattern SESSION = Pattern.compile("/session/([A-Za-z0-9._-]{1,80})\\.m3u8");
    private static final Pattern CMCD_TB = Pattern.compile("(?:^|,)tb=([0-9]{1,9})(?:,|$)");
    private static final Pattern CMCD_SID = Pattern.compile("(?:^|,)sid=\"([^\"]{1,64})\"");

    /** True where the request goes on to the next stage. */
    private interface Stage {
        boolean pass(Exchange x);
    }

    private final Admission admission;
    private final Hls hls;
    private final Catalogue catalogue;
    private final List<Stage> chain =
            List.of(this::method, this::session, this::health, this::figures, this::draining, this::wish);
    private final Supplier<String> metrics;

    Front(Admission admission, Hls hls, Catalogue catalogue, Supplier<String> metrics) {
        this.metrics = metrics;
        this.admission = admission;
        this.hls = hls;
        this.catalogue = catalogue;
    }

    void handle(Exchange x) {
        for (Stage s : chain) {
            if (!s.pass(x)) {
                return;
            }
        }
        Answers.status(x, 404, null);
    }

    private boolean method(Exchange x) {
        if (x.request().method().equals("GET")) {
            return true;
        }
        Answers.status(x, 405, null);
        return false;
    }

    /** A viewing's growing playlist, straight from the thread that asks. */
    private boolean session(Exchange x) {
        Matcher m = SESSION.matcher(x.request().path());
        if (!m.matches()) {
            return true;
        }
        SessionPlaylist p = hls.playlist(m.group(1));
        if (p == null) {
            Answers.status(x, 404, null);
        } else if (p.endStatus() == 503) {
            Answers.notNow(x, null, p.endRetryS() * 1000.0);
        } else if (p.endStatus() != 0) {
            Answers.status(x, p.endStatus(), null);
        } else {
            Answers.playlist(x, null, p.text(Clock.now()));
        }
        return false;
    }

    private boolean health(Exchange x) {
        if (!x.request().path().equals("/health")) {
            return true;
        }
        Answers.status(x, admission.isDraining() ? 503 : 200, null);
        return false;
    }

    /** For whoever gathers figures, in the Prometheus text format. */
    private boolean figures(Exchange x) {
        if (!x.request().path().equals("/metrics")) {
            return true;
        }
        x.answer(
                200,
                Headers.of("Content-Type", "text/plain; version=0.0.4"),
                metrics.get().getBytes(StandardCharsets.UTF_8));
        return false;
    }

    /** A draining gateway takes nothing new. */
    private boolean draining(Exchange x) {
        if (!admission.isDraining()) {
            return true;
        }
        admission.turnAway(new HlsAsker(x));
        return false;
    }

    /** Reads the wish and hands it to the desk's thread, unless too many wait there. */
    private boolean wish(Exchange x) {
        double at = Clock.now();
        Matcher m = PLAY.matcher(x.request().path());
        if (!m.matches()) {
            return true;
        }
        Query q = x.request().parameters();
        TitleId title = new TitleId(Long.parseLong(m.group(1)));
        TrafficClass band = catalogue.bands().get(q.get("band", ""));
        String cmcd = q.get("CMCD", "");
        Matcher sid = CMCD_SID.matcher(cmcd);
        String viewer = q.get("viewer", sid.find() ? sid.group(1) : "");
        if (!catalogue.titles().containsKey(title)) {
            Answers.status(x, 404, null);
        } else if (band == null || viewer.isEmpty()) {
            Answers.status(x, 400, null);
        } else {
            Matcher tb = CMCD_TB.matcher(cmcd);
            int best = tb.find()
                    ? catalogue.rungWithin(band, Long.parseLong(tb.group(1)))
                    : (int) Math.max(0, Math.min(Integer.MAX_VALUE, q.whole("best", Integer.MAX_VALUE)));
            String customer = q.get("customer");
            Viewing.Asked asked = new Viewing.Asked(
                    viewer(viewer), title, band, customer == null ? null : new TenantId(customer), best);
            admission.take(
                    new HlsAsker(x),
                    new Viewing.Key(HlsViewing.FRONT, asked.viewer(), title),
                    at,
                    () -> hls.viewing(asked, at));
        }
        return false;
    }

    /** A number stands for itself; any other name for eight bytes of its SHA-256. */
    static ViewerId viewer(String name) {
        if (name.matches("[0-9]{1,18}")) {
            return new ViewerId(Long.parseLong(name));
        }
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return new ViewerId(ByteBuffer.wrap(hash).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java has it
        }
    }
}
