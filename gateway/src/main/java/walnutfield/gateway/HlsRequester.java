package walnutfield.gateway;

import walnutfield.net.Exchange;

/** A viewer's HTTP request for a title, awaiting its answer. */
record HlsRequester(Exchange exchange) implements Requester {
    @Override
    public boolean isDone() {
        return exchange.isDone();
    }

    @Override
    public void onGone(Runnable callback) {
        exchange.onDisconnect(callback);
    }

    @Override
    public void serve(String sessionId, String body) {
        HttpResponses.playlist(exchange, sessionId, body);
    }

    @Override
    public void refuse(int status, String sessionId, double retryAfterMs) {
        if (status == 503) {
            HttpResponses.unavailable(exchange, sessionId, retryAfterMs);
        } else {
            HttpResponses.status(exchange, status, sessionId);
        }
    }
}
