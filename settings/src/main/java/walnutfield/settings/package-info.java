/** Reads the settings object that the users hand to an instance, on the bench's wire and in a gateway's configuration alike. */
package walnutfield.settings;
