/** A scripted day: its figures, its faults, and the run of it. */
package walnutfield.standin.day;
