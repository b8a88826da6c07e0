/** The command line, the XML settings and scripts, and the wiring of the modules into the commands. */
package walnutfield.app;
