/**
 * Administratively disabled endpoints.
 *
 * <p>Entry point: {@link thistleturn.decisions.maintenance.DisabledEndpoints}, which belongs to the
 * courier's endpoint table and runs on its thread. It identifies endpoints by name and does no I/O.
 * Design: {@code docs/design/operators.md}.
 */
package thistleturn.decisions.maintenance;
