/** Records of what passed a desk: written, read, and put through a fresh desk again. */
package walnutfield.record;
