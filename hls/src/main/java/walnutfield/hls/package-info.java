/** HLS playlists (RFC 8216) read and written; tags that are not known are kept. No sockets, no decisions. */
package walnutfield.hls;
