/** Scripted rehearsal days: their settings, their faults and their execution. */
package walnutfield.standin.day;
