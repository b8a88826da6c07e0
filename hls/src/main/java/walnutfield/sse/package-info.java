/** Server-sent events (WHATWG HTML, section 9.2): the text of a stream of named events, read and written. */
package walnutfield.sse;
