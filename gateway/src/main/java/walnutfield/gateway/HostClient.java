package walnutfield.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.net.Client;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.net.WholeAnswer;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.sse.Event;
import walnutfield.sse.EventReader;

/** Speaks to the media hosts: legs, their event streams, changes of rung, ends and probes. Decides nothing. */
final class HostClient implements AutoCloseable {
    private static final int EVENT_BYTES = 65_536;

    /**
     * What became of a request that asks for a playlist.
     *
     * @param how      SERVED with a playlist, or how it went wrong
     * @param playlist null unless SERVED
     * @param why      for the log; empty where SERVED
     */
    record Reply(Outcome how, MediaPlaylist playlist, LoadReport load, String why) {
        /** The same as every front tells it. */
        Viewing.Came came(BooleanSupplier carry) {
            return new Viewing.Came(how, load, why, carry);
        }
    }

    /** What a session's event stream tells. */
    interface Ear {
        /** Something came, be it nothing but a sign of life. */
        void alive();

        void event(Event e);

        /** The stream is over, whole or not. */
        void lost();
    }

    private final Client client;
    private final String via;
    private final PlaylistCache cache = new PlaylistCache();

    HostClient(String gateway, Terms.Hosts terms) throws IOException {
        client = new Client(gateway + "-hosts", terms.selectors(), terms.client());
        via = "1.1 " + gateway;
    }

    static URI base(InetSocketAddress host) {
        return URI.create("http://" + host.getHostString() + ":" + host.getPort() + "/");
    }

    /** Sends a leg: sets the session up on the host. */
    Client.Sent setUp(InetSocketAddress host, String session, String query, Consumer<Reply> to) {
        return playlist(host, Request.of("POST", "/sessions/" + session + "?" + query, headers(), ""), to);
    }

    /** Asks the host to go on at another rung. */
    Client.Sent setRung(InetSocketAddress host, String session, int rung, Consumer<Reply> to) {
        return playlist(host, Request.of("PUT", "/sessions/" + session + "?rung=" + rung, headers(), ""), to);
    }

    /** Asks for the session's playlist as it is by now. */
    void reload(InetSocketAddress host, String session, Consumer<Reply> to) {
        playlist(host, Request.get("/sessions/" + session, headers()), to);
    }

    /** Tells the host that the viewer fetches nothing there for so long: the session is not idle. */
    void pause(InetSocketAddress host, String session, int rung, double ms) {
        client.send(
                host,
                Request.of(
                        "PUT",
                        "/sessions/" + session + "?rung=" + rung + "&pause=" + (long) Math.ceil(ms),
                        headers(),
                        ""),
                new Ignored());
    }

    /** Ends a session; nothing is made of the answer, as a host ends by itself what no stream is open for. */
    void end(InetSocketAddress host, String session) {
        client.send(host, Request.of("DELETE", "/sessions/" + session, headers(), ""), new Ignored());
    }

    void probe(InetSocketAddress host, Consumer<Reply> to) {
        client.send(host, Request.get("/load", headers()), new WholeAnswer() {
            @Override
            protected void whole(int status, Headers headers, String body) {
                to.accept(new Reply(
                        status / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                        null,
                        LoadField.read(headers.get(LoadField.NAME)),
                        "status " + status));
            }

            @Override
            protected void not(Client.Failure how) {
                to.accept(new Reply(outcome(how), null, LoadReport.NONE, how.name()));
            }
        });
    }

    Client.Sent listen(InetSocketAddress host, String session, Ear ear) {
        EventReader reader = new EventReader(EVENT_BYTES, ear::event);
        return client.send(host, Request.get("/sessions/" + session + "/events", headers()), new Client.Answer() {
            private boolean good;

            @Override
            public void head(int status, Headers headers) {
                good = status == 200;
            }

            @Override
            public void body(byte[] piece) {
                if (good) {
                    ear.alive();
                    reader.take(piece);
                }
            }

            @Override
            public void done() {
                ear.lost();
            }

            @Override
            public void failed(Client.Failure how) {
                ear.lost();
            }
        });
    }

    private Client.Sent playlist(InetSocketAddress host, Request request, Consumer<Reply> to) {
        return client.send(host, request, new WholeAnswer() {
            @Override
            protected void whole(int status, Headers headers, String body) {
                LoadReport load = LoadField.read(headers.get(LoadField.NAME));
                if (status == 503) {
                    to.accept(new Reply(Outcome.REJECTED, null, load, "status 503"));
                } else if (status / 100 != 2) {
                    to.accept(new Reply(Outcome.FAILED, null, load, "status " + status));
                } else {
                    try {
                        to.accept(new Reply(Outcome.SERVED, cache.read(body), load, ""));
                    } catch (PlaylistException e) {
                        to.accept(new Reply(Outcome.FAILED, null, load, "playlist: " + e.getMessage()));
                    }
                }
            }

            @Override
            protected void not(Client.Failure how) {
                to.accept(new Reply(outcome(how), null, LoadReport.NONE, how.name()));
            }
        });
    }

    private static Outcome outcome(Client.Failure how) {
        return switch (how) {
            case UNREACHABLE -> Outcome.UNREACHABLE;
            case BROKEN_OFF -> Outcome.CONNECTION_LOST;
            case NOT_SENT -> Outcome.NOT_SENT;
        };
    }

    private Headers headers() {
        return Headers.of("Via", via);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    /** An answer of which nothing is made. */
    private static final class Ignored extends WholeAnswer {
        @Override
        protected void whole(int status, Headers headers, String body) {}

        @Override
        protected void not(Client.Failure how) {}
    }
}
