/**
 * The operators' HTTP endpoint of a running courier: readiness, metrics, and disabling endpoints
 * administratively.
 *
 * <p>The entry point is {@link thistleturn.courier.operator.OperatorServer}, which lives on the
 * courier's first event loop and knows the courier only by {@link
 * thistleturn.courier.operator.AdminOperations}. Nothing of this package is loaded where the
 * configuration names no address for operators. Design: {@code docs/design/operators.md}; use:
 * {@code docs/operations/operators.md}.
 */
package thistleturn.courier.operator;
