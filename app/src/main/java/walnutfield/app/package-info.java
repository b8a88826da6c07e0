/** The command line, the XML settings, and how the parts are put together. */
package walnutfield.app;
