/**
 * Reads the settings object that is handed to a gateway instance, both over the line protocol of the bench and in a
 * gateway's configuration.
 */
package walnutfield.settings;
