/** HTTP/1.1 (RFC 9110, RFC 9112) over Grizzly filter chains: a bounded server side and a pooled client side. */
package walnutfield.net;
