/**
 * Records of a desk's calls and results: writing and reading them, replaying them through a new desk, tracing
 * decisions and projecting other conditions.
 */
package walnutfield.record;
