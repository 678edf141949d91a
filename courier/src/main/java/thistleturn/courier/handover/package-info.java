/**
 * A new version of the courier takes over from the one that serves. The older process stops
 * deciding, hands on what it knows, and is from then on a front and a carrier of the newer one,
 * until it ends. The two talk over a socket in the folder that outlasts them; the folder's lock
 * tells which of them writes the journal. Design: {@code docs/design/operators.md}.
 */
package thistleturn.courier.handover;
