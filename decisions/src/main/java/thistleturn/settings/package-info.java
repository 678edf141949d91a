/**
 * Reads the settings of the decisions from named values.
 *
 * <p>{@link thistleturn.settings.Fields} holds the values of one line of the simulator's protocol
 * or of a courier's configuration, and {@link thistleturn.settings.SettingsReader} turns them into
 * {@link thistleturn.decisions.model.DeliverySettings}. Both the adapter and the courier use the
 * package, which depends on neither of them.
 */
package thistleturn.settings;
