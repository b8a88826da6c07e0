/**
 * Adapter to the line protocol of the bench: turns input lines into calls of a desk and the desk's results into output
 * lines.
 */
package walnutfield.bench;
