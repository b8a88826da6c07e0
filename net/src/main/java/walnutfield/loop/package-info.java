/** The one thread that owns a desk and its sessions, whatever fronts post to it. */
package walnutfield.loop;
