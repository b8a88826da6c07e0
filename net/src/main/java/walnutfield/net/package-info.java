/**
 * HTTP/1.1 (RFC 9110, RFC 9112) over Grizzly filter chains: a server with fixed limits and a client with pooled
 * connections.
 */
package walnutfield.net;
