package walnutfield.gateway;

import walnutfield.net.Exchange;

/** A viewer's HTTP request for a title. */
record HlsAsker(Exchange exchange) implements Asker {
    @Override
    public boolean isDone() {
        return exchange.isDone();
    }

    @Override
    public void onGone(Runnable what) {
        exchange.onGone(what);
    }

    @Override
    public void serve(String play, String body) {
        Answers.playlist(exchange, play, body);
    }

    @Override
    public void refuse(int status, String play, double holdOffMs) {
        if (status == 503) {
            Answers.notNow(exchange, play, holdOffMs);
        } else {
            Answers.status(exchange, status, play);
        }
    }
}
