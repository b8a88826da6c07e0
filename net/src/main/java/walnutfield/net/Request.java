package walnutfield.net;

import java.nio.charset.StandardCharsets;

/**
 * A whole request.
 *
 * @param path   as sent, without the query
 * @param query  as sent; null where there is none
 * @param body   empty where there is none
 */
public record Request(String method, String path, String query, Headers headers, byte[] body) {
    public static Request get(String target, Headers headers) {
        return of("GET", target, headers, "");
    }

    public static Request of(String method, String target, Headers headers, String body) {
        int mark = target.indexOf('?');
        return new Request(
                method,
                mark < 0 ? target : target.substring(0, mark),
                mark < 0 ? null : target.substring(mark + 1),
                headers,
                body.getBytes(StandardCharsets.UTF_8));
    }

    public Query parameters() {
        return new Query(query);
    }

    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
