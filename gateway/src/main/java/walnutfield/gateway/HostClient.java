package walnutfield.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import walnutfield.hls.MediaPlaylist;
import walnutfield.hls.PlaylistException;
import walnutfield.net.Client;
import walnutfield.net.CompleteResponseHandler;
import walnutfield.net.Headers;
import walnutfield.net.Request;
import walnutfield.orca.LoadField;
import walnutfield.play.LoadReport;
import walnutfield.play.Outcome;
import walnutfield.sse.Event;
import walnutfield.sse.EventReader;

/**
 * HTTP client of the media hosts: sends legs, rung changes, session ends and probes, and reads event streams. Makes no
 * decisions itself.
 */
final class HostClient implements AutoCloseable {
    private static final int MAX_EVENT_BYTES = 65_536;

    /**
     * Result of a request to a host.
     *
     * @param outcome  SERVED, or how the request failed
     * @param playlist null unless a playlist was requested and the outcome is SERVED
     * @param reason   for the log; empty if a playlist was served
     */
    record Reply(Outcome outcome, MediaPlaylist playlist, LoadReport load, String reason) {
        /** Converts it to the form that all fronts share. */
        Viewing.LegResult toLegResult(BooleanSupplier apply) {
            return new Viewing.LegResult(outcome, load, reason, apply);
        }
    }

    /** Receives what arrives on a session's event stream. */
    interface SessionListener {
        /** Called when any bytes arrived, even a mere heartbeat. */
        void onActivity();

        void onEvent(Event event);

        /** Called when the stream has ended, normally or not. */
        void onStreamLost();
    }

    private final Client client;
    private final String via;
    private final PlaylistCache playlistCache = new PlaylistCache();

    HostClient(String gateway, GatewaySettings.Hosts settings) throws IOException {
        client = new Client(gateway + "-hosts", settings.selectorThreads(), settings.client());
        via = "1.1 " + gateway;
    }

    static URI baseUri(InetSocketAddress host) {
        return URI.create("http://" + host.getHostString() + ":" + host.getPort() + "/");
    }

    /** Sends a leg: a request to set the session up on the host. */
    Client.PendingRequest setUpSession(InetSocketAddress host, String session, String query, Consumer<Reply> listener) {
        return requestPlaylist(
                host, Request.of("POST", "/sessions/" + session + "?" + query, requestHeaders(), ""), listener);
    }

    /** Asks the host to continue at another rung. */
    Client.PendingRequest setRung(InetSocketAddress host, String session, int rung, Consumer<Reply> listener) {
        return requestPlaylist(
                host, Request.of("PUT", "/sessions/" + session + "?rung=" + rung, requestHeaders(), ""), listener);
    }

    /** Requests the session's current playlist. */
    void reloadPlaylist(InetSocketAddress host, String session, Consumer<Reply> listener) {
        requestPlaylist(host, Request.get("/sessions/" + session, requestHeaders()), listener);
    }

    /** Tells the host that the viewer will fetch nothing for this long, so that the session does not count as idle. */
    void pauseSession(InetSocketAddress host, String session, int rung, double durationMs) {
        client.send(
                host,
                Request.of(
                        "PUT",
                        "/sessions/" + session + "?rung=" + rung + "&pause=" + (long) Math.ceil(durationMs),
                        requestHeaders(),
                        ""),
                new IgnoredResponse());
    }

    /** Ends a session; the response is ignored, as a host itself ends sessions without an open event stream. */
    void endSession(InetSocketAddress host, String session) {
        client.send(host, Request.of("DELETE", "/sessions/" + session, requestHeaders(), ""), new IgnoredResponse());
    }

    void probe(InetSocketAddress host, Consumer<Reply> listener) {
        client.send(host, Request.get("/load", requestHeaders()), new CompleteResponseHandler() {
            @Override
            protected void onResponse(int status, Headers headers, String body) {
                listener.accept(new Reply(
                        status / 100 == 2 ? Outcome.SERVED : Outcome.FAILED,
                        null,
                        LoadField.read(headers.get(LoadField.NAME)),
                        "status " + status));
            }

            @Override
            protected void onNoResponse(Client.Failure failure) {
                listener.accept(new Reply(toOutcome(failure), null, LoadReport.NONE, failure.name()));
            }
        });
    }

    Client.PendingRequest openEventStream(InetSocketAddress host, String session, SessionListener listener) {
        EventReader reader = new EventReader(MAX_EVENT_BYTES, listener::onEvent);
        return client.send(
                host, Request.get("/sessions/" + session + "/events", requestHeaders()), new Client.ResponseHandler() {
                    private boolean accepted;

                    @Override
                    public void onHead(int status, Headers headers) {
                        accepted = status == 200;
                    }

                    @Override
                    public void onBody(byte[] piece) {
                        if (accepted) {
                            listener.onActivity();
                            reader.feed(piece);
                        }
                    }

                    @Override
                    public void onComplete() {
                        listener.onStreamLost();
                    }

                    @Override
                    public void onFailure(Client.Failure failure) {
                        listener.onStreamLost();
                    }
                });
    }

    /** Closes the idle connections to an address at which another host listens now. */
    void closeIdle(InetSocketAddress host) {
        client.closeIdle(host);
    }

    private Client.PendingRequest requestPlaylist(InetSocketAddress host, Request request, Consumer<Reply> listener) {
        return client.send(host, request, new CompleteResponseHandler() {
            @Override
            protected void onResponse(int status, Headers headers, String body) {
                LoadReport load = LoadField.read(headers.get(LoadField.NAME));
                if (status == 503) {
                    listener.accept(new Reply(Outcome.REJECTED, null, load, "status 503"));
                } else if (status / 100 != 2) {
                    listener.accept(new Reply(Outcome.FAILED, null, load, "status " + status));
                } else {
                    try {
                        listener.accept(new Reply(Outcome.SERVED, playlistCache.read(body), load, ""));
                    } catch (PlaylistException e) {
                        listener.accept(new Reply(Outcome.FAILED, null, load, "playlist: " + e.getMessage()));
                    }
                }
            }

            @Override
            protected void onNoResponse(Client.Failure failure) {
                listener.accept(new Reply(toOutcome(failure), null, LoadReport.NONE, failure.name()));
            }
        });
    }

    private static Outcome toOutcome(Client.Failure failure) {
        return switch (failure) {
            case UNREACHABLE -> Outcome.UNREACHABLE;
            case BROKEN_OFF -> Outcome.CONNECTION_LOST;
            case NOT_SENT -> Outcome.NOT_SENT;
        };
    }

    private Headers requestHeaders() {
        return Headers.of("Via", via);
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    /** Ignores the response. */
    private static final class IgnoredResponse extends CompleteResponseHandler {
        @Override
        protected void onResponse(int status, Headers headers, String body) {}

        @Override
        protected void onNoResponse(Client.Failure failure) {}
    }
}
