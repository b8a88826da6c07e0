package walnutfield.net;

import java.nio.charset.StandardCharsets;

/**
 * A complete request.
 *
 * @param method  as sent
 * @param path    as sent, without the query
 * @param query   as sent, without the question mark; null if there is none
 * @param headers the header fields
 * @param body    empty if there is none
 */
public record Request(String method, String path, String query, Headers headers, byte[] body) {
    /** A GET request without a body. */
    public static Request get(String target, Headers headers) {
        return of("GET", target, headers, "");
    }

    /** A request for a target, which is a path with or without a query. */
    public static Request of(String method, String target, Headers headers, String body) {
        int queryStart = target.indexOf('?');
        return new Request(
                method,
                queryStart < 0 ? target : target.substring(0, queryStart),
                queryStart < 0 ? null : target.substring(queryStart + 1),
                headers,
                body.getBytes(StandardCharsets.UTF_8));
    }

    /** The parameters in the query. */
    public Query parameters() {
        return new Query(query);
    }

    /** The body as UTF-8 text. */
    public String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
