/**
 * Which endpoints are left out by hand. Pure: names go in, verdicts come out; files and calls are
 * the courier's. Design: {@code docs/design/operators.md}.
 */
package thistleturn.decisions.maintenance;
