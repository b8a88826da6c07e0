/** The list of hosts as text: versioned, numbered, whole or in changes; a wrong line refuses the whole. */
package walnutfield.hosts;
