/**
 * The values that a host and the decisions exchange: the settings, messages, endpoints and
 * outcomes.
 *
 * <p>They are immutable and know neither each other's users nor how they are stored or sent.
 */
package thistleturn.decisions.model;
