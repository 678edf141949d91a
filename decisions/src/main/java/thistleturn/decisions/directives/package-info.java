/**
 * The one way by which a subsystem's word on an endpoint or a destination enters the decisions:
 * what it may say, who said it, until when, and which of several wins. Pure.
 */
package thistleturn.decisions.directives;
