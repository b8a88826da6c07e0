/** Server-sent events (WHATWG HTML, section 9.2): reads and writes event streams. */
package walnutfield.sse;
