/** Decides which inserts a viewing gets and what becomes of each; pure, like the module that places them. */
package walnutfield.stitch;
