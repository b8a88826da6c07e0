/** Decides which inserts a viewing gets and what becomes of each; like the Director, without clock, thread or I/O. */
package walnutfield.stitch;
