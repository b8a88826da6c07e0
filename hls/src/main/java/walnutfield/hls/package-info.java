/** Reads and writes HLS playlists (RFC 8216), keeping unknown tags. Opens no sockets and takes no decisions. */
package walnutfield.hls;
