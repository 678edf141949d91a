/**
 * Which endpoints operators have disabled.
 *
 * <p>Entry point: {@link thistleturn.decisions.maintenance.DisabledEndpoints}, which belongs to the
 * courier's endpoint table and runs on its thread. It knows endpoints by name only; files and calls
 * are the courier's. Design: {@code docs/design/operators.md}.
 */
package thistleturn.decisions.maintenance;
