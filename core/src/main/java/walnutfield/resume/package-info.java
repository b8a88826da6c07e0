/** Decides what becomes of a play whose host was lost while it played. */
package walnutfield.resume;
