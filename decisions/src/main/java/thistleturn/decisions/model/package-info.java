/**
 * The values that a host and the decisions exchange: the settings, messages, endpoints and
 * outcomes.
 *
 * <p>They are immutable and independent of how they are used, stored or sent.
 */
package thistleturn.decisions.model;
