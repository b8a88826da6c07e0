/** The adapter to the bench's wire: lines into calls of a desk, results into lines. */
package walnutfield.bench;
