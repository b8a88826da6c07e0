/**
 * The host list as text: numbered versions, each a complete list or the changes since the version before. One malformed
 * line rejects the entire text.
 */
package walnutfield.hosts;
