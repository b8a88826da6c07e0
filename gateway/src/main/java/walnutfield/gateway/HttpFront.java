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

/** HTTP front for viewers: each request runs through a chain of stages until one of them answers or admits it. */
final class HttpFront {
    private static final Pattern PLAY_PATH = Pattern.compile("/play/([0-9]{1,18})\\.m3u8");
    private static final Pattern SESSION_PATH = Pattern.compile("/session/([A-Za-z0-9._-]{1,80})\\.m3u8");
    private static final Pattern CMCD_TOP_BITRATE = Pattern.compile("(?:^|,)tb=([0-9]{1,9})(?:,|$)");
    private static final Pattern CMCD_SESSION_ID = Pattern.compile("(?:^|,)sid=\"([^\"]{1,64})\"");

    /** One step in the handling of a request. */
    private interface Stage {
        /** Returns true if the request continues with the next stage, false if this stage has handled it. */
        boolean passes(Exchange exchange);
    }

    private final Admission admission;
    private final HlsSessions hlsSessions;
    private final Catalogue catalogue;
    private final List<Stage> stages = List.of(
            this::requireGet,
            this::serveSessionPlaylist,
            this::serveHealth,
            this::serveMetrics,
            this::rejectWhileDraining,
            this::admitPlay);
    private final Supplier<String> metrics;

    HttpFront(Admission admission, HlsSessions hlsSessions, Catalogue catalogue, Supplier<String> metrics) {
        this.metrics = metrics;
        this.admission = admission;
        this.hlsSessions = hlsSessions;
        this.catalogue = catalogue;
    }

    void handle(Exchange exchange) {
        for (Stage stage : stages) {
            if (!stage.passes(exchange)) {
                return;
            }
        }
        HttpResponses.status(exchange, 404, null);
    }

    private boolean requireGet(Exchange exchange) {
        if (exchange.request().method().equals("GET")) {
            return true;
        }
        HttpResponses.status(exchange, 405, null);
        return false;
    }

    /** Serves the media playlist of a viewing, rendered on the calling thread rather than the desk's. */
    private boolean serveSessionPlaylist(Exchange exchange) {
        Matcher matcher = SESSION_PATH.matcher(exchange.request().path());
        if (!matcher.matches()) {
            return true;
        }
        SessionPlaylist playlist = hlsSessions.playlist(matcher.group(1));
        if (playlist == null) {
            HttpResponses.status(exchange, 404, null);
        } else if (playlist.endStatus() == 503) {
            HttpResponses.unavailable(exchange, null, playlist.endRetryAfterS() * 1000.0);
        } else if (playlist.endStatus() != 0) {
            HttpResponses.status(exchange, playlist.endStatus(), null);
        } else {
            HttpResponses.playlist(exchange, null, playlist.render(Clock.now()));
        }
        return false;
    }

    private boolean serveHealth(Exchange exchange) {
        if (!exchange.request().path().equals("/health")) {
            return true;
        }
        HttpResponses.status(exchange, admission.isDraining() ? 503 : 200, null);
        return false;
    }

    /** Serves the metrics in the Prometheus text format. */
    private boolean serveMetrics(Exchange exchange) {
        if (!exchange.request().path().equals("/metrics")) {
            return true;
        }
        exchange.respond(
                200,
                Headers.of("Content-Type", "text/plain; version=0.0.4"),
                metrics.get().getBytes(StandardCharsets.UTF_8));
        return false;
    }

    /** Rejects new plays while the gateway drains. */
    private boolean rejectWhileDraining(Exchange exchange) {
        if (!admission.isDraining()) {
            return true;
        }
        admission.reject(new HlsRequester(exchange));
        return false;
    }

    /** Parses a play request and queues it for the event loop; rejected if that queue is full. */
    private boolean admitPlay(Exchange exchange) {
        double receivedAt = Clock.now();
        Matcher pathMatcher = PLAY_PATH.matcher(exchange.request().path());
        if (!pathMatcher.matches()) {
            return true;
        }
        Query query = exchange.request().parameters();
        TitleId title = new TitleId(Long.parseLong(pathMatcher.group(1)));
        TrafficClass trafficClass = catalogue.trafficClasses().get(query.get("band", ""));
        String cmcd = query.get("CMCD", "");
        Matcher sessionId = CMCD_SESSION_ID.matcher(cmcd);
        String viewer = query.get("viewer", sessionId.find() ? sessionId.group(1) : "");
        if (!catalogue.titles().containsKey(title)) {
            HttpResponses.status(exchange, 404, null);
        } else if (trafficClass == null || viewer.isEmpty()) {
            HttpResponses.status(exchange, 400, null);
        } else {
            Matcher topBitrate = CMCD_TOP_BITRATE.matcher(cmcd);
            int highestRung = topBitrate.find()
                    ? catalogue.highestRungWithin(trafficClass, Long.parseLong(topBitrate.group(1)))
                    : (int) Math.max(0, Math.min(Integer.MAX_VALUE, query.getLong("best", Integer.MAX_VALUE)));
            String tenant = query.get("customer");
            Viewing.Request request = new Viewing.Request(
                    viewerId(viewer), title, trafficClass, tenant == null ? null : new TenantId(tenant), highestRung);
            admission.admit(
                    new HlsRequester(exchange),
                    new Viewing.Key(HlsViewing.FRONT, request.viewer(), title),
                    receivedAt,
                    () -> hlsSessions.newViewing(request, receivedAt));
        }
        return false;
    }

    /** Maps a viewer's name to an id: a number is the id itself, any other name gives eight bytes of its SHA-256. */
    static ViewerId viewerId(String name) {
        if (name.matches("[0-9]{1,18}")) {
            return new ViewerId(Long.parseLong(name));
        }
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(name.getBytes(StandardCharsets.UTF_8));
            return new ViewerId(ByteBuffer.wrap(hash).getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform is required to support SHA-256
        }
    }
}
