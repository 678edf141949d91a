/**
 * Directives, the only means by which a subsystem restricts the calls to an endpoint or a
 * destination.
 *
 * <p>A {@link thistleturn.decisions.directives.Directive} states what is restricted, on whose
 * behalf and until when; {@link thistleturn.decisions.directives.Directives} combines those of
 * several sources. Both are immutable; the overload controller holds one set for each endpoint and
 * destination.
 */
package thistleturn.decisions.directives;
