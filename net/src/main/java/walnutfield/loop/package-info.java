/** The event loop: the single thread that owns a desk and its sessions, and to which all front ends post events. */
package walnutfield.loop;
