/**
 * Directives: the one way in which a subsystem restricts what is sent to an endpoint or a
 * destination.
 *
 * <p>A {@link thistleturn.decisions.directives.Directive} says what is restricted, on whose behalf
 * and until when; {@link thistleturn.decisions.directives.Directives} combines those of several
 * sources. Both are immutable; the overload controller holds one set for each endpoint and
 * destination.
 */
package thistleturn.decisions.directives;
