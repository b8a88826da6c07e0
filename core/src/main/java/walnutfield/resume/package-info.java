/** Decides what becomes of a play whose host was lost while the play was playing. */
package walnutfield.resume;
